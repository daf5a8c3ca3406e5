// Elections: pre-votes, votes and leadership transfer.

#include "kumquathaven/consensus/replica.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace kumquathaven::consensus {

void Replica::becomeFollower(std::uint64_t term, std::optional<MemberId> leader, TimePoint now)
{
    if (term > m_hardState.term) {
        m_hardState = {term, {}, 0};
        m_hardStateChanged = true;
    }
    if (m_role == Role::Leader) {
        refuseReads();
        m_progress.clear();
        m_rounds.clear();
    }
    m_role = m_configuration.isVoter(m_self) ? Role::Follower : Role::Learner;
    m_leader = std::move(leader);
    m_votes.clear();
    resetElectionTimer(now);
}

void Replica::resetElectionTimer(TimePoint now)
{
    const auto spread = static_cast<std::uint64_t>(m_settings.electionTimeout.count());
    m_electionDeadline = now + m_settings.electionTimeout
        + Duration(static_cast<std::int64_t>(m_random.below(spread)));
}

void Replica::recordLeaderContact(const MemberId &leader, TimePoint now)
{
    if (m_role == Role::PreCandidate || m_role == Role::Candidate)
        becomeFollower(m_hardState.term, leader, now);
    m_leader = leader;
    m_removed = false;
    m_lastLeader = leader;
    m_lastLeaderContactAt = now;
    resetElectionTimer(now);
}

bool Replica::hasRecentLeaderContact(TimePoint now) const
{
    return m_role == Role::Leader || now - m_lastLeaderContactAt < m_settings.electionTimeout;
}

void Replica::startElection(bool preVote, bool transfer, TimePoint now)
{
    resetElectionTimer(now);
    m_leader.reset();
    m_votes.clear();
    m_role = preVote ? Role::PreCandidate : Role::Candidate;
    if (!preVote) {
        m_hardState = {m_hardState.term + 1, m_self.instance, m_self.identity};
        m_hardStateChanged = true;
    }
    const std::uint64_t term = preVote ? m_hardState.term + 1 : m_hardState.term;
    for (const MemberId &it : m_configuration.voters) {
        if (it != m_self)
            send(it, term, VoteRequest{preVote, transfer, lastIndex(), lastTerm()});
    }
    countVote(m_self, now);
}

void Replica::countVote(const MemberId &from, TimePoint now)
{
    if (!m_configuration.isVoter(from))
        return;
    m_votes.insert(from);
    if (m_votes.size() < quorumOf(m_configuration))
        return;
    if (m_role == Role::PreCandidate)
        startElection(false, false, now);
    else
        becomeLeader(now);
}

void Replica::becomeLeader(TimePoint now)
{
    m_role = Role::Leader;
    m_leader = m_self;
    const std::set<MemberId> votes = std::exchange(m_votes, {});
    m_progress.clear();
    m_rounds.clear();
    m_leaseRevoked = false;
    m_transfersUntil = TimePoint{};
    m_needsReadRound = false;
    m_uncommittedBytes = 0;
    for (std::uint64_t n = m_commitIndex + 1; n <= lastIndex(); ++n)
        m_uncommittedBytes += entryAt(n)->data.size();
    reconcileProgress();
    // The leader before may have ended; how long it has been silent is known.
    for (auto &it : m_progress) {
        const bool isSilent = it.first == m_lastLeader && votes.count(it.first) == 0;
        it.second.lastResponseAt = isSilent ? m_lastLeaderContactAt : now;
    }
    m_termStartIndex = lastIndex() + 1;
    append({m_termStartIndex, m_hardState.term, EntryKind::Noop, {}});
    sendHeartbeats(now);
}

bool Replica::isUpToDate(const VoteRequest &request) const
{
    if (request.lastTerm != lastTerm())
        return request.lastTerm > lastTerm();
    return request.lastIndex >= lastIndex();
}

void Replica::handle(const Message &message, const VoteRequest &body, TimePoint now)
{
    if (body.preVote) {
        const bool granted =
            message.term > m_hardState.term && !hasRecentLeaderContact(now) && isUpToDate(body);
        if (granted)
            send(message.from, message.term, VoteResponse{true, true});
        else
            send(message.from, m_hardState.term, voteRefusalFor(message.from, true));
        return;
    }
    const bool mayVote = m_hardState.votedForIdentity == 0
        || (m_hardState.votedFor == message.from.instance
            && m_hardState.votedForIdentity == message.from.identity);
    const bool granted = mayVote && isUpToDate(body);
    if (granted) {
        m_hardState.votedFor = message.from.instance;
        m_hardState.votedForIdentity = message.from.identity;
        m_hardStateChanged = true;
        resetElectionTimer(now);
    }
    send(message.from, m_hardState.term, VoteResponse{false, granted});
}

void Replica::handle(const Message &message, const VoteResponse &body, TimePoint now)
{
    const bool fitsPreVote =
        body.preVote && m_role == Role::PreCandidate && message.term == m_hardState.term + 1;
    const bool fitsVote =
        !body.preVote && m_role == Role::Candidate && message.term == m_hardState.term;
    if (body.granted && (fitsPreVote || fitsVote))
        countVote(message.from, now);
}

void Replica::handle(const Message &message, const TransferRequest &, TimePoint now)
{
    if (m_leader == message.from && m_configuration.isVoter(m_self))
        startElection(false, true, now);
}

// The transfer request may arrive at any later time and start an election despite the lease, so the
// leader must not use its lease again in this term.
Result<void> Replica::transferLeadership(const MemberId &target, TimePoint now)
{
    if (m_role != Role::Leader)
        return failNotLeader("consensus.transferLeadership");
    const auto it = m_progress.find(target);
    const bool isVoter = it != m_progress.end() && m_configuration.isVoter(target);
    if (!isVoter || it->second.match < lastIndex()) {
        return fail(
            {isVoter ? ErrorCode::Unavailable : ErrorCode::InvalidRequest,
             "consensus.transferLeadership",
             target.instance,
             isVoter ? "the log of the member lags behind" : "the member is not another voter",
             Outcome::NotRun,
             {}});
    }
    m_leaseRevoked = true;
    // Members with a later entry would not vote for the target.
    m_transfersUntil = now + m_settings.electionTimeout;
    send(target, m_hardState.term, TransferRequest{});
    return {};
}

} // namespace kumquathaven::consensus
