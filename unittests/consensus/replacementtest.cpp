// Generated histories of members that are replaced. The property: once the successor of a removed
// member has had its time to catch up, the group bears as many further losses as it is to tolerate.

#include "bench.h"
#include "common/sanitized.h"
#include "kumquathaven/base/random.h"
#include "kumquathaven/consensus/group.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <memory>
#include <set>
#include <utility>

using namespace kumquathaven;
using namespace kumquathaven::consensus;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration stepTime = milliseconds(10);
constexpr Duration catchUpTime = seconds(4);
constexpr Duration recoveryTime = seconds(12);
/// Time that a member which is told to end goes on.
constexpr Duration leaveTime = milliseconds(600);
constexpr Duration settleTime = seconds(2);

struct Machine
{
    MemberId id;
    std::unique_ptr<Replica> replica;
    /// The machine neither sends nor receives before this time.
    TimePoint frozenUntil{};
    /// When a machine that was told to end does so, or one that lost its disk starts again.
    TimePoint endsAt{};
    TimePoint startsAt{};
    std::vector<MemberId> joining;
    std::set<std::string> applied;
};

/// A group of machines with simulated time and network, and its history so far.
class History
{
public:
    History(std::size_t size, std::size_t losses, std::uint64_t seed)
        : random(seed)
        , m_losses(losses)
    {
        m_settings.heartbeat = milliseconds(150);
        m_settings.electionTimeout = milliseconds(600);
        m_settings.hasAutomaticMembership = true;
        m_governance = automaticMembership(losses, catchUpTime, m_settings);
        for (std::size_t n = 0; n < size; ++n)
            start(memberId(n), bootstrapContents(size));
        m_nextNumber = size;
        run(settleTime);
    }

    /// Adds a machine with an empty disk at a new address.
    std::string addMachine()
    {
        const MemberId id = memberId(m_nextNumber++);
        start(id, {});
        return id.instance;
    }

    void run(Duration time)
    {
        for (const TimePoint end = m_now + time; m_now < end;)
            step();
    }

    void kill(const std::string &name) { m_machines.erase(name); }

    void terminate(const std::string &name)
    {
        m_machines.at(name).replica->announceLeaving();
        m_machines.at(name).endsAt = m_now + leaveTime;
    }

    void freeze(const std::string &name, Duration time)
    {
        m_machines.at(name).frozenUntil = m_now + time;
    }

    /// Takes the disks of machines at the same moment. They start again, empty, a moment later.
    void loseDisks(const std::vector<std::string> &names)
    {
        for (const std::string &it : names) {
            Machine &machine = m_machines.at(it);
            machine.replica.reset();
            machine.startsAt = m_now + milliseconds(200 + random.below(800));
        }
    }

    std::vector<std::string> running() const
    {
        std::vector<std::string> names;
        for (const auto &it : m_machines) {
            if (it.second.replica && it.second.endsAt == TimePoint{})
                names.push_back(it.first);
        }
        return names;
    }

    /// Returns one of the running machines, half of the time the leader.
    std::string draw()
    {
        const std::string leader = leaderName();
        const std::vector<std::string> names = running();
        return !leader.empty() && random.below(2) == 0 ? leader : names[random.below(names.size())];
    }

    /// Loses as many disks as the group is to tolerate. Returns whether it is writable again in
    /// time, with all that was acknowledged.
    bool bearsLosses()
    {
        std::set<std::string> names{draw()};
        while (names.size() < m_losses)
            names.insert(draw());
        const std::set<std::string> before = m_acknowledged;
        loseDisks({names.begin(), names.end()});
        run(recoveryTime);
        const std::string leader = leaderName();
        if (leader.empty() || m_acknowledged.size() == before.size())
            return false;
        const std::set<std::string> &applied = m_machines.at(leader).applied;
        return std::includes(applied.begin(), applied.end(), m_acknowledged.begin(),
                             m_acknowledged.end());
    }

    Random random;

private:
    void start(const MemberId &id, storage::Contents contents)
    {
        Machine &machine = m_machines[id.instance];
        machine.id = id;
        machine.startsAt = TimePoint{};
        machine.applied.clear();
        ReplicaStart from;
        from.self = id;
        from.contents = std::move(contents);
        from.seed = random.next();
        for (const auto &it : m_machines)
            from.instances.push_back(it.first);
        machine.replica = std::make_unique<Replica>(m_settings, std::move(from), m_now);
    }

    bool isRunning(const Machine &machine) const
    {
        return machine.replica && machine.frozenUntil <= m_now;
    }

    std::string leaderName() const
    {
        std::string name;
        std::uint64_t term = 0;
        for (const auto &it : m_machines) {
            if (!isRunning(it.second))
                continue;
            const RaftState state = it.second.replica->raftState();
            if (state.role == Role::Leader && state.term > term) {
                name = it.first;
                term = state.term;
            }
        }
        return name;
    }

