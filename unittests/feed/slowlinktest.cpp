// Tests that declarations are known in time over links that carry few bytes a second.

#include "kumquathaven/base/random.h"
#include "kumquathaven/feed/relay.h"
#include "kumquathaven/feed/subscriber.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>

using namespace kumquathaven;
using namespace kumquathaven::feed;

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration step = milliseconds(10);
/// The bytes that a link of 7.5 Mbit/s carries in one step.
constexpr std::size_t bytesPerStep = 9'375;
/// Time after its acceptance within which a declaration must be known.
constexpr Duration inForceTime = milliseconds(2500);
constexpr std::size_t routeCount = 2'000;
constexpr std::uint64_t firstVersion = 2;

std::string routeText(Random &random)
{
    std::string text = "{\"Host\": \"";
    for (int word = 0; word < 10; ++word)
        text += std::to_string(random.next());
    return text + "\"},";
}

/// An entry, or the control member, which has no subscriber.
struct Node
{
    std::unique_ptr<Subscriber> subscriber;
    Relay relay{64};
    std::size_t source = 0;
    bool isConnected = false;
    /// The frames that wait for each child, and the bytes of the first one that were sent.
    std::map<SubscriberId, std::deque<wire::Frame>> queues;
    std::map<SubscriberId, std::size_t> sentOfFirst;
    /// When a version was first known.
    std::map<std::uint64_t, TimePoint> knownAt;
};

/// A control member, entries that follow it directly or through other entries, and their links.
class Tree
{
public:
    /// \p sources names the source of each entry, which must stand before it.
    explicit Tree(const std::vector<std::size_t> &sources)
        : m_random(1)
        , m_nodes(1 + sources.size())
    {
        SubscriberTimes times;
        times.memberTimeout = milliseconds(875);
        times.proofInterval = times.memberTimeout / 3;
        for (std::size_t n = 1; n < m_nodes.size(); ++n) {
            m_nodes[n].source = sources[n - 1];
            m_nodes[n].subscriber = std::make_unique<Subscriber>(times, catalogue::Instance());
        }
        for (std::size_t n = 0; n < routeCount; ++n)
            m_routes.push_back(routeText(m_random));
        declare();
        // The first state is no matter of this test.
        m_bytesPerStep = 1000 * bytesPerStep;
        advance(seconds(2));
        m_bytesPerStep = bytesPerStep;
    }

    /// Changes \p routes routes and publishes the declaration as a new version.
    void change(std::size_t routes)
    {
        const std::size_t first = m_random.below(m_routes.size());
        for (std::size_t n = 0; n < routes; ++n)
            m_routes[(first + n) % m_routes.size()] = routeText(m_random);
        declare();
    }

    void advance(Duration time)
    {
        for (const TimePoint end = m_now + time; m_now < end;) {
            m_now += step;
            for (std::size_t n = 0; n < m_nodes.size(); ++n) {
                transmit(n);
                tick(n);
                resumeChildren(n);
            }
        }
    }

    /// Returns the longest time from the publication of a version until entry \p n knew it or a
    /// later one.
    Duration longestDelay(std::size_t n) const
    {
        Duration longest{0};
        for (const auto &[version, publishedAt] : m_publishedAt) {
            const auto it = m_nodes[n].knownAt.lower_bound(version);
            const TimePoint knownAt = it == m_nodes[n].knownAt.end() ? m_now : it->second;
            longest = std::max(longest, knownAt - publishedAt);
        }
        return longest;
    }

    std::size_t entryCount() const { return m_nodes.size() - 1; }

private:
    void declare()
    {
        std::string text = "{\"Version\": " + std::to_string(m_version) + ", \"Routes\": [";
        for (const std::string &it : m_routes)
            text += it;
        catalogue::Declare body;
        body.declaration = {m_version, std::make_shared<const std::string>(text + "]}")};
        m_state.position = m_version;
        m_state.catalogue.declaration = body.declaration;
        m_state.catalogue.revision = m_version;
        if (m_version > firstVersion)
            m_publishedAt[m_version] = m_now;
        queue(0, m_nodes[0].relay.publishChange({m_version, {{}, {}, body}, m_version, 0}));
        ++m_version;
    }

    void queue(std::size_t n, const std::vector<Delivery> &deliveries)
    {
        for (const Delivery &delivery : deliveries) {
            for (const SubscriberId it : delivery.subscribers) {
                if (delivery.changeAt != 0 && queuedBytes(n, it) > maxBacklogBytes)
                    m_nodes[n].relay.holdBack(it, delivery.changeAt);
                if (delivery.changeAt == 0 || !m_nodes[n].relay.isHeldBack(it))
                    m_nodes[n].queues[it].push_back(delivery.frame);
            }
        }
    }

    std::size_t queuedBytes(std::size_t n, SubscriberId child)
    {
        std::size_t bytes = 0;
        for (const wire::Frame &it : m_nodes[n].queues[child])
            bytes += it.body.size();
        return bytes - m_nodes[n].sentOfFirst[child];
    }

