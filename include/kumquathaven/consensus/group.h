// One log group of a control member: a replica joined to its durable log.

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

/// What a group hands to the duty that drives it. Everything in it rests on durable state.
struct Output
{
    /// To be loaded into the state machine before anything is applied.
    std::optional<Snapshot> restore;
    /// To be applied in order. A proposal took place if its index comes up with its term, and
    /// didn't if its index comes up with another term.
    std::vector<Entry> committed;
    /// To be answered after the committed entries are applied.
    std::vector<ReadConfirmation> reads;
    std::vector<ReadRefusal> refusedReads;
    std::vector<Message> messages;
    std::optional<RaftState> raftState;
    std::vector<MemberId> joining;
    /// The state machine's state is to be handed to Group::saveSnapshot().
    bool snapshotDue = false;
};

/// What a group is opened with.
struct GroupSettings
{
    std::uint32_t group = 0;
    std::string instance;
    /// Names of the other instances that may be members.
    std::vector<std::string> instances;
    ReplicaSettings replica;
    storage::LogLimits log;
    /// Pause after a failed write before the storage is tried again.
    Duration storageRetryDelay = std::chrono::seconds(1);
    std::uint64_t seed = 0;
};

/// A replica and its log. Calls collect input; advance() makes its effects durable and returns what
/// may then be done. The data folder must outlive the group.
class Group
{
public:
    /// Opens the group's log and starts the replica. The first advance() returns the snapshot to
    /// restore, if there is one. Corrupt: the storage must be replaced by an empty folder.
    static Result<Group> open(storage::DataFolder &folder, const GroupSettings &settings,
                              TimePoint now);

    /// Founds a new group with this member as its only voter. Only for a group that is not member
    /// of anything yet; Conflict otherwise. To be done on one instance, once.
    Result<void> bootstrap(std::string state, TimePoint now);

    /// As the functions of Replica, to which they pass their arguments.
    void tick(TimePoint now);
    void receive(const Message &message, TimePoint now);
    Result<EntryId> propose(std::string data, TimePoint now);
    Result<void> readIndex(std::uint64_t request, TimePoint now);
    Result<EntryId> changeMembers(const MembershipChange &change, TimePoint now);
    Result<void> transferLeadership(const MemberId &target, TimePoint now);

    /// Makes the effects of all input durable and returns what follows from it. After a storage
    /// failure the error is returned, nothing of the input counts, and the member goes on as a
    /// follower from what is durable once the storage works again; the state machine stays as it
    /// is. Proposals that were not committed have an unknown outcome then.
    Result<Output> advance(TimePoint now);

    /// Returns whether the state machine has every accepted change as of \p now, by the leader's
    /// lease alone. Everything that advance() returned must be applied, and \p now must be read
    /// from the clock after the request to read came in.
    bool mayRead(TimePoint now) const;

    /// Takes the state machine's state as of \p index, the last entry applied to it.
    void saveSnapshot(std::uint64_t index, std::string state);

    const Replica &replica() const { return *m_replica; }
    /// Whether the storage failed and is not yet back.
    bool isStorageDown() const { return m_storageDownUntil.has_value(); }
    std::size_t logBytes() const { return m_log.bytes(); }
    /// Bytes that the last open cut off as the rest of an interrupted write.
    std::size_t tornBytes() const { return m_tornBytes; }

private:
    Group(storage::DataFolder &folder, const GroupSettings &settings, storage::Log log);

    void startReplica(storage::Contents contents, TimePoint now);
    Result<void> save(const Effects &effects);
    void takeOver(Effects &&effects);
    void stopAfterFailure(Effects &&effects, TimePoint now);
    Result<void> saveAll(TimePoint now);
    Result<void> recover(TimePoint now);
    boost::leaf::error_id failDown(const char *step) const;

    storage::DataFolder *m_folder;
    GroupSettings m_settings;
    storage::Log m_log;
    std::unique_ptr<Replica> m_replica;
    /// What rests on durable state and was not handed out yet.
    Output m_output;
    /// The last entry handed out, in a snapshot or by itself.
    std::uint64_t m_applied = 0;
    std::optional<TimePoint> m_storageDownUntil;
    std::size_t m_tornBytes = 0;
    std::uint64_t m_starts = 0;
};

/// Returns the next membership step that makes every wanted instance a voter with its present
/// storage: adds the joining member of a wanted instance as a learner in place of a learner with a
/// former storage identity, then, once it has caught up, removes the voter with the former identity
/// and promotes the learner. Returns nothing if
/// there is nothing to do now. Members of instances that are not wanted are left alone.
std::optional<MembershipChange> nextMembershipStep(const Replica &replica,
                                                   const std::vector<std::string> &wanted,
                                                   const std::vector<MemberId> &joining,
                                                   TimePoint now);

/// When a group whose instances nobody lists changes its members by itself.
struct AutomaticMembership
{
    /// A silent voter is removed only while more voters than this are left.
    std::size_t minVoters = 3;
    /// A member that did not answer for this long is taken for gone. It may join again.
    Duration removalTimeout = std::chrono::seconds(15);
    /// The same while the number of voters is even: the silent one then only makes majorities
    /// larger, for example after another member took its place.
    Duration evenRemovalTimeout = std::chrono::seconds(5);
};

/// Returns the next membership step of a group that governs itself: as nextMembershipStep() with
/// every instance that asks to join wanted, and after that the removal of members that are gone.
std::optional<MembershipChange> nextAutomaticStep(const Replica &replica,
                                                  const AutomaticMembership &governance,
                                                  const std::vector<MemberId> &joining,
                                                  TimePoint now);

} // namespace kumquathaven::consensus

#endif // KUMQUATHAVEN_CONSENSUS_GROUP_H
