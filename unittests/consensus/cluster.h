// Deterministic simulation of one log group. Members are real groups on in-memory files; one seeded
// generator draws every message delivery, delay, fault and client operation.

#ifndef KUMQUATHAVEN_UNITTESTS_CONSENSUS_CLUSTER_H
#define KUMQUATHAVEN_UNITTESTS_CONSENSUS_CLUSTER_H

#include "kumquathaven/base/random.h"
#include "kumquathaven/consensus/group.h"
#include "linearizability.h"
#include "memoryfiles.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace kumquathaven::consensus {

inline constexpr std::size_t registerCount = 2;

/// Counts of events, which show that the schedules cover the intended cases.
struct Coverage
{
    std::uint64_t leaders = 0;
    std::uint64_t writes = 0;
    std::uint64_t reads = 0;
    std::uint64_t leaseReads = 0;
    std::uint64_t unknownWrites = 0;
    std::uint64_t powerCuts = 0;
    std::uint64_t kills = 0;
    std::uint64_t lostDisks = 0;
    std::uint64_t freezes = 0;
    std::uint64_t networkPartitions = 0;
    std::uint64_t storageFailures = 0;
    std::uint64_t transfers = 0;
    std::uint64_t membershipSteps = 0;
    std::uint64_t restores = 0;
    std::uint64_t takenSnapshots = 0;

    void add(const Coverage &other);
};

/// The replicated state machine: a few integer registers.
struct Machine
{
    std::array<std::int64_t, registerCount> registers{};

    /// Applies the write in \p data. Returns false if its condition does not hold.
    bool apply(const std::string &data);
    std::string save() const;
    void load(const std::string &state);
};

/// One member with its files, process state and client operations.
struct Node
{
    std::string name;
    std::uint64_t identity = 0;
    storage::MemoryFiles files;
    std::unique_ptr<storage::DataFolder> folder;
    std::unique_ptr<Group> group;
    Machine machine;
    std::uint64_t applied = 0;
    /// Offset of the member's clock in microseconds and its rate in thousandths of the true rate.
    std::int64_t clockOffset = 0;
    std::int64_t clockRate = 1000;
    /// Steps until the stopped process starts again.
    std::uint64_t downFor = 0;
    /// Steps until the frozen process resumes.
    std::uint64_t frozenFor = 0;
    /// Steps until the disk has space again.
    std::uint64_t diskFullFor = 0;
    /// Members that asked this member to join.
    std::vector<MemberId> joining;
    /// Pending writes by the index of their entry: the entry's term and the number of the call.
    std::map<std::uint64_t, std::pair<std::uint64_t, std::size_t>> waiting;

    MemberId id() const { return {name, identity}; }
    bool isUp() const { return group != nullptr; }
    bool isRunning() const { return isUp() && frozenFor == 0; }
    bool isLeader() const { return isUp() && group->replica().raftState().role == Role::Leader; }
};

/// A group of members that runs one random schedule.
class Cluster
{
public:
    /// With \p hasAutomaticMembership the group changes its members without an operator.
    explicit Cluster(std::uint64_t seed, bool hasAutomaticMembership = false);
    ~Cluster();
    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;

    /// Runs the whole schedule. Returns a description of the first violated invariant, or an empty
    /// string.
    std::string run();

    const Coverage &coverage() const { return m_coverage; }

private:
    /// An applied entry of the log.
    struct AppliedEntry
    {
        Entry entry;
        /// The term of the member that applied it first.
        std::uint64_t appliedInTerm = 0;
    };

    // Schedule.
    void start();
    void step(bool withFaults);
    void injectFault();
    void runRecovery();
    bool hasRecovered() const;
    std::string describeMembers() const;
    bool chance(std::uint64_t perMille) { return m_random.below(1000) < perMille; }
    Node &randomNode() { return *m_nodes[m_random.below(m_nodes.size())]; }

    // Faults, in clusterfaults.cpp.
    void stop(Node &node, std::uint64_t steps);
    void cutPower(Node &node);
    void loseDisk(Node &node);
    void freeze(Node &node);
    void transfer(Node &leader, const Node &target);
    void partitionNetwork();
    bool canTolerateDiskLoss() const;

    // Members.
    void open(Node &node);
    void advance(Node &node);
    void deliverMessages(bool withFaults);
    void manageMembers(Node &node);
    void checkLeader(const Node &node);
    void apply(Node &node, const Entry &entry);
    void checkHistories();
    TimePoint timeAt(const Node &node) const;

    // Client operations, in clusterclients.cpp.
    void callOperation(Node &node);
    void callRead(Node &node, std::size_t reg);
    void callWrite(Node &node, std::size_t reg);
    void finish(std::size_t operation);

    void recordViolation(const std::string &what);

    Random m_random;
    const bool m_hasAutomaticMembership;
    Coverage m_coverage;
    std::string m_violation;
    std::vector<std::unique_ptr<Node>> m_nodes;
    /// Messages that were sent and not yet delivered or lost.
    std::vector<Message> m_messages;
    /// Links that drop every message, from the first instance to the second.
    std::set<std::pair<std::string, std::string>> m_blockedLinks;
    /// True time in microseconds.
    std::int64_t m_time = 0;
    /// Number of the last call or return of an operation.
    std::uint64_t m_event = 0;
    std::uint64_t m_nextIdentity = 1;
    /// Instance whose member the operator wants to remove; empty if there is none.
    std::string m_memberToRemove;
    /// Leader of each term.
    std::map<std::uint64_t, MemberId> m_leaders;
    /// Applied entries by index.
    std::vector<AppliedEntry> m_log;
    /// The latest applied configuration.
    Configuration m_committed;

    /// An operation of a client and the register that it accesses.
    struct Call
    {
        Operation operation;
        std::size_t reg = 0;
        bool isRefused = false;
    };
    std::vector<Call> m_calls;
};

} // namespace kumquathaven::consensus

#endif // KUMQUATHAVEN_UNITTESTS_CONSENSUS_CLUSTER_H
