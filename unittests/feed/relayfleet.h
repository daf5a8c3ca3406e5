// Simulates entry instances that relay the feed to each other, and one control member, as plain
// data.

#ifndef KUMQUATHAVEN_UNITTESTS_FEED_RELAYFLEET_H
#define KUMQUATHAVEN_UNITTESTS_FEED_RELAYFLEET_H

#include "kumquathaven/base/random.h"
#include "kumquathaven/feed/follower.h"

#include <doctest/doctest.h>

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace kumquathaven::feed {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr Duration step = milliseconds(10);
inline constexpr std::size_t entryCount = 14;
/// Number of generated runs of a test case.
inline constexpr std::uint64_t runs = 60;
inline constexpr settings::FeedRelays relays{2, 2};
inline constexpr Duration freshnessBound = seconds(5);
/// Control declares an entry dead from which it has received no heartbeat for this long.
inline constexpr Duration instanceLease = seconds(8);

using Pipe = std::deque<std::pair<TimePoint, Message>>;

/// A link from an entry to control or to another entry.
struct Link
{
    std::size_t from = 0;
    Uplink uplink = Uplink::Control;
    /// The relaying entry; empty for control.
    std::optional<std::size_t> to;
    std::string peerName;
    TimePoint opensAt;
    bool open = false;
    TimePoint cutUntil;
    Pipe up;
    Pipe down;
};

struct Entry
{
    std::unique_ptr<Follower> follower;
    catalogue::Instance self;
    std::unique_ptr<catalogue::View> view;
    TimePoint frozenUntil;
};

/// The fleet under test. Control is a single member whose copy and proof lag at random. Entries,
/// links and the log are plain data.
class Fleet
{
public:
    explicit Fleet(std::uint64_t seed, std::size_t count = entryCount,
                   settings::FeedRelays wanted = relays)
        : m_random(seed)
        , m_relays(wanted)
        , m_entries(count)
    {
        for (std::size_t n = 0; n < m_entries.size(); ++n)
            restart(n);
    }

    void advance(Duration time)
    {
        for (const TimePoint end = m_now + time; m_now < end;) {
            m_now += step;
            if (hasChanges && m_random.below(15) == 0)
                accept();
            publish();
            moveMessages();
            for (std::size_t n = 0; n < m_entries.size(); ++n) {
                if (m_now >= m_entries[n].frozenUntil)
                    applyEffects(n, m_entries[n].follower->tick(m_now));
            }
            if (hasFaults)
                fail();
        }
    }

    void freeze(std::size_t n, Duration time) { m_entries[n].frozenUntil = m_now + time; }

    /// Stops all traffic on the links from other entries to entry \p n, which stay open. The link
    /// from \p n to control is not affected.
    void cutChildren(std::size_t n, Duration time)
    {
        for (auto &it : m_links) {
            if (it.second.to == n)
                it.second.cutUntil = m_now + time;
        }
    }

    /// Kills the process of an entry and starts it again with a new incarnation.
    void restart(std::size_t n);

    std::vector<std::size_t> relaying() const
    {
        std::vector<std::size_t> found;
        for (std::size_t n = 0; n < m_entries.size(); ++n) {
            if (m_entries[n].follower->childCount() > 0)
                found.push_back(n);
        }
        return found;
    }

    Duration proofAge(std::size_t n) const { return m_now - m_entries[n].view->current().provenAt; }

    /// Returns the time since the last heartbeat of an entry that control received.
    Duration timeSinceHeartbeat(std::size_t n) const
    {
        const auto heartbeat =
            m_heartbeats.find({m_entries[n].self.name, m_entries[n].self.incarnation});
        return heartbeat == m_heartbeats.end() ? Duration::max() : m_now - heartbeat->second;
    }

    std::uint64_t requestsToControl() const { return m_requestCount; }
    std::uint64_t statesSent() const { return m_statesSent; }

    void checkAllHoldTheNewest() const
    {
        for (const Entry &it : m_entries) {
            CAPTURE(it.self.name);
            CHECK(it.view->current().instances->epoch == m_state.instances.epoch);
            CHECK(it.view->current().catalogue->revision == m_state.catalogue.revision);
            CHECK(catalogue::isFresh(it.view->current(), m_now, seconds(3)));
        }
    }

    std::size_t fedByControl() const { return m_publisher.subscriberCount(); }

    bool hasFaults = false;
    bool hasChanges = true;
    bool hasRedirects = false;

private:
    void accept()
    {
        catalogue::Change change;
        catalogue::PutEntries put;
        catalogue::Customer customer;
        customer.head = {"c", "t", {}, {}};
        customer.weight = 1 + m_random.below(100);
        put.entries.customers["c"] = customer;
        change.body = put;
        accept(change);
    }

    void accept(const catalogue::Change &change)
    {
        const std::uint64_t epoch = m_state.instances.epoch;
        const std::uint64_t revision = m_state.catalogue.revision;
        const catalogue::Answer answer = catalogue::apply(m_state, change);
        m_index += 1 + m_random.below(3);
        if (answer.epoch == epoch && answer.revision == revision)
            return;
        if (answer.epoch != epoch)
            m_epochAt = m_now;
        m_log.push_back({{m_index, change, answer.revision, answer.epoch}, m_now});
    }

    /// Publishes changes late, while answers carry the newest position.
    void publish()
    {
        while (m_published < m_log.size() && m_random.below(3) != 0) {
            for (const Delivery &it : m_publisher.publish(m_log[m_published++].first))
                send(it);
        }
        if (m_random.below(20) == 0)
            m_provenAt = m_now;
    }

    Duration delay() { return milliseconds(m_random.below(m_random.below(40) == 0 ? 400 : 30)); }

    void push(Pipe &pipe, const Message &message)
    {
        const TimePoint at = m_now + delay();
        pipe.emplace_back(pipe.empty() ? at : std::max(at, pipe.back().first), message);
    }

    void send(const Delivery &delivery);

    bool isAwake(std::optional<std::size_t> n) const
    {
        return !n || m_now >= m_entries[*n].frozenUntil;
    }

    void moveMessages()
    {
        std::vector<SubscriberId> ids;
        for (const auto &it : m_links)
            ids.push_back(it.first);
        for (const SubscriberId id : ids)
            move(id);
    }

    void move(SubscriberId id);

    void handleRequest(SubscriberId id, const Message &message);

    /// Returns a redirect to up to three other entries that hold a state.
    Redirect redirect(std::size_t asker)
    {
        Redirect redirect;
        for (int n = 0; n < 100 && redirect.relays.size() < 3; ++n) {
            const std::size_t other = m_random.below(m_entries.size());
            if (other != asker && m_entries[other].follower->position() > 0)
                redirect.relays.push_back({m_entries[other].self.name, {}});
        }
        return redirect;
    }

    void recordHeartbeat(const Heartbeat &heartbeat)
    {
        TimePoint &at = m_heartbeats[{heartbeat.instance, heartbeat.incarnation}];
        at = std::max(at, m_now - heartbeat.age);
    }

    void connect(std::size_t from, Uplink uplink, std::optional<std::size_t> to,
                 const std::string &name)
    {
        Link &link = m_links[++m_lastLinkId];
        link.from = from;
        link.uplink = uplink;
        link.to = to;
        link.peerName = name;
        link.opensAt = m_now + delay();
    }

    SubscriberId linkOf(std::size_t from, Uplink uplink) const
    {
        for (const auto &it : m_links) {
            if (it.second.from == from && it.second.uplink == uplink)
                return it.first;
        }
        return 0;
    }

    void erase(SubscriberId id)
    {
        const auto it = m_links.find(id);
        if (it == m_links.end())
            return;
        if (it->second.to)
            m_entries[*it->second.to].follower->childClosed(id);
        else
            m_publisher.remove(id);
        m_links.erase(it);
    }

    /// Closes a link from its far end and notifies the entry that opened it.
    void close(SubscriberId id)
    {
        const auto it = m_links.find(id);
        if (it == m_links.end())
            return;
        const Link link = it->second;
        erase(id);
        if (link.open)
            applyEffects(link.from, m_entries[link.from].follower->closed(link.uplink, m_now));
    }

    void applyEffects(std::size_t n, const FollowerEffects &effects);

    void fail()
    {
        const std::size_t n = m_random.below(m_entries.size());
        const Duration time = milliseconds(200 + m_random.below(6000));
        if (m_random.below(400) == 0)
            freeze(n, time);
        if (m_random.below(400) == 0)
            cutChildren(n, time);
        if (m_random.below(700) == 0)
            restart(n);
    }

    void check(Entry &entry, const catalogue::Snapshot &snapshot);

    Random m_random;
    settings::FeedRelays m_relays;
    TimePoint m_now{seconds(1000)};
    catalogue::State m_state;
    std::uint64_t m_index = 0;
    TimePoint m_epochAt;
    std::vector<std::pair<ChangeAt, TimePoint>> m_log;
    std::size_t m_published = 0;
    Publisher m_publisher;
    TimePoint m_provenAt{seconds(1000)};
    /// When control received the last heartbeat of each incarnation, and the number of proof
    /// requests that control received.
    std::map<std::pair<std::string, std::uint64_t>, TimePoint> m_heartbeats;
    std::uint64_t m_requestCount = 0;
    std::uint64_t m_statesSent = 0;
    std::vector<Entry> m_entries;
    std::map<SubscriberId, Link> m_links;
    SubscriberId m_lastLinkId = 0;
};

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_UNITTESTS_FEED_RELAYFLEET_H
