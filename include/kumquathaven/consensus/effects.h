// Output types of a replica of a log group: its Raft state, the effects to carry out, and the
// replication progress of each member.

#ifndef KUMQUATHAVEN_CONSENSUS_EFFECTS_H
#define KUMQUATHAVEN_CONSENSUS_EFFECTS_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/consensus/configuration.h"
#include "kumquathaven/consensus/message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquathaven::consensus {

/// Role of a member. A learner receives the log without a vote. A pre-candidate asks the voters
/// whether they would elect it before it increments its term.
enum class Role { Learner, Follower, PreCandidate, Candidate, Leader };

/// Returns the name of a role, for example "preCandidate".
std::string_view roleName(Role role);

/// Index and term of a log entry.
struct EntryId
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
};

/// A read that may be answered from the state machine once \c Effects::committed is applied.
struct ReadConfirmation
{
    std::uint64_t request = 0;
    /// By then the state machine has applied every change up to this index.
    std::uint64_t index = 0;
};

/// A read that this member can't answer because it is no longer the leader.
struct ReadRefusal
{
    std::uint64_t request = 0;
    /// Instance name of the leader; empty if unknown.
    std::string leader;
};

/// Role, term and known leader of a replica at one moment.
struct RaftState
{
    Role role = Role::Follower;
    std::uint64_t term = 0;
    /// Leader of the term, if known.
    std::optional<MemberId> leader;
};

/// Work for the caller to carry out, in the order of the fields.
struct Effects
{
    /// Hard state to make durable.
    std::optional<HardState> hardState;
    /// Entries to make durable after the hard state. If the log already has an entry at the first
    /// index, that entry and all later ones are replaced.
    std::vector<Entry> entries;
    /// A snapshot received from the leader. It is made durable in place of the log, before the
    /// entries, and then loaded into the state machine.
    std::optional<Snapshot> receivedSnapshot;
    /// A snapshot of this member's own state machine to make durable. The entries that it covers
    /// may be deleted afterwards.
    std::optional<Snapshot> localSnapshot;
    /// Messages to send only after everything above is durable.
    std::vector<Message> messages;
    /// Entries to apply to the state machine, without gaps in their indexes. They include noop and
    /// configuration entries. A proposal was committed if the entry at its index has the term of
    /// the proposal, and was lost if that entry has another term.
    std::vector<Entry> committed;
    /// Reads requested by readIndex() to answer after the committed entries are applied.
    std::vector<ReadConfirmation> reads;
    std::vector<ReadRefusal> refusedReads;
    /// The new state if role, term or leader changed.
    std::optional<RaftState> raftState;
    /// Members outside the group that asked to join.
    std::vector<MemberId> joining;
    /// A snapshot of the state machine should be taken and passed to Replica::adoptSnapshot().
    bool snapshotDue = false;
    /// The last entry of the log once the effects are durable; the argument of
    /// Replica::markDurable().
    EntryId lastEntry;
};

/// Replication progress of one member as known to the leader.
struct MemberProgress
{
    MemberId member;
    bool isVoter = false;
    /// Index of the last entry known to be durable on the member.
    std::uint64_t matchIndex = 0;
    /// Time since the member's last response; zero for this member and one that was just added.
    Duration timeSinceResponse{};
    bool receivesSnapshot = false;
    /// Whether the member has said that it is about to end.
    bool isLeaving = false;
};

} // namespace kumquathaven::consensus

#endif // KUMQUATHAVEN_CONSENSUS_EFFECTS_H
