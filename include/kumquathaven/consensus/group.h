// A log group of a control member: a Raft replica together with its durable log.

#ifndef KUMQUATHAVEN_CONSENSUS_GROUP_H
#define KUMQUATHAVEN_CONSENSUS_GROUP_H

#include "kumquathaven/consensus/replica.h"
#include "kumquathaven/storage/log.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kumquathaven::consensus {

/// Output of a group for the duty that drives it. All of it depends only on durable state.
struct Output
{
    /// Snapshot to load into the state machine before any entry is applied.
    std::optional<Snapshot> restore;
    /// Entries to apply in order. A proposal was committed if the entry at its index has the term
    /// of the proposal, and was lost if that entry has another term.
    std::vector<Entry> committed;
    /// Reads to answer after the committed entries are applied.
    std::vector<ReadConfirmation> reads;
    std::vector<ReadRefusal> refusedReads;
    std::vector<Message> messages;
    std::optional<RaftState> raftState;
    std::vector<MemberId> joining;
    /// The state of the state machine should be passed to Group::saveSnapshot().
    bool snapshotDue = false;
};

/// Settings with which a group is opened.
struct GroupSettings
{
    std::uint32_t group = 0;
    std::string instance;
    /// Names of the other instances that may be members of the group.
    std::vector<std::string> instances;
    ReplicaSettings replica;
    storage::LogLimits log;
    /// Delay between a storage failure and the next attempt to use the storage.
    Duration storageRetryDelay = std::chrono::seconds(1);
    std::uint64_t seed = 0;
};

/// A replica and its log. The other calls only collect input. advance() makes the effects of that
/// input durable and returns the actions that are safe afterwards. The data folder must outlive the
/// group.
class Group
{
public:
    /// Opens the group's log and starts the replica. The first advance() returns the snapshot to
    /// restore, if there is one. After the error Corrupt the storage must be replaced by an empty
    /// folder.
    static Result<Group> open(storage::DataFolder &folder, const GroupSettings &settings,
                              TimePoint now);

    /// Creates a new group with this member as its only voter and \p state as the state machine's
    /// initial state. Must be called once and on one instance only. Fails with Conflict if this
    /// member already belongs to a group.
    Result<void> bootstrap(std::string state, TimePoint now);

    /// Each of these forwards to the function of Replica with the same name. While the storage is
    /// down, tick() and receive() do nothing and the others fail with Unavailable.
    void tick(TimePoint now);
    void receive(const Message &message, TimePoint now);
    Result<EntryId> propose(std::string data, TimePoint now);
    Result<void> readIndex(std::uint64_t request, TimePoint now);
    Result<EntryId> changeMembers(const MembershipChange &change, TimePoint now);
    Result<void> transferLeadership(const MemberId &target, TimePoint now);
    void announceLeaving();

    /// Makes the effects of all input durable and returns the resulting output. After a storage
    /// failure it returns the error and discards the input. Once the storage works again, the
    /// member continues as a follower from its durable state; the state machine stays as it is.
    /// Proposals that were not committed before the failure have an unknown outcome.
    Result<Output> advance(TimePoint now);

    /// Returns whether the leader's lease alone guarantees that the state machine has every change
    /// committed before \p now. All output of advance() must be applied already, and \p now must be
    /// read from the clock after the read request arrived.
    bool mayRead(TimePoint now) const;

    /// Accepts \p state, the state of the state machine, as a snapshot. \p index is the last entry
    /// that was applied to it. Does nothing while the storage is down.
    void saveSnapshot(std::uint64_t index, std::string state);

    const Replica &replica() const { return *m_replica; }
    /// Returns whether the storage failed and has not recovered yet.
    bool isStorageDown() const { return m_storageDownUntil.has_value(); }
    std::size_t logBytes() const { return m_log.bytes(); }
    /// Returns the number of bytes of an interrupted write that open() cut off the log.
    std::size_t tornBytes() const { return m_tornBytes; }

private:
    Group(storage::DataFolder &folder, const GroupSettings &settings, storage::Log log);

