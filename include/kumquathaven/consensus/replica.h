// The Raft algorithm for one log group, as a state machine without threads, sockets, clocks or
// files.
//
// Calls take the current time, change the state in memory and collect effects, which drain()
// returns. The caller makes the effects durable, confirms that with markDurable(), and only then
// sends the messages. Group implements this on top of a storage::Log.

#ifndef KUMQUATHAVEN_CONSENSUS_REPLICA_H
#define KUMQUATHAVEN_CONSENSUS_REPLICA_H

#include "kumquathaven/base/random.h"
#include "kumquathaven/base/result.h"
#include "kumquathaven/base/time.h"
#include "kumquathaven/consensus/configuration.h"
#include "kumquathaven/consensus/effects.h"
#include "kumquathaven/consensus/message.h"
#include "kumquathaven/consensus/replicasettings.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kumquathaven::consensus {

/// The Raft state machine of one member of a log group.
class Replica
{
public:
    Replica(const ReplicaSettings &settings, ReplicaStart start, TimePoint now);

    /// Returns the initial snapshot of a new group: \p state is the state machine's initial state
    /// and \p self the only voter. It must be installed into empty storage exactly once in the
    /// lifetime of a group.
    static Snapshot bootstrap(const MemberId &self, std::string state);

    /// Starts elections, sends heartbeats, and retransmits messages without a response when due.
    void tick(TimePoint now);
    /// Handles a message. Messages for another group, member or storage identity are dropped.
    void receive(const Message &message, TimePoint now);

    /// Appends a change to the leader's log. The change is committed only once it appears in
    /// Effects::committed. Errors: NotLeader with the leader's instance name as peer; TooLarge;
    /// Overloaded while too many bytes are uncommitted; Unavailable while the leadership is handed
    /// over.
    Result<EntryId> propose(std::string data, TimePoint now);

    /// Requests a linearizable read of the state machine. Effects::reads or Effects::refusedReads
    /// answers it under the number \p request: on the next drain() while the lease is valid,
    /// otherwise after a quorum has responded to a heartbeat round. Before the leader's first entry
    /// is committed and applied, the read waits for that too. Errors: NotLeader; Overloaded while
    /// too many reads are pending.
    Result<void> readIndex(std::uint64_t request, TimePoint now);

    /// Returns whether the lease alone guarantees that the state machine has every change committed
    /// before \p now. \p now must be read from the clock after the read request arrived.
    bool mayRead(TimePoint now) const;

    /// Starts one membership step on the leader. Errors: NotLeader; InvalidRequest if the step does
    /// not apply to the configuration; Unavailable while an earlier step is uncommitted, the
    /// learner to promote lags behind, or too few of the resulting voters respond to form a quorum.
    Result<EntryId> changeMembers(const MembershipChange &change, TimePoint now);

    /// Asks a voter to become the leader. Proposals are refused for an election timeout, or until
    /// the leadership has changed. Errors: NotLeader; InvalidRequest if \p target is not
    /// another voter; Unavailable if its log lags behind.
    Result<void> transferLeadership(const MemberId &target, TimePoint now);

    /// Tells the leader, with each response from now on, that this member is about to end.
    void announceLeaving() { m_isLeaving = true; }

    /// Accepts \p state, the state of the state machine after the applied entry \p index, as the
    /// new snapshot, and drops entries that it makes unnecessary from memory.
    void adoptSnapshot(std::uint64_t index, std::string state);

    /// Records that the drained effects up to \p last, their \c Effects::lastEntry, are durable.
    void markDurable(const EntryId &last, TimePoint now);

    /// Returns the effects collected since the last call.
    Effects drain(TimePoint now);

    /// Gives up leadership after effects could not be made durable. Discards all effects and
    /// returns the pending reads as refused. The replica must then be replaced by one started from
    /// storage.
    std::vector<ReadRefusal> stepDown(TimePoint now);

    RaftState raftState() const { return {m_role, m_hardState.term, m_leader}; }
    const MemberId &self() const { return m_self; }
    /// Returns whether this member knows that the group committed a configuration without it. Until
    /// a leader sends to it again, such a member does not start elections; it asks to join only if
    /// the group adds and removes members without an operator.
    bool isRemoved() const { return m_removed; }
    const Configuration &configuration() const { return m_configuration; }
    /// Returns the index of the last entry that this member knows to be committed.
    std::uint64_t commitIndex() const { return m_commitIndex; }
    /// Returns the index of the last entry that was returned in Effects::committed or covered by a
    /// snapshot to load.
    std::uint64_t appliedIndex() const { return m_applied; }
    /// Returns the index of the last entry of this member's log, whether durable or not.
    std::uint64_t lastIndex() const;
    /// Returns the term of the entry at \p index, or nothing if the entry is not in memory and is
    /// not the one right before the first in memory.
    std::optional<std::uint64_t> termAt(std::uint64_t index) const;
    /// Returns the bytes of all entries in memory.
    std::size_t entryBytes() const { return m_entryBytes; }
    /// Returns the replication progress of all members; empty unless this member is the leader.
    std::vector<MemberProgress> progress(TimePoint now) const;

private:
    /// How the leader replicates to a member. A probe finds the last matching index with one append
    /// at a time; a stream pipelines appends.
    enum class SendMode { Probe, Stream, Snapshot };

