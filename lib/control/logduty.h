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

/// A log position and a time at which everything accepted was at or before it.
struct LogProof
{
    std::uint64_t index = 0;
    TimePoint at;
};

/// A copy of the group's state for other threads.
struct LogStatus
{
    consensus::RaftState raftState;
    consensus::MemberId self;
    consensus::Configuration configuration;
    std::vector<consensus::MemberProgress> progress;
    std::uint64_t commitIndex = 0;
    std::uint64_t appliedIndex = 0;
    bool isStorageDown = false;
    /// Whether the group accepted a configuration without this member.
    bool isRemoved = false;
    /// The leader's newest proof.
    LogProof proof;
    /// Since when this member leads; the default: it does not.
    TimePoint leaderSince;
};

/// Sends the duty's messages to other members.
struct LogLinks
{
    std::function<void(const consensus::Message &message)> send;
    /// Asks an instance whether it belongs to the group already.
    std::function<void(const std::string &instance)> askBelonging;
};

/// What a LogDuty starts from.
struct LogDutySettings
{
    consensus::GroupSettings group;
    /// Whether this instance founds the group once all others said that they belong to none.
    bool isFounder = false;
    /// Set if the group changes its members by itself, without an operator.
    std::optional<consensus::AutomaticMembership> governance;
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

    /// Drives the group until the signal is set. It throws if the state machine can no longer be
    /// trusted: the process must then start again from the disk.
    void run(const runtime::StopSignal &stop);

    /// Replicates a command. Returns false, and never calls \p done, if too much waits already.
    bool command(std::string data, CommandDone done);

    /// Reads the state machine as it is after everything accepted before the call.
    bool query(std::string data, CommandDone done);

    /// Takes a message of another member.
    bool receive(consensus::Message message);

    /// Takes the answer of another instance to askBelonging.
    bool receiveBelonging(const std::string &instance, bool belongs);

    /// Makes the instance with its present, empty storage a voter, in place of its former storage.
    bool admit(const std::string &instance, CommandDone done);

    /// Removes a member.
    bool remove(const std::string &instance, CommandDone done);

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
    struct Belonging
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
    using Event = std::variant<Command, Query, consensus::Message, Belonging, Admit, Remove>;

    struct PendingQuery
    {
        std::string data;
        TimePoint since;
        CommandDone done;
    };

    // logduty.cpp: events, effects and status.
    void stopWaiting();
    void take(Event &event, TimePoint now);
    void handle(Command &event, TimePoint now);
    void handle(Query &event, TimePoint now);
    void handle(consensus::Message &event, TimePoint now);
    void advance(TimePoint now);
    void perform(consensus::Output &output);
    void applyEntry(const consensus::Entry &entry);
    void giveUpOld(TimePoint now);
    void refreshStatus();

    // logmembership.cpp: founding and members.
    void handle(Belonging &event, TimePoint now);
    void handle(Admit &event, TimePoint now);
    void handle(Remove &event, TimePoint now);
    void found(TimePoint now);
    void changeMembers(TimePoint now);
    void governMembers(TimePoint now);
    bool takeStep(const consensus::MembershipChange &step, TimePoint now);

    LogDutySettings m_settings;
    StateMachine m_machine;
    LogLinks m_links;
    std::optional<consensus::Group> m_group;
    BoundedRing<Event> m_ring;

    std::uint64_t m_applied = 0;
    PendingCommands m_pending;
    std::map<std::uint64_t, PendingQuery> m_queries;
    std::uint64_t m_nextQuery = 1;
    std::set<std::string> m_belongToNone;
    bool m_mayFound = true;
    TimePoint m_nextFounding;
    /// Members with empty storage that asked to join, by instance.
    std::map<std::string, consensus::MemberId> m_joining;
    /// Instances whose former storage operators declared lost.
    std::set<std::string> m_admitted;
    TimePoint m_nextMembership;

    mutable std::mutex m_mutex;
    LogStatus m_status;
};

} // namespace kumquathaven::control

#endif // KUMQUATHAVEN_CONTROL_LOGDUTY_H
