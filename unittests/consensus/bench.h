// Test bench with a few in-memory replicas. The test controls time and the delivery of every
// message.

#ifndef KUMQUATHAVEN_UNITTESTS_CONSENSUS_BENCH_H
#define KUMQUATHAVEN_UNITTESTS_CONSENSUS_BENCH_H

#include "common/codeof.h"
#include "kumquathaven/consensus/replica.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace kumquathaven::consensus {

using testing::codeOf;

/// Returns the member with the number \p n.
inline MemberId memberId(std::size_t n)
{
    return {"member-" + std::to_string(n), (std::uint64_t{1} << 63) + n};
}

/// Returns the storage contents that the first members of a group start with: a snapshot with the
/// first \p voters members as voters and the next \p learners members as learners.
inline storage::Contents bootstrapContents(std::size_t voters, std::size_t learners = 0)
{
    Configuration configuration;
    for (std::size_t n = 0; n < voters + learners; ++n)
        (n < voters ? configuration.voters : configuration.learners).push_back(memberId(n));
    storage::Contents contents;
    contents.snapshot = Replica::bootstrap(memberId(0), "");
    contents.snapshot.configuration = encode(configuration);
    contents.hardState.term = 1;
    return contents;
}

/// A group of replicas with simulated time and network. Members are numbered from 0.
class Bench
{
public:
    /// Returns whether a message is delivered.
    using Filter = std::function<bool(const Message &)>;

    explicit Bench(std::size_t voters, std::size_t learners = 0, ReplicaSettings settings = {})
        : m_settings(settings)
    {
        for (std::size_t n = 0; n < voters + learners; ++n)
            start(n, bootstrapContents(voters, learners));
    }

    /// Starts or restarts a member from \p contents, as \p self if given, else as memberId(n).
    void start(std::size_t n, storage::Contents contents, const MemberId &self = {})
    {
        ReplicaStart from;
        from.self = self.instance.empty() ? memberId(n) : self;
        from.contents = std::move(contents);
        from.seed = n;
        m_replicas.erase(n);
        m_replicas.emplace(n, Replica(m_settings, std::move(from), now));
        committed[n].clear();
    }

    Replica &operator[](std::size_t n) { return m_replicas.at(n); }

    /// Drains a member until it has no more effects to make durable, and treats all of them as
    /// durable at once. Collects its messages, committed entries and confirmed reads.
    void applyEffects(std::size_t n)
    {
        bool isDone = false;
        while (!isDone) {
            Effects effects = m_replicas.at(n).drain(now);
            isDone = effects.entries.empty() && !effects.hardState && !effects.receivedSnapshot;
            m_replicas.at(n).markDurable(effects.lastEntry, now);
            std::move(effects.messages.begin(), effects.messages.end(),
                      std::back_inserter(messages));
            std::move(effects.committed.begin(), effects.committed.end(),
                      std::back_inserter(committed[n]));
            for (const ReadConfirmation &it : effects.reads)
                confirmedReads.push_back(it.request);
        }
    }

    /// Delivers all messages, and those sent in response, until none are left. Messages that the
    /// filter rejects are lost.
    void deliver(const Filter &passes = {})
    {
        for (auto &it : m_replicas)
            applyEffects(it.first);
        while (!messages.empty()) {
            const std::vector<Message> batch = std::exchange(messages, {});
            for (const Message &message : batch) {
                for (auto &it : m_replicas) {
                    const bool isTarget = it.second.self().instance == message.to.instance;
                    if (!isTarget || (passes && !passes(message)))
                        continue;
                    it.second.receive(message, now);
                    applyEffects(it.first);
                }
            }
        }
    }

    /// Advances the time in steps of 10 ms. Each step ticks every member and delivers all messages.
    void advanceTime(Duration time, const Filter &passes = {})
    {
        const TimePoint end = now + time;
        while (now < end) {
            now += std::chrono::milliseconds(10);
            for (auto &it : m_replicas)
                it.second.tick(now);
            deliver(passes);
        }
    }

    /// Advances the time until a member is the leader and returns its number. Returns noMember if
    /// there is no leader within 10 seconds.
    std::size_t waitForLeader(const Filter &passes = {})
    {
        for (int n = 0; n < 1000; ++n) {
            for (const auto &it : m_replicas) {
                if (it.second.raftState().role == Role::Leader)
                    return it.first;
            }
            advanceTime(std::chrono::milliseconds(10), passes);
        }
        return noMember;
    }

    static constexpr std::size_t noMember = 99;

    TimePoint now{std::chrono::seconds(1000)};
    /// Messages that were sent and not yet delivered.
    std::vector<Message> messages;
    /// Committed entries that each member returned since its last start.
    std::map<std::size_t, std::vector<Entry>> committed;
    /// Request numbers of confirmed reads.
    std::vector<std::uint64_t> confirmedReads;

private:
    ReplicaSettings m_settings;
    std::map<std::size_t, Replica> m_replicas;
};

/// Returns a filter that drops every message from and to the member \p n.
inline Bench::Filter dropMessagesOf(std::size_t n)
{
    return [name = memberId(n).instance](const Message &message) {
        return message.from.instance != name && message.to.instance != name;
    };
}

} // namespace kumquathaven::consensus

#endif // KUMQUATHAVEN_UNITTESTS_CONSENSUS_BENCH_H
