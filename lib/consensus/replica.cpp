#include "kumquathaven/consensus/replica.h"

#include "kumquathaven/base/enumnames.h"

#include <algorithm>
#include <array>
#include <utility>

namespace kumquathaven::consensus {

namespace {

constexpr std::array<EnumName<Role>, 5> roleNames{{{Role::Learner, "learner"},
                                                   {Role::Follower, "follower"},
                                                   {Role::PreCandidate, "preCandidate"},
                                                   {Role::Candidate, "candidate"},
                                                   {Role::Leader, "leader"}}};

bool isSame(const RaftState &a, const RaftState &b)
{
    return a.role == b.role && a.term == b.term && a.leader == b.leader;
}

} // namespace

std::string_view roleName(Role role)
{
    return nameOf(roleNames, role);
}

Replica::Replica(const ReplicaSettings &settings, ReplicaStart start, TimePoint now)
    : m_settings(settings)
    , m_group(start.group)
    , m_self(std::move(start.self))
    , m_instances(std::move(start.instances))
    , m_random(start.seed)
    , m_hardState(std::move(start.contents.hardState))
    , m_snapshot(std::move(start.contents.snapshot))
    , m_firstIndex(m_snapshot.index + 1)
    , m_baseTerm(m_snapshot.term)
{
    m_commitIndex = std::max(m_snapshot.index, start.applied);
    m_applied = m_commitIndex;
    if (m_snapshot.state)
        m_configurations.push_back(
            {{m_snapshot.index, m_snapshot.term}, configurationFrom(m_snapshot.configuration)});
    for (Entry &it : start.contents.entries) {
        m_entryBytes += it.data.size();
        if (it.index <= m_applied)
            m_appliedBytes += it.data.size();
        m_entries.push_back(std::move(it));
        trackConfiguration(m_entries.back());
    }
    m_durableIndex = lastIndex();
    applyConfiguration();
    m_role = m_configuration.isVoter(m_self) ? Role::Follower : Role::Learner;
    m_reportedState = {m_role, 0, std::nullopt};
    // Before a restart, this member may have supported a leader's lease. It votes for no other
    // candidate until any such lease has ended.
    m_lastLeaderContactAt = now;
    resetElectionTimer(now);
}

Snapshot Replica::bootstrap(const MemberId &self, std::string state)
{
    Configuration configuration;
    configuration.voters = {self};
    Snapshot snapshot;
    snapshot.index = 1;
    snapshot.term = 1;
    snapshot.configuration = encode(configuration);
    snapshot.state = std::make_shared<const std::string>(std::move(state));
    return snapshot;
}

void Replica::tick(TimePoint now)
{
    if (m_role == Role::Leader) {
        checkQuorum(now);
        if (m_role == Role::Leader && now >= m_nextHeartbeat)
            sendHeartbeats(now);
        return;
    }
    if (now < m_electionDeadline || (m_removed && !m_settings.hasAutomaticMembership))
        return;
    if (m_configuration.isVoter(m_self) && !m_removed)
        startElection(true, false, now);
    else
        sendJoinRequests(now);
}

void Replica::receive(const Message &message, TimePoint now)
{
    if (!isAddressedHere(message))
        return;
    // Precedes the term check, since a removed member may have a later term than the group.
    if (const auto *answer = std::get_if<VoteResponse>(&message.body))
        recordRemoval(*answer, now);
    if (!acceptTerm(message, now))
        return;
    std::visit(
        [&](const auto &body) {
            handle(message, body, now);
        },
        message.body);
}

bool Replica::isAddressedHere(const Message &message) const
{
    if (message.group != m_group || message.to.instance != m_self.instance
        || message.from == m_self)
        return false;
    if (message.to.identity == m_self.identity)
        return true;
    return message.to.identity == 0 && std::holds_alternative<JoinRequest>(message.body);
}

bool Replica::acceptTerm(const Message &message, TimePoint now)
{
    if (std::holds_alternative<JoinRequest>(message.body))
        return true;
    const auto *vote = std::get_if<VoteRequest>(&message.body);
    if (vote && vote->preVote)
        return true;
    if (message.term > m_hardState.term)
        return acceptNewerTerm(message, now);
    if (message.term < m_hardState.term) {
        rejectOldTerm(message);
        return false;
    }
    return true;
}

bool Replica::acceptNewerTerm(const Message &message, TimePoint now)
{
    const auto *vote = std::get_if<VoteRequest>(&message.body);
    if (vote && !vote->transfer && hasRecentLeaderContact(now))
        return false;
    const auto *answer = std::get_if<VoteResponse>(&message.body);
    if (answer && answer->preVote && answer->granted)
        return true;
    const bool isFromLeader = std::holds_alternative<AppendRequest>(message.body)
        || std::holds_alternative<SnapshotRequest>(message.body);
    becomeFollower(message.term, isFromLeader ? std::optional(message.from) : std::nullopt, now);
    return true;
}

// The response carries the current term, so that a former leader steps down and a member with an
// earlier term can be elected again.
void Replica::rejectOldTerm(const Message &message)
{
    if (const auto *vote = std::get_if<VoteRequest>(&message.body))
        send(message.from, m_hardState.term, voteRefusalFor(message.from, vote->preVote));
    else if (const auto *append = std::get_if<AppendRequest>(&message.body))
        send(message.from, m_hardState.term, AppendResponse{false, 0, append->round});
    else if (const auto *snapshot = std::get_if<SnapshotRequest>(&message.body))
        send(message.from, m_hardState.term, AppendResponse{false, 0, snapshot->round});
}

void Replica::send(const MemberId &to, std::uint64_t term, MessageBody body)
{
    m_effects.messages.push_back({m_group, m_self, to, term, std::move(body)});
}

boost::leaf::error_id Replica::failNotLeader(const char *step) const
{
    return fail({ErrorCode::NotLeader,
                 step,
                 m_leader ? m_leader->instance : std::string(),
                 "this member is not the leader",
                 Outcome::NotRun,
                 {}});
}

Result<EntryId> Replica::propose(std::string data, TimePoint now)
{
    if (m_role != Role::Leader)
        return failNotLeader("consensus.propose");
    if (now < m_transfersUntil) {
        return fail({ErrorCode::Unavailable, "consensus.propose", m_self.instance,
                     "the leadership is being handed over", Outcome::NotRun, m_settings.heartbeat});
    }
    if (data.size() > m_settings.maxProposalBytes) {
        return fail({ErrorCode::TooLarge,
                     "consensus.propose",
                     {},
                     "the change exceeds the size limit of a proposal",
                     Outcome::NotRun,
                     {}});
    }
    if (m_uncommittedBytes + data.size() > m_settings.maxUncommittedBytes) {
        return fail({ErrorCode::Overloaded,
                     "consensus.propose",
                     {},
                     "too many bytes of changes are uncommitted",
                     Outcome::NotRun,
                     m_settings.heartbeat});
    }
    m_uncommittedBytes += data.size();
    append({lastIndex() + 1, m_hardState.term, EntryKind::Change, std::move(data)});
    return EntryId{lastIndex(), m_hardState.term};
}

void Replica::markDurable(const EntryId &last, TimePoint now)
{
    if (termAt(last.index) != last.term)
        return;
    m_durableIndex = std::max(m_durableIndex, last.index);
    if (m_role == Role::Leader)
        advanceCommit(now);
}

Effects Replica::drain(TimePoint now)
{
    if (m_role == Role::Leader) {
        if (m_needsReadRound)
            startRound(now);
        sendPending(now);
    }
    Effects effects = std::exchange(m_effects, {});
    collectUnsaved(effects);
    collectCommitted(effects);
    collectReads(effects);
    if (!isSame(raftState(), m_reportedState)) {
        m_reportedState = raftState();
        effects.raftState = m_reportedState;
    }
    return effects;
}

std::vector<ReadRefusal> Replica::stepDown(TimePoint now)
{
    becomeFollower(m_hardState.term, std::nullopt, now);
    return std::exchange(m_effects, {}).refusedReads;
}

void Replica::collectUnsaved(Effects &effects)
{
    if (std::exchange(m_hardStateChanged, false))
        effects.hardState = m_hardState;
    if (m_firstUnsavedIndex != 0) {
        const auto from = m_entries.begin()
            + static_cast<std::ptrdiff_t>(std::exchange(m_firstUnsavedIndex, 0) - m_firstIndex);
        effects.entries.assign(from, m_entries.end());
    }
    effects.lastEntry = {lastIndex(), lastTerm()};
}

// Entries that are not yet durable on this member are held back, so that the state machine never
// contains a change that a restart would lose.
void Replica::collectCommitted(Effects &effects)
{
    const std::uint64_t until = std::min(m_commitIndex, m_durableIndex);
    std::size_t bytes = 0;
    while (m_applied < until && bytes < m_settings.maxCommittedBytes) {
        effects.committed.push_back(*entryAt(++m_applied));
        bytes += effects.committed.back().data.size();
    }
    m_appliedBytes += bytes;
    if (isSnapshotDue()) {
        m_snapshotRequestIndex = m_applied;
        m_appliedBytes = 0;
        effects.snapshotDue = true;
    }
}

} // namespace kumquathaven::consensus