    void step()
    {
        m_now += stepTime;
        for (auto it = m_machines.begin(); it != m_machines.end();) {
            const bool hasEnded = it->second.endsAt != TimePoint{} && m_now >= it->second.endsAt;
            it = hasEnded ? m_machines.erase(it) : std::next(it);
        }
        for (auto &it : m_machines) {
            if (!it.second.replica && m_now >= it.second.startsAt)
                start({it.first, random.next() | 1U}, {});
            if (isRunning(it.second))
                it.second.replica->tick(m_now);
        }
        const std::vector<Message> batch = std::exchange(m_messages, {});
        for (const Message &it : batch) {
            const auto to = m_machines.find(it.to.instance);
            if (to != m_machines.end() && isRunning(to->second))
                to->second.replica->receive(it, m_now);
        }
        if (++m_steps % 10 == 0)
            lead();
        for (auto &it : m_machines) {
            if (isRunning(it.second))
                drain(it.second);
        }
    }

    /// What the duty of a leader does: a membership step, and a change of a client.
    void lead()
    {
        for (auto &it : m_machines) {
            Machine &machine = it.second;
            if (!isRunning(machine) || machine.replica->raftState().role != Role::Leader)
                continue;
            Replica &replica = *machine.replica;
            const auto step = nextAutomaticStep(replica, m_governance, machine.joining, m_now);
            machine.joining.clear();
            if (step)
                codeOf([&] {
                    return replica.changeMembers(*step, m_now);
                });
            const auto successor = nextLeader(replica, m_governance, m_now);
            if (successor && machine.endsAt != TimePoint{})
                codeOf([&] {
                    return replica.transferLeadership(*successor, m_now);
                });
            codeOf([&] {
                return replica.propose("change " + std::to_string(m_steps), m_now);
            });
        }
    }

    void drain(Machine &machine)
    {
        Replica &replica = *machine.replica;
        bool isDone = false;
        while (!isDone) {
            Effects effects = replica.drain(m_now);
            isDone = effects.entries.empty() && !effects.hardState && !effects.receivedSnapshot;
            replica.markDurable(effects.lastEntry, m_now);
            std::move(effects.messages.begin(), effects.messages.end(),
                      std::back_inserter(m_messages));
            std::move(effects.joining.begin(), effects.joining.end(),
                      std::back_inserter(machine.joining));
            for (const Entry &it : effects.committed) {
                if (it.kind != EntryKind::Change)
                    continue;
                machine.applied.insert(it.data);
                if (replica.raftState().role == Role::Leader)
                    m_acknowledged.insert(it.data);
            }
        }
    }

    const std::size_t m_losses;
    ReplicaSettings m_settings;
    AutomaticMembership m_governance;
    TimePoint m_now{seconds(1000)};
    std::uint64_t m_steps = 0;
    std::size_t m_nextNumber = 0;
    std::map<std::string, Machine> m_machines;
    std::vector<Message> m_messages;
    std::set<std::string> m_acknowledged;
};

/// How a machine is replaced.
enum class Order { SuccessorThenStop, SuccessorThenKill, KillThenSuccessor };

/// Replaces a machine, and returns when the last successor has had its time to catch up.
void replaceOne(History &history, bool mayFreeze)
{
    constexpr std::array<Order, 3> orders{Order::SuccessorThenStop, Order::SuccessorThenKill,
                                          Order::KillThenSuccessor};
    Random &random = history.random;
    const Order order = orders[random.below(orders.size())];
    // One that is told to end says so; that another one is gone shows by its silence only.
    const Duration pause =
        milliseconds(random.below(order == Order::SuccessorThenStop ? 3000 : 2000));
    const std::string former = history.draw();
    Duration stillLost{0};
    if (order == Order::KillThenSuccessor) {
        history.kill(former);
        if (mayFreeze && random.below(2) == 0) {
            stillLost = milliseconds(500 + random.below(1500));
            history.freeze(history.draw(), stillLost);
        }
        history.run(pause);
    }
    std::string successor = history.addMachine();
    if (random.below(4) == 0) {
        // The successor is gone again, and another one comes.
        history.run(milliseconds(random.below(3000)));
        history.kill(successor);
        history.run(milliseconds(random.below(2000)));
        successor = history.addMachine();
    }
    if (order == Order::KillThenSuccessor) {
        // A machine that was frozen counts as lost until it has had the same time.
        history.run(catchUpTime + std::max(Duration(0), stillLost - pause));
        return;
    }
    history.run(pause);
    if (order == Order::SuccessorThenStop)
        history.terminate(former);
    else
        history.kill(former);
    history.run(catchUpTime - pause);
}

} // namespace

// Guards against members that are gone and count as voters, so that the next loss ends the group.
TEST_CASE("a group bears its losses again when the successors of its members have caught up")
{
    struct Row
    {
        std::size_t size;
        std::size_t losses;
    };
    for (const Row row : {Row{3, 1}, Row{5, 2}, Row{5, 1}}) {
        CAPTURE(row.size);
        CAPTURE(row.losses);
        for (std::uint64_t seed = 1; seed <= (testing::isSanitized ? 8U : 120U); ++seed) {
            CAPTURE(seed);
            History history(row.size, row.losses, seed);
            const std::uint64_t rounds = 1 + history.random.below(3);
            for (std::uint64_t n = 0; n < rounds; ++n)
                replaceOne(history, row.losses > 1);
            REQUIRE(history.bearsLosses());
            // The group heals, and bears them again.
            history.run(catchUpTime);
            REQUIRE(history.bearsLosses());
        }
    }
}
