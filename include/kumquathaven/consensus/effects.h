// What a replica of a log group reports: its role, its effects and the progress of the members.

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

/// A member's role. A learner receives the log without a vote; a pre-candidate asks whether it
/// would be elected before it raises the term.
enum class Role { Learner, Follower, PreCandidate, Candidate, Leader };

/// Returns the name of a role, for example "preCandidate".
std::string_view roleName(Role role);

/// A position in the log.
struct EntryId
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
};

/// A read that may be answered from the state machine as it is after \c Effects::committed.
struct ReadConfirmation
{
    std::uint64_t request = 0;
    /// The state machine has every change up to this index.
    std::uint64_t index = 0;
};

/// A read that this member can't answer, since it is not the leader any more.
struct ReadRefusal
{
    std::uint64_t request = 0;
    /// Instance name of the leader; empty if unknown.
    std::string leader;
};

/// What a member is to the others at a moment.
struct RaftState
{
    Role role = Role::Follower;
    std::uint64_t term = 0;
    /// The term's leader, if known.
    std::optional<MemberId> leader;
};

/// What has to be done, in the order of the members.
struct Effects
{
    /// To be made durable.
    std::optional<HardState> hardState;
    /// To be made durable after the hard state. A first index that the log holds replaces the rest.
    std::vector<Entry> entries;
    /// A snapshot from the leader to be made durable in place of the log, then to be loaded into
    /// the state machine. It comes before the entries.
    std::optional<Snapshot> receivedSnapshot;
    /// The own snapshot to be made durable; earlier entries may then go.
    std::optional<Snapshot> localSnapshot;
    /// Only to be sent once everything above is durable.
    std::vector<Message> messages;
    /// To be applied to the state machine, without gaps. Noop and configuration entries are among
    /// them. A proposal took place if its index comes up with its term, and didn't if with another.
    std::vector<Entry> committed;
    /// Answers to readIndex(), after the committed entries are applied.
    std::vector<ReadConfirmation> reads;
    std::vector<ReadRefusal> refusedReads;
    /// Set when role, term or leader changed.
    std::optional<RaftState> raftState;
    /// Members with new storage that asked to join.
    std::vector<MemberId> joining;
    /// The state machine's snapshot should be taken and handed to adoptSnapshot().
    bool snapshotDue = false;
    /// The last entry that is durable once the effects are; for synced().
    EntryId lastEntry;
};

/// How far one member is, as the leader knows it.
struct MemberProgress
{
    MemberId member;
    bool isVoter = false;
    /// Durable on the member.
    std::uint64_t matchIndex = 0;
    /// Time since its last answer.
    Duration timeSinceResponse{};
    bool receivesSnapshot = false;
};

} // namespace kumquathaven::consensus

#endif // KUMQUATHAVEN_CONSENSUS_EFFECTS_H