    /// An append with entries to which a member has not responded.
    struct InflightAppend
    {
        std::uint64_t lastIndex = 0;
        std::size_t bytes = 0;
    };

    /// The leader's replication state for another member.
    struct Progress
    {
        SendMode sendMode = SendMode::Probe;
        /// Index of the next entry to send.
        std::uint64_t next = 1;
        /// Index of the last entry known to be durable on the member.
        std::uint64_t match = 0;
        /// Appends in flight, and the bytes of all their entries.
        std::deque<InflightAppend> inflight;
        std::size_t inflightBytes = 0;
        /// Whether a probe or a snapshot chunk may be sent now.
        bool ready = true;
        /// The snapshot in flight, if its index is not zero, and the byte offset of its current
        /// chunk.
        Snapshot snapshot;
        std::uint64_t snapshotOffset = 0;
        /// Heartbeat round in which that chunk was last sent.
        std::uint64_t chunkRound = 0;
        /// Latest heartbeat round that the member responded to.
        std::uint64_t ackedRound = 0;
        /// Commit index in the last append that was sent to the member.
        std::uint64_t sentCommit = 0;
        /// Time of the member's last response; the epoch if there was none yet.
        TimePoint lastResponseAt{};
        bool isLeaving = false;
    };

    /// A heartbeat round; a quorum of responses to it extends the lease from its start.
    struct Round
    {
        std::uint64_t number = 0;
        TimePoint startedAt{};
    };

    /// A read that waits for a quorum or for its index to be applied.
    struct PendingRead
    {
        std::uint64_t request = 0;
        /// The state machine must have applied this index.
        std::uint64_t index = 0;
        /// A quorum must respond to this heartbeat round or a later one.
        std::uint64_t round = 0;
        bool isConfirmed = false;
    };

    /// A snapshot of which \c state holds the chunks received so far.
    struct IncomingSnapshot
    {
        std::uint64_t index = 0;
        std::uint64_t term = 0;
        std::string state;
    };

    /// A configuration and the entry or snapshot position that introduced it.
    struct ConfigurationAt
    {
        EntryId at;
        Configuration configuration;
    };

    // replica.cpp: construction, ticks, dispatch of messages, effects.
    bool isAddressedHere(const Message &message) const;
    bool acceptTerm(const Message &message, TimePoint now);
    bool acceptNewerTerm(const Message &message, TimePoint now);
    void rejectOldTerm(const Message &message);
    void send(const MemberId &to, std::uint64_t term, MessageBody body);
    boost::leaf::error_id failNotLeader(const char *step) const;
    void collectUnsaved(Effects &effects);
    void collectCommitted(Effects &effects);

    // entries.cpp: log entries in memory and configurations.
    const Entry *entryAt(std::uint64_t index) const;
    std::uint64_t lastTerm() const;
    void append(Entry entry);
    void truncateFrom(std::uint64_t index);
    void trackConfiguration(const Entry &entry);
    static Configuration configurationFrom(const std::string &bytes);
    void applyConfiguration();
    void setCommit(std::uint64_t index);
    void compact(std::uint64_t index);
    bool isSnapshotDue() const;

    // election.cpp: elections and leadership transfer.
    void becomeFollower(std::uint64_t term, std::optional<MemberId> leader, TimePoint now);
    void startElection(bool preVote, bool transfer, TimePoint now);
    void becomeLeader(TimePoint now);
    void resetElectionTimer(TimePoint now);
    void recordLeaderContact(const MemberId &leader, TimePoint now);
    bool hasRecentLeaderContact(TimePoint now) const;
    void countVote(const MemberId &from, TimePoint now);
    bool isUpToDate(const VoteRequest &request) const;
    void handle(const Message &message, const VoteRequest &body, TimePoint now);
    void handle(const Message &message, const VoteResponse &body, TimePoint now);
    void handle(const Message &message, const TransferRequest &body, TimePoint now);

    // replication.cpp: appends, heartbeat rounds and the commit index.
    void startRound(TimePoint now);
    void sendHeartbeats(TimePoint now);
    void sendPending(TimePoint now);
    void sendAppends(const MemberId &to, Progress &progress, TimePoint now);
    void sendAppend(const MemberId &to, Progress &progress, bool withEntries);
    bool hasRoomInFlight(const Progress &progress) const;
    void advanceCommit(TimePoint now);
    void reconcileProgress();
    bool isWellFormed(const Message &message, const AppendRequest &body) const;
    AppendResponse applyAppend(const AppendRequest &body);
    std::uint64_t conflictHint(std::uint64_t index) const;
    void appendEntries(const AppendRequest &body);
    void handle(const Message &message, const AppendRequest &body, TimePoint now);
    void handle(const Message &message, const AppendResponse &body, TimePoint now);
    Progress *recordResponse(const MemberId &from, std::uint64_t round, TimePoint now);
    void checkQuorum(TimePoint now);