    void startReplica(storage::Contents contents, TimePoint now);
    Result<void> save(const Effects &effects);
    void addToOutput(Effects &&effects);
    void stopAfterFailure(Effects &&effects, TimePoint now);
    Result<void> saveAll(TimePoint now);
    Result<void> recover(TimePoint now);
    boost::leaf::error_id failStorageDown(const char *step) const;

    storage::DataFolder *m_folder;
    GroupSettings m_settings;
    storage::Log m_log;
    std::unique_ptr<Replica> m_replica;
    /// Output that depends only on durable state and that advance() has not returned yet.
    Output m_output;
    /// Index of the last entry in the output so far, either as an entry or within a snapshot.
    std::uint64_t m_applied = 0;
    std::optional<TimePoint> m_storageDownUntil;
    bool m_isLeaving = false;
    std::size_t m_tornBytes = 0;
    std::uint64_t m_startCount = 0;
};

/// Returns the next membership step towards a group in which every instance in \p wanted is a voter
/// with its current storage identity. A member in \p joining of a wanted instance is added as a
/// learner after any learner of that instance with a former storage identity is removed. Once the
/// learner has caught up, the voter with the former identity is removed and the learner is
/// promoted. Returns nothing if no step is due. Members of other instances are not changed.
std::optional<MembershipChange> nextMembershipStep(const Replica &replica,
                                                   const std::vector<std::string> &wanted,
                                                   const std::vector<MemberId> &joining,
                                                   TimePoint now);

/// Rules for a group that changes its members without an operator or a list of instances.
struct AutomaticMembership
{
    /// An unresponsive voter is removed only while the group has more voters than this, or while a
    /// learner has caught up that takes its place.
    std::size_t minVoters = 3;
    /// A member that has not responded for longer than this is removed. It may join again.
    Duration removalTimeout = std::chrono::seconds(15);
    /// The same timeout while the number of voters is even. The unresponsive voter then only makes
    /// the majority larger, for example after another member has replaced it.
    Duration evenRemovalTimeout = std::chrono::seconds(5);
    /// The same timeout while the group would lose its majority if it lost as many further voters
    /// as minVoters is to tolerate.
    Duration absenceTimeout = std::chrono::seconds(1);
};

/// Returns the rules for a group that is to bear the loss of \p losses members, and again as soon
/// as the successor of a lost one has run for \p catchUpTime.
AutomaticMembership automaticMembership(std::size_t losses, Duration catchUpTime,
                                        const ReplicaSettings &settings);

/// Returns the number of voters that a group of \p governance.minVoters may lose.
std::size_t toleratedLosses(const AutomaticMembership &governance);

/// Returns the next membership step of a group that changes its members without an operator. All
/// present and joining instances are wanted in the sense of nextMembershipStep(). A learner is
/// promoted only if the group would keep its majority without it, unless voters are missing. The
/// unresponsive member that has been silent longest is removed; one that is leaving counts as
/// silent.
std::optional<MembershipChange> nextAutomaticStep(const Replica &replica,
                                                  const AutomaticMembership &governance,
                                                  const std::vector<MemberId> &joining,
                                                  TimePoint now);

/// Returns whether a group removes the voter \p member when it announces that it is leaving: the
/// others would not bear the tolerated losses while it counts as a voter.
bool isRemovedOnLeaving(const Configuration &configuration, const MemberId &member,
                        const AutomaticMembership &governance);

/// Returns the voter to which a leader that is leaving hands the leadership, so that the group can
/// remove it. Returns nothing if the group would keep it, or if no other voter responds.
std::optional<MemberId> nextLeader(const Replica &replica, const AutomaticMembership &governance,
                                   TimePoint now);

} // namespace kumquathaven::consensus

#endif // KUMQUATHAVEN_CONSENSUS_GROUP_H
