// Raft for one log group, as a state machine without threads, sockets, clocks or files.
//
// Every call takes the present time, changes the state in memory and collects effects; drain()
// hands them out. The caller makes them durable, reports that with synced(), and only then sends
// the messages. Group does exactly that over a storage::Log.

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

/// One member's part in a group.
class Replica
{
public:
    Replica(const ReplicaSettings &settings, ReplicaStart start, TimePoint now);

    /// Returns what the first member of a new group starts from: a snapshot of an empty state
    /// machine with \p self as the only voter. To be installed into empty storage exactly once in
    /// the life of a group.
    static Snapshot bootstrap(const MemberId &self, std::string state);

    /// Starts elections, sends heartbeats and repeats unanswered messages when they are due.
    void tick(TimePoint now);
    /// Takes a message. One for another member or storage identity is dropped.
    void receive(const Message &message, TimePoint now);

    /// Appends a change on the leader. It is not accepted before it comes up in
    /// Effects::committed. Errors: NotLeader with the leader's instance name as peer, TooLarge,
    /// Overloaded while too much is uncommitted.
    Result<EntryId> propose(std::string data, TimePoint now);

    /// Asks for the right to read the state machine. The answer comes in Effects under \p request,
    /// at once if the lease holds, else after a quorum answered. Errors: NotLeader, Overloaded.
    Result<void> readIndex(std::uint64_t request, TimePoint now);

    /// Returns whether the state machine has every accepted change as of \p now, by the lease
    /// alone. \p now must be read from the clock after the request to read came in.
    bool mayRead(TimePoint now) const;

    /// Starts one membership step on the leader. Errors: NotLeader, InvalidRequest if it doesn't
    /// fit, Unavailable while an earlier step is under way or the learner is behind.
    Result<EntryId> changeMembers(const MembershipChange &change, TimePoint now);

    /// Asks a voter to take over. Errors: NotLeader, InvalidRequest, Unavailable if it is behind.
    Result<void> transferLeadership(const MemberId &target, TimePoint now);

    /// Takes in the state machine's snapshot as of \p index, an applied index.
    void adoptSnapshot(std::uint64_t index, std::string state);

    /// Reports that everything drained up to \c Effects::lastEntry is durable.
    void markDurable(const EntryId &last, TimePoint now);

    /// Hands out the effects collected since the last call.
    Effects drain(TimePoint now);

    /// Gives up leadership and every pending read after effects could not be made durable, and
    /// returns the reads. Only a replica started from storage may go on.
    std::vector<ReadRefusal> stepDown(TimePoint now);

    RaftState raftState() const { return {m_role, m_hardState.term, m_leader}; }
    const MemberId &self() const { return m_self; }
    /// Whether this member knows that the group accepted a configuration without it. It then
    /// neither stands for election nor asks to join, until a leader sends to it again.
    bool isRemoved() const { return m_removed; }
    const Configuration &configuration() const { return m_configuration; }
    /// Index of the last entry that this member knows to be committed.
    std::uint64_t commitIndex() const { return m_commitIndex; }
    /// Index of the last entry that was handed out in Effects::committed.
    std::uint64_t appliedIndex() const { return m_applied; }
    /// Index of the last entry of this member's log, whether durable or not.
    std::uint64_t lastIndex() const;
    /// Returns the term of an entry in memory or of the snapshot; nothing if unknown.
    std::optional<std::uint64_t> termAt(std::uint64_t index) const;
    /// Returns the progress of all members; empty unless this is the leader.
    std::vector<MemberProgress> progress(TimePoint now) const;

private:
    /// How the leader sends to a member.
    enum class Sending { Probe, Stream, Snapshot };

    /// The leader's view of another member.
    struct Progress
    {
        Sending sending = Sending::Probe;
        std::uint64_t next = 1;
        std::uint64_t match = 0;
        /// Last indexes of the messages on their way.
        std::deque<std::uint64_t> inflight;
        /// Whether a probe or a piece may be sent now.
        bool ready = true;
        /// The snapshot on its way and the offset of its last piece that was sent.
        Snapshot snapshot;
        std::uint64_t snapshotOffset = 0;
        std::uint64_t pieceRound = 0;
        std::uint64_t ackedRound = 0;
        std::uint64_t sentCommit = 0;
        TimePoint heardAt{};
    };

    struct Round
    {
        std::uint64_t number = 0;
        TimePoint startedAt{};
    };

    struct PendingRead
    {
        std::uint64_t request = 0;
        std::uint64_t index = 0;
        /// A quorum must answer this round or a later one.
        std::uint64_t round = 0;
        bool isConfirmed = false;
    };

    struct IncomingSnapshot
    {
        std::uint64_t index = 0;
        std::uint64_t term = 0;
        std::string state;
    };

    struct ConfigurationAt
    {
        EntryId at;
        Configuration configuration;
    };

    // replica.cpp: time, dispatch and effects.
    bool isAddressedHere(const Message &message) const;
    bool acceptTerm(const Message &message, TimePoint now);
    bool acceptNewerTerm(const Message &message, TimePoint now);
    void answerOldTerm(const Message &message);
    void send(const MemberId &to, std::uint64_t term, MessageBody body);
    boost::leaf::error_id failNotLeader(const char *step) const;
    void collectUnsaved(Effects &effects);
    void collectCommitted(Effects &effects);