    // lease.cpp: the leader lease and reads.
    std::uint64_t quorumRound() const;
    std::optional<TimePoint> leaseEnd() const;
    bool hasCommittedInTerm() const;
    void confirmReads();
    void collectReads(Effects &effects);
    void refuseReads();

    // snapshot.cpp: transfer of snapshots.
    void sendSnapshotChunk(const MemberId &to, Progress &progress);
    bool appendChunk(const SnapshotRequest &body);
    void install(const SnapshotRequest &body);
    void handle(const Message &message, const SnapshotRequest &body, TimePoint now);
    void handle(const Message &message, const SnapshotResponse &body, TimePoint now);

    // membership.cpp: joining, membership steps and removal.
    void handle(const Message &message, const JoinRequest &body, TimePoint now);
    void sendJoinRequests(TimePoint now);
    Result<void> checkStep(const MembershipChange &change, const Configuration &after,
                           TimePoint now) const;
    bool isResponsive(const MemberId &member, TimePoint now) const;
    void stepDownIfRemoved(TimePoint now);
    VoteResponse voteRefusalFor(const MemberId &member, bool preVote) const;
    void recordRemoval(const VoteResponse &answer, TimePoint now);

    ReplicaSettings m_settings;
    std::uint32_t m_group;
    MemberId m_self;
    std::vector<std::string> m_instances;
    Random m_random;

    HardState m_hardState;
    /// Whether m_hardState changed since the last drain.
    bool m_hardStateChanged = false;
    Role m_role = Role::Follower;
    std::optional<MemberId> m_leader;
    /// The state that the last drain reported.
    RaftState m_reportedState;

    /// The latest snapshot.
    Snapshot m_snapshot;
    /// Entries in memory, starting at m_firstIndex. The entry before them has the term m_baseTerm.
    std::deque<Entry> m_entries;
    /// Bytes of m_entries.
    std::size_t m_entryBytes = 0;
    std::uint64_t m_firstIndex = 1;
    std::uint64_t m_baseTerm = 0;
    std::uint64_t m_commitIndex = 0;
    /// Index of the last entry returned for application to the state machine.
    std::uint64_t m_applied = 0;
    /// Index of the last entry that is durable on this member.
    std::uint64_t m_durableIndex = 0;
    /// Index of the first entry appended since the last drain; zero if there is none.
    std::uint64_t m_firstUnsavedIndex = 0;
    /// Applied index at the last request for a snapshot.
    std::uint64_t m_snapshotRequestIndex = 0;
    /// Bytes of the entries applied since the last snapshot or request for one.
    std::size_t m_appliedBytes = 0;

    /// The configuration in force: the last one in the log, committed or not.
    Configuration m_configuration;
    /// Configurations in the order of their entries, starting with the one that the snapshot holds.
    std::deque<ConfigurationAt> m_configurations;

    /// When a leader last contacted this member; initially the time of the start.
    TimePoint m_lastLeaderContactAt{};
    /// The leader that did; empty if none has.
    MemberId m_lastLeader;
    /// When the election timeout expires.
    TimePoint m_electionDeadline{};
    TimePoint m_nextHeartbeat{};
    /// Members that granted this candidate their vote or pre-vote.
    std::set<MemberId> m_votes;
    /// See isRemoved().
    bool m_removed = false;
    /// See announceLeaving().
    bool m_isLeaving = false;

    // State of the leader.
    std::map<MemberId, Progress> m_progress;
    /// Number of the latest heartbeat round.
    std::uint64_t m_round = 0;
    /// The latest round with a quorum of responses, if there is one, and all later rounds.
    std::deque<Round> m_rounds;
    std::deque<PendingRead> m_reads;
    /// Whether a pending read needs a new heartbeat round.
    bool m_needsReadRound = false;
    /// Index of the leader's first entry in its term.
    std::uint64_t m_termStartIndex = 0;
    std::size_t m_uncommittedBytes = 0;
    /// Whether this leader requested an election in its term. Its lease then no longer prevents the
    /// election of another member.
    bool m_leaseRevoked = false;
    /// This leader accepts no proposals before this time, since it handed the leadership over.
    TimePoint m_transfersUntil{};

    IncomingSnapshot m_incoming;
    Effects m_effects;
};

} // namespace kumquathaven::consensus

#endif // KUMQUATHAVEN_CONSENSUS_REPLICA_H
