// A simulated network of members: messages with delays and losses of instances, for generated
// histories.

#ifndef KUMQUATHAVEN_UNITTESTS_OVERLAY_NETWORK_H
#define KUMQUATHAVEN_UNITTESTS_OVERLAY_NETWORK_H

#include "kumquathaven/base/random.h"
#include "kumquathaven/overlay/member.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace overlaytest {

using namespace kumquathaven;
using namespace kumquathaven::overlay;
using std::chrono::milliseconds;

/// Time between two ticks of an instance, as in an entry.
inline const Duration tickInterval = milliseconds(30);

/// Counts over a part of a history.
struct Traffic
{
    std::uint64_t messages = 0;
    std::uint64_t maxSentByOne = 0;
    /// Ages of events on arrival, in milliseconds.
    std::vector<double> ages;
};

/// Instances with links between them. A killed instance resets its links, a frozen one neither
/// sends nor receives until it is thawed, and links between cut domains lose everything.
class Network
{
public:
    Network(std::size_t n, std::size_t domains, std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t i = 0; i < n; ++i) {
            auto node = std::make_unique<Node>();
            node->tree = {"e" + std::to_string(i), "z" + std::to_string(i % domains),
                          static_cast<std::uint32_t>(90 + 70 * (i % 4))};
            node->index = i;
            node->nextTick = m_now + Duration(m_random.below(30'000));
            m_nodes.push_back(std::move(node));
        }
        for (auto &it : m_nodes)
            start(*it);
        listAll();
    }

    std::size_t size() const { return m_nodes.size(); }
    TimePoint now() const { return m_now; }
    Member &member(std::size_t n) { return *m_nodes[n]->member; }
    const TreeNode &tree(std::size_t n) const { return m_nodes[n]->tree; }
    bool isUp(std::size_t n) const { return m_nodes[n]->isUp && !m_nodes[n]->isFrozen; }

    /// Tells all running instances which instances are in service: those that are up.
    void listAll()
    {
        std::vector<TreeNode> nodes;
        for (const auto &it : m_nodes) {
            if (it->isUp)
                nodes.push_back(it->tree);
        }
        for (auto &it : m_nodes) {
            if (it->isUp && !it->isFrozen)
                apply(*it, it->member->setInstances(nodes, m_now));
        }
    }

    void kill(std::size_t n)
    {
        Node &node = *m_nodes[n];
        node.isUp = false;
        for (auto &[id, link] : m_links) {
            if (link.isOpen && (link.child == n || link.parent == n))
                close(id, link.child == n ? link.parent : link.child);
        }
    }

    void restart(std::size_t n)
    {
        m_nodes[n]->isUp = true;
        start(*m_nodes[n]);
    }

    void setFrozen(std::size_t n, bool isFrozen)
    {
        m_nodes[n]->isFrozen = isFrozen;
        if (isFrozen)
            return;
        for (auto &it : std::exchange(m_nodes[n]->heldBack, {}))
            it();
        m_nodes[n]->nextTick = m_now;
    }

    void setCut(const std::string &domain, bool isCut)
    {
        if (isCut)
            m_cutDomains.insert(domain);
        else
            m_cutDomains.erase(domain);
    }

    void setLevel(std::size_t n, Key key, std::int64_t value)
    {
        member(n).setLevel(key, value, m_now);
        m_nodes[n]->levels[key] = value;
    }

    /// Sends an event from an instance, and counts with what age it arrives where.
    void sendEvent(std::size_t n, Key key)
    {
        m_sentAt[key] = m_now;
        member(n).addEvent({key, "event", Duration(0)}, m_now);
    }

    void run(Duration length)
    {
        const TimePoint end = m_now + length;
        while (true) {
            TimePoint next = end;
            for (const auto &it : m_nodes) {
                if (it->isUp && !it->isFrozen)
                    next = std::min(next, it->nextTick);
            }
            if (!m_messages.empty())
                next = std::min(next, m_messages.top().at);
            m_now = std::max(m_now, next);
            if (m_now >= end && (m_messages.empty() || m_messages.top().at > end))
                break;
            while (!m_messages.empty() && m_messages.top().at <= m_now) {
                const auto action = m_messages.top().run;
                m_messages.pop();
                action();
            }
            for (auto &it : m_nodes) {
                if (it->isUp && !it->isFrozen && it->nextTick <= m_now) {
                    it->nextTick = m_now + tickInterval;
                    apply(*it, it->member->tick(m_now));
                }
            }
        }
        m_now = end;
    }

    /// Returns the number of instances that have no parent.
    std::size_t roots() const
    {
        std::size_t n = 0;
        for (const auto &it : m_nodes)
            n += it->isUp && !it->isFrozen && it->member->parent().empty() ? 1 : 0;
        return n;
    }

    /// Returns the largest difference between what an instance knows of the others' part of a level
    /// and what it is.
    std::int64_t maxError(Key key) const
    {
        std::int64_t sum = 0;
        for (const auto &it : m_nodes) {
            if (it->isUp && !it->isFrozen)
                sum += valueOf(*it, key);
        }
        std::int64_t error = 0;
        for (const auto &it : m_nodes) {
            if (it->isUp && !it->isFrozen)
                error = std::max(error,
                                 std::abs(levelOfOthers(it->member->aggregate(), key)
                                          - (sum - valueOf(*it, key))));
        }
        return error;
    }

    /// Returns how often an event arrived at an instance.
    std::size_t arrivals(std::size_t n, Key key) const
    {
        const auto it = m_nodes[n]->events.find(key);
        return it == m_nodes[n]->events.end() ? 0 : it->second;
    }

    std::int64_t incrementsAt(std::size_t n, Key key) { return m_nodes[n]->increments[key]; }

    Traffic takeTraffic()
    {
        for (auto &it : m_nodes)
            m_traffic.maxSentByOne = std::max(m_traffic.maxSentByOne, std::exchange(it->sent, 0));
        return std::exchange(m_traffic, {});
    }

private:
    struct Node
    {
        TreeNode tree;
        std::size_t index = 0;
        std::unique_ptr<Member> member;
        bool isUp = true;
        bool isFrozen = false;
        TimePoint nextTick{};
        std::map<Key, std::int64_t> levels;
        std::map<Key, std::size_t> events;
        std::map<Key, std::int64_t> increments;
        /// Open links to parents and candidates, by name.
        std::map<std::string, std::uint64_t> uplinks;
        std::vector<std::function<void()>> heldBack;
        std::uint64_t sent = 0;
    };

    struct Link
    {
        std::size_t child = 0;
        std::size_t parent = 0;
        bool isOpen = false;
    };

    struct Message
    {
        TimePoint at;
        std::uint64_t number = 0;
        std::function<void()> run;

        bool operator>(const Message &other) const
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    static std::int64_t valueOf(const Node &node, Key key)
    {
        const auto it = node.levels.find(key);
        return it == node.levels.end() ? 0 : it->second;
    }

    void start(Node &node)
    {
        node.member = std::make_unique<Member>(node.tree);
        node.levels.clear();
        node.uplinks.clear();
        node.nextTick = m_now + Duration(m_random.below(30'000));
    }

    std::optional<std::size_t> find(const std::string &name) const
    {
        for (const auto &it : m_nodes) {
            if (it->tree.name == name)
                return it->index;
        }
        return std::nullopt;
    }

    bool isCut(std::size_t a, std::size_t b) const
    {
        const std::string &first = m_nodes[a]->tree.failureDomain;
        const std::string &second = m_nodes[b]->tree.failureDomain;
        return first != second && (m_cutDomains.count(first) > 0 || m_cutDomains.count(second) > 0);
    }

    /// Runs an action at an instance after the delay of the network, in the order of sending.
    void deliver(std::size_t from, std::size_t to, std::function<void()> action)
    {
        if (isCut(from, to))
            return;
        TimePoint &last = m_lastDelivery[{from, to}];
        const Duration delay = Duration(500 + m_random.below(2'500));
        last = std::max(last, m_now + delay);
        m_messages.push({last, m_messageNumber++, [this, to, action = std::move(action)] {
                             Node &node = *m_nodes[to];
                             if (node.isFrozen)
                                 node.heldBack.push_back(action);
                             else
                                 action();
                         }});
    }

    void apply(Node &node, const MemberEffects &effects)
    {
        for (const std::string &it : effects.disconnect) {
            const auto uplink = node.uplinks.find(it);
            if (uplink == node.uplinks.end())
                continue;
            const std::uint64_t id = uplink->second;
            node.uplinks.erase(uplink);
            close(id, m_links[id].parent);
        }
        for (const ChildId it : effects.disconnectChildren)
            close(it, m_links[it].child);
        for (const std::string &it : effects.connect)
            connect(node, it);
        for (const OutgoingUpdate &it : effects.updates)
            send(node, it);
        for (const Event &it : effects.events) {
            ++node.events[it.key];
            m_traffic.ages.push_back(toSeconds(m_now - m_sentAt[it.key]) * 1000);
        }
        for (const Increment &it : effects.increments)
            node.increments[it.key] += it.amount;
    }

    void connect(Node &node, const std::string &name)
    {
        const auto to = find(name);
        if (!to || !m_nodes[*to]->isUp)
            return;
        const std::uint64_t id = ++m_lastLink;
        m_links[id] = {node.index, *to, false};
        node.uplinks[name] = id;
        // The handshake takes a round trip before the join arrives.
        deliver(node.index, *to, [this, id, tree = node.tree] {
            Link &link = m_links[id];
            Node &parent = *m_nodes[link.parent];
            if (!parent.isUp)
                return;
            link.isOpen = true;
            apply(parent, parent.member->join(id, tree, m_now));
        });
    }

    void close(std::uint64_t id, std::size_t otherEnd)
    {
        Link &link = m_links[id];
        link.isOpen = false;
        const std::size_t from = otherEnd == link.child ? link.parent : link.child;
        deliver(from, otherEnd, [this, id, otherEnd] {
            const Link &it = m_links[id];
            Node &node = *m_nodes[otherEnd];
            if (!node.isUp)
                return;
            if (otherEnd == it.parent) {
                node.member->childClosed(id);
                return;
            }
            const std::string &name = m_nodes[it.parent]->tree.name;
            const auto uplink = node.uplinks.find(name);
            if (uplink == node.uplinks.end() || uplink->second != id)
                return;
            node.uplinks.erase(uplink);
            apply(node, node.member->closed(name, m_now));
        });
    }

    void send(Node &node, const OutgoingUpdate &out)
    {
        const auto uplink = node.uplinks.find(out.to.uplink);
        if (!out.to.uplink.empty() && uplink == node.uplinks.end())
            return;
        const std::uint64_t id = out.to.uplink.empty() ? out.to.child : uplink->second;
        const Link link = m_links[id];
        const bool isUpward = link.child == node.index;
        ++m_traffic.messages;
        ++node.sent;
        deliver(node.index, isUpward ? link.parent : link.child,
                [this, id, isUpward, update = out.update] {
                    const Link &it = m_links[id];
                    Node &to = *m_nodes[isUpward ? it.parent : it.child];
                    if (!it.isOpen || !to.isUp)
                        return;
                    if (isUpward) {
                        apply(to, to.member->receiveFromChild(id, update, m_now));
                        return;
                    }
                    const std::string &name = m_nodes[it.parent]->tree.name;
                    const auto current = to.uplinks.find(name);
                    if (current != to.uplinks.end() && current->second == id)
                        apply(to, to.member->receive(name, update, m_now));
                });
    }

    Random m_random;
    TimePoint m_now = TimePoint(std::chrono::hours(1));
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::map<std::uint64_t, Link> m_links;
    std::uint64_t m_lastLink = 0;
    std::priority_queue<Message, std::vector<Message>, std::greater<>> m_messages;
    std::uint64_t m_messageNumber = 0;
    std::map<std::pair<std::size_t, std::size_t>, TimePoint> m_lastDelivery;
    std::set<std::string> m_cutDomains;
    std::map<Key, TimePoint> m_sentAt;
    Traffic m_traffic;
};

inline double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

} // namespace overlaytest

#endif // KUMQUATHAVEN_UNITTESTS_OVERLAY_NETWORK_H
