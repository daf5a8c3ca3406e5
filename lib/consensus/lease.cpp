// Linearizable reads from the leader's state machine, confirmed by lease or by a heartbeat round.

#include "kumquathaven/consensus/replica.h"

#include <algorithm>
#include <functional>

namespace kumquathaven::consensus {

/// Returns the latest heartbeat round that a majority of the voters has responded to.
std::uint64_t Replica::quorumRound() const
{
    std::vector<std::uint64_t> rounds;
    for (const MemberId &it : m_configuration.voters)
        rounds.push_back(it == m_self ? m_round : m_progress.at(it).ackedRound);
    std::sort(rounds.begin(), rounds.end(), std::greater<>());
    return rounds[quorumOf(m_configuration) - 1];
}

/// Returns when the lease ends, or nothing if there is none. The voters that responded to a round
/// were contacted by the leader no earlier than the start of the round. For an election timeout
/// after that contact they vote for no other candidate. The lease is shorter than that timeout,
/// since a voter's clock may run faster by clockDriftPerMille.
std::optional<TimePoint> Replica::leaseEnd() const
{
    constexpr std::int64_t perMille = 1000;
    if (m_role != Role::Leader || m_leaseRevoked)
        return std::nullopt;
    const std::uint64_t number = quorumRound();
    const auto round = std::find_if(m_rounds.begin(), m_rounds.end(), [&](const Round &it) {
        return it.number == number;
    });
    if (round == m_rounds.end())
        return std::nullopt;
    const Duration length =
        m_settings.electionTimeout * perMille / (perMille + m_settings.clockDriftPerMille);
    return round->startedAt + length;
}

bool Replica::hasCommittedInTerm() const
{
    return m_role == Role::Leader && m_commitIndex >= m_termStartIndex;
}

bool Replica::mayRead(TimePoint now) const
{
    const auto end = leaseEnd();
    return end && now < *end && hasCommittedInTerm() && m_applied >= m_commitIndex;
}

Result<void> Replica::readIndex(std::uint64_t request, TimePoint now)
{
    if (m_role != Role::Leader)
        return failNotLeader("consensus.readIndex");
    if (m_reads.size() >= m_settings.maxPendingReads) {
        return fail({ErrorCode::Overloaded,
                     "consensus.readIndex",
                     {},
                     "too many reads are pending",
                     Outcome::NotRun,
                     m_settings.heartbeat});
    }
    PendingRead read;
    read.request = request;
    // Until the leader's first own entry is committed, it does not know which entries of earlier
    // terms are committed.
    read.index = std::max(m_commitIndex, m_termStartIndex);
    const auto end = leaseEnd();
    read.isConfirmed = end && now < *end;
    // Only a round that starts after the request proves that this member was still the leader then.
    read.round = m_round + 1;
    m_needsReadRound = m_needsReadRound || !read.isConfirmed;
    m_reads.push_back(read);
    return {};
}

void Replica::confirmReads()
{
    const std::uint64_t number = quorumRound();
    while (!m_rounds.empty() && m_rounds.front().number < number)
        m_rounds.pop_front();
    for (PendingRead &it : m_reads)
        it.isConfirmed = it.isConfirmed || it.round <= number;
}

void Replica::collectReads(Effects &effects)
{
    const auto isReady = [this](const PendingRead &it) {
        return it.isConfirmed && it.index <= m_applied;
    };
    for (const PendingRead &it : m_reads) {
        if (isReady(it))
            effects.reads.push_back({it.request, it.index});
    }
    m_reads.erase(std::remove_if(m_reads.begin(), m_reads.end(), isReady), m_reads.end());
}

void Replica::refuseReads()
{
    for (const PendingRead &it : m_reads)
        m_effects.refusedReads.push_back({it.request, {}});
    m_reads.clear();
}

} // namespace kumquathaven::consensus