    void resumeChildren(std::size_t n)
    {
        for (const SubscriberId it : m_nodes[n].relay.heldBack()) {
            if (queuedBytes(n, it) <= maxBacklogBytes)
                queue(n, m_nodes[n].relay.resume(it, [&] {
                    return stateOf(m_nodes[n]);
                }));
        }
    }

    wire::Frame stateOf(const Node &node) const
    {
        return toFrame(node.subscriber ? node.subscriber->state(m_now) : m_state);
    }

    HeldPosition held(const Node &node) const
    {
        return node.subscriber
            ? HeldPosition{node.subscriber->position(), node.subscriber->provenAt()}
            : HeldPosition{m_state.position, m_now};
    }

    void apply(std::size_t n, const SubscriberEffects &effects)
    {
        Node &node = m_nodes[n];
        Node &source = m_nodes[node.source];
        const auto state = [&] {
            return stateOf(source);
        };
        for (const Message &it : effects.messages)
            queue(node.source, source.relay.receive(n, it, held(source), state, m_now).deliveries);
        if (effects.snapshot)
            node.knownAt.emplace(effects.snapshot->catalogue->declaration.version, m_now);
        if (effects.appliedChange)
            queue(n, node.relay.publishChange(*effects.appliedChange));
        if (effects.restored)
            queue(n,
                  node.relay.restored(node.subscriber->position(), node.subscriber->declaration(),
                                      [&] {
                                          return stateOf(node);
                                      }));
        if (!effects.changeMember)
            return;
        // The link is closed with all that waits in it, and opened again in the next step.
        source.relay.remove(n);
        source.queues.erase(n);
        source.sentOfFirst.erase(n);
        node.subscriber->disconnected();
        node.isConnected = false;
    }

    void tick(std::size_t n)
    {
        Node &node = m_nodes[n];
        if (!node.subscriber)
            return;
        if (!node.isConnected) {
            node.isConnected = true;
            apply(n, node.subscriber->connected(m_now, node.source != 0));
        }
        apply(n, node.subscriber->tick(m_now));
    }

    /// Sends what the links of the children carry in one step. The children of an entry share its
    /// link; that of the member carries what all its children can receive.
    void transmit(std::size_t n)
    {
        std::vector<std::pair<SubscriberId, wire::Frame>> arrived;
        Node &node = m_nodes[n];
        const std::size_t children = std::max<std::size_t>(1, node.queues.size());
        const std::size_t room = node.subscriber ? m_bytesPerStep / children : m_bytesPerStep;
        for (auto &[child, frames] : node.queues) {
            std::size_t &sent = node.sentOfFirst[child];
            sent += frames.empty() ? 0 : room;
            while (!frames.empty() && sent >= frames.front().body.size()) {
                sent -= frames.front().body.size();
                arrived.emplace_back(child, frames.front());
                frames.pop_front();
            }
            if (frames.empty())
                sent = 0;
        }
        for (const auto &it : arrived)
            arrive(it.first, it.second);
    }

    void arrive(std::size_t n, const wire::Frame &frame)
    {
        orElse(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(message, fromFrame(frame, "feed"));
                apply(n, m_nodes[n].subscriber->receive(message, m_now));
                return {};
            },
            [](const Error &error) {
                FAIL(describe(error));
            });
    }

    Random m_random;
    std::vector<Node> m_nodes;
    TimePoint m_now{seconds(100)};
    StateAt m_state;
    std::uint64_t m_version = firstVersion;
    std::size_t m_bytesPerStep = bytesPerStep;
    std::vector<std::string> m_routes;
    std::map<std::uint64_t, TimePoint> m_publishedAt;
};

} // namespace

// Guards against entries that obey an old declaration because their link is full of older ones.
TEST_CASE("declarations in quick succession are known in time over slow links")
{
    struct Row
    {
        const char *name;
        std::vector<std::size_t> sources;
        std::size_t routesChanged;
        Duration interval;
    };
    const std::vector<Row> rows{
        {"one route, from control", {0, 0}, 1, milliseconds(500)},
        {"one route, through a relay", {0, 1, 1, 1, 1, 1, 1, 1, 1}, 1, milliseconds(500)},
        {"one route in 50, through a relay", {0, 1, 1}, routeCount / 50, milliseconds(500)},
        {"all routes, faster than the link carries", {0, 0}, routeCount, milliseconds(300)},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        Tree tree(row.sources);
        for (Duration passed{0}; passed < seconds(15); passed += row.interval) {
            tree.change(row.routesChanged);
            tree.advance(row.interval);
        }
        tree.advance(seconds(10));
        for (std::size_t n = 1; n <= tree.entryCount(); ++n) {
            CAPTURE(n);
            CHECK(toSeconds(tree.longestDelay(n)) <= toSeconds(inForceTime));
        }
    }
}
