// The duty that drives one log group and its state machine.

#ifndef KUMQUATHAVEN_CONTROL_LOGDUTY_H
#define KUMQUATHAVEN_CONTROL_LOGDUTY_H

#include "pendingcommands.h"

#include "kumquathaven/base/ring.h"
#include "kumquathaven/base/statemachine.h"
#include "kumquathaven/consensus/group.h"
#include "kumquathaven/runtime/stopsignal.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace kumquathaven::control {

/// Proof that at time \c provenAt every accepted entry had \c index or a lower log index.
struct LogProof
{
    std::uint64_t index = 0;
    TimePoint provenAt;
};

/// A copy of the log group's state for other threads.
struct LogStatus
{
    consensus::RaftState raftState;
    consensus::MemberId self;
    consensus::Configuration configuration;
    std::vector<consensus::MemberProgress> progress;
    std::uint64_t commitIndex = 0;
    std::uint64_t appliedIndex = 0;
    std::uint32_t group = 0;
    /// Bytes of the log's entries in memory, and of its segments on disk.
    std::size_t entryBytes = 0;
    std::size_t diskBytes = 0;
    bool isStorageDown = false;
    /// Whether the group committed a configuration without this member.
    bool isRemoved = false;
    /// The newest proof that this member obtained as the leader.
    LogProof proof;
    /// When this member became the leader of the present term; the default value if it does not
    /// lead.
    TimePoint leaderSince;
};

/// Functions that send the duty's messages to other members.
struct LogLinks
{
    std::function<void(const consensus::Message &message)> send;
    /// Asks an instance whether it already belongs to the group.
    std::function<void(const std::string &instance)> queryMembership;
};

/// Settings of a LogDuty.
struct LogDutySettings
{
    consensus::GroupSettings group;
    /// Whether this instance bootstraps the group once all others replied that they belong to none.
    bool mayBootstrap = false;
    /// Set if the group changes its membership automatically, without an operator.
    std::optional<consensus::AutomaticMembership> automaticMembership;
};

/// Owns a group, its storage and its state machine.
class LogDuty
{
public:
    LogDuty(LogDutySettings settings, StateMachine machine, LogLinks links);
    LogDuty(const LogDuty &) = delete;
    LogDuty &operator=(const LogDuty &) = delete;

    /// Opens the log. \p folder must outlive the duty.
    Result<void> open(storage::DataFolder &folder);

    /// Drives the group until the signal is set. Throws if the state machine may be inconsistent;
    /// the process must then be restarted and recover from the disk.
    void run(const runtime::StopSignal &stop);

    /// Replicates a command. Returns false, and never calls \p done, if the queue is full. This
    /// function and those below may be called by any thread.
    bool command(std::string data, CommandDone done);

    /// Reads the state machine after it has applied everything accepted before the call. Returns
    /// false, and never calls \p done, if the queue is full; so do all functions below that take a
    /// \p done.
    bool query(std::string data, CommandDone done);

    /// Queues a message of another member. Returns false if the queue is full.
    bool receive(consensus::Message message);

    /// Queues the reply of another instance to queryMembership. Returns false if the queue is full.
    bool receiveMembership(const std::string &instance, bool belongs);

    /// Allows the instance to become a voter with its present, empty storage, in place of its
    /// former storage.
    bool admit(const std::string &instance, CommandDone done);

    /// Removes a member from the group.
    bool remove(const std::string &instance, CommandDone done);

    /// Tells the group that this member is about to end. Returns whether the group removes it,
    /// which takes a moment in which it should go on.
    bool leave();

    LogStatus status() const;

private:
    struct Command
    {
        std::string data;
        CommandDone done;
    };
    struct Query
    {
        std::string data;
        CommandDone done;
    };
    struct MembershipStatus
    {
        std::string instance;
        bool belongs = false;
    };
    struct Admit
    {
        std::string instance;
        CommandDone done;
    };
    struct Remove
    {
        std::string instance;
        CommandDone done;
    };
    struct Leave
    { };
    using Event =
        std::variant<Command, Query, consensus::Message, MembershipStatus, Admit, Remove, Leave>;

    static std::size_t bytesOf(const Event &event);

    struct PendingQuery
    {
        std::string data;
        TimePoint since;
        CommandDone done;
    };

    // Defined in logduty.cpp: events, effects and status.
    void failPending();
    void handleEvent(Event &event, TimePoint now);
    void handle(Command &event, TimePoint now);
    void handle(Query &event, TimePoint now);
    void handle(consensus::Message &event, TimePoint now);
    void advance(TimePoint now);
    void perform(consensus::Output &output);
    void applyEntry(const consensus::Entry &entry);
    void saveSnapshot();
    void failExpired(TimePoint now);
    void refreshStatus();

    // Defined in logmembership.cpp: bootstrap and membership.
    void handle(MembershipStatus &event, TimePoint now);
    void handle(Admit &event, TimePoint now);
    void handle(Remove &event, TimePoint now);
    void handle(Leave &event, TimePoint now);
    void handOver(TimePoint now);
    void tryBootstrap(TimePoint now);
    void changeMembers(TimePoint now);
    void changeMembersAutomatically(TimePoint now);
    bool proposeStep(const consensus::MembershipChange &step, TimePoint now);

    LogDutySettings m_settings;
    StateMachine m_machine;
    LogLinks m_links;
    std::optional<consensus::Group> m_group;
    BoundedRing<Event> m_ring;

    std::uint64_t m_applied = 0;
    PendingCommands m_pending;
    std::map<std::uint64_t, PendingQuery> m_queries;
    std::uint64_t m_nextQuery = 1;
    /// Instances that replied that they do not belong to the group.
    std::set<std::string> m_nonMembers;
    bool m_mayBootstrap = true;
    bool m_isLeaving = false;
    TimePoint m_nextBootstrapAt;
    /// Members with empty storage that asked to join, keyed by instance name.
    std::map<std::string, consensus::MemberId> m_joining;
    /// Instances whose former storage an operator declared lost.
    std::set<std::string> m_admitted;
    TimePoint m_nextMembership;

    mutable std::mutex m_mutex;
    LogStatus m_status;
};

} // namespace kumquathaven::control

#endif // KUMQUATHAVEN_CONTROL_LOGDUTY_H