    // entries.cpp: the entries in memory.
    const Entry *entryAt(std::uint64_t index) const;
    std::uint64_t lastTerm() const;
    void append(Entry entry);
    void truncateFrom(std::uint64_t index);
    void trackConfiguration(const Entry &entry);
    static Configuration configurationFrom(const std::string &bytes);
    void applyConfiguration();
    void setCommit(std::uint64_t index);
    void compact(std::uint64_t index);

    // election.cpp
    void becomeFollower(std::uint64_t term, std::optional<MemberId> leader, TimePoint now);
    void startElection(bool preVote, bool transfer, TimePoint now);
    void becomeLeader(TimePoint now);
    void resetElectionTimer(TimePoint now);
    void hearLeader(const MemberId &leader, TimePoint now);
    bool heardFromLeader(TimePoint now) const;
    void countVote(const MemberId &from, TimePoint now);
    bool isUpToDate(const VoteRequest &request) const;
    void handle(const Message &message, const VoteRequest &body, TimePoint now);
    void handle(const Message &message, const VoteResponse &body, TimePoint now);
    void handle(const Message &message, const TransferRequest &body, TimePoint now);

    // replication.cpp
    void startRound(TimePoint now);
    void sendHeartbeats(TimePoint now);
    void sendPending();
    void sendAppends(const MemberId &to, Progress &progress);
    void sendAppend(const MemberId &to, Progress &progress, bool withEntries);
    void advanceCommit(TimePoint now);
    void matchProgress();
    bool isWellFormed(const Message &message, const AppendRequest &body) const;
    AppendResponse answerTo(const AppendRequest &body);
    std::uint64_t conflictHint(std::uint64_t index) const;
    void takeEntries(const AppendRequest &body);
    void handle(const Message &message, const AppendRequest &body, TimePoint now);
    void handle(const Message &message, const AppendResponse &body, TimePoint now);
    Progress *noteAnswer(const MemberId &from, std::uint64_t round, TimePoint now);
    void checkQuorum(TimePoint now);

    // lease.cpp
    std::uint64_t quorumRound() const;
    std::optional<TimePoint> leaseEnd() const;
    bool hasCommittedInTerm() const;
    void confirmReads();
    void emitReads(Effects &effects);
    void refuseReads();

    // snapshot.cpp
    void sendSnapshotPiece(const MemberId &to, Progress &progress);
    bool addPiece(const SnapshotRequest &body);
    void install(const SnapshotRequest &body);
    void handle(const Message &message, const SnapshotRequest &body, TimePoint now);
    void handle(const Message &message, const SnapshotResponse &body, TimePoint now);

    // membership.cpp
    void handle(const Message &message, const JoinRequest &body, TimePoint now);
    void askToJoin(TimePoint now);
    Result<void> checkStep(const MembershipChange &change, const Configuration &after,
                           TimePoint now) const;
    bool isAnswering(const MemberId &member, TimePoint now) const;
    void leaveIfRemoved(TimePoint now);
    VoteResponse refusalOf(const MemberId &member, bool preVote) const;
    void learnRemoval(const VoteResponse &answer, TimePoint now);

    ReplicaSettings m_settings;
    std::uint32_t m_group;
    MemberId m_self;
    std::vector<std::string> m_instances;
    Random m_random;

    HardState m_hardState;
    bool m_hardStateChanged = false;
    Role m_role = Role::Follower;
    std::optional<MemberId> m_leader;
    RaftState m_reported;

    Snapshot m_snapshot;
    /// Entries after m_firstIndex - 1, which has the term m_baseTerm.
    std::deque<Entry> m_entries;
    std::uint64_t m_firstIndex = 1;
    std::uint64_t m_baseTerm = 0;
    std::uint64_t m_commitIndex = 0;
    std::uint64_t m_applied = 0;
    std::uint64_t m_syncedIndex = 0;
    /// First index that was appended since the last drain; zero if there is none.
    std::uint64_t m_unsavedFrom = 0;
    std::uint64_t m_snapshotAskedAt = 0;

    Configuration m_configuration;
    /// Configurations by the index of their entries, the oldest committed one first.
    std::deque<ConfigurationAt> m_configurations;

    TimePoint m_heardAt{};
    TimePoint m_electionAt{};
    TimePoint m_nextHeartbeat{};
    std::set<MemberId> m_votes;
    bool m_removed = false;

    // The leader's.
    std::map<MemberId, Progress> m_progress;
    std::uint64_t m_round = 0;
    std::deque<Round> m_rounds;
    std::deque<PendingRead> m_reads;
    bool m_readRoundWanted = false;
    std::uint64_t m_termStart = 0;
    std::size_t m_uncommittedBytes = 0;
    /// An election was asked for in this term, so that the lease no longer keeps others out.
    bool m_leaseGivenUp = false;

    IncomingSnapshot m_incoming;
    Effects m_effects;
};

} // namespace kumquathaven::consensus

#endif // KUMQUATHAVEN_CONSENSUS_REPLICA_H
