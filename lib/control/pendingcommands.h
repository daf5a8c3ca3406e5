// The commands that wait until their log entry is committed or replaced.

#ifndef KUMQUATHAVEN_LIB_CONTROL_PENDINGCOMMANDS_H
#define KUMQUATHAVEN_LIB_CONTROL_PENDINGCOMMANDS_H

#include "kumquathaven/base/error.h"
#include "kumquathaven/base/time.h"
#include "kumquathaven/consensus/effects.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace kumquathaven::control {

/// The outcome of a command or a query.
struct CommandResult
{
    /// Set if the command failed. The peer of a NotLeader error is the leader's instance name,
    /// empty if unknown.
    std::optional<Error> error;
    /// The state machine's answer; empty on an error.
    std::string answer;
};

/// Called once, on the log duty's thread; must not block.
using CommandDone = std::function<void(const CommandResult &)>;

/// Holds the callbacks of proposed commands and calls each exactly once.
class PendingCommands
{
public:
    /// Adds the command proposed at log entry \p place. A pending command of an earlier term at the
    /// same index is answered with an unknown outcome: its entry was truncated from this member's
    /// log.
    void add(const consensus::EntryId &place, TimePoint now, CommandDone done);

    /// Answers the command at an applied entry. A command that was proposed there in another term
    /// did not run.
    void finish(const consensus::EntryId &place, const std::string &answer);

    /// Answers and removes the commands that were added before \p time, with \p result.
    void finishOlder(TimePoint time, const CommandResult &result);

    /// Answers and removes all commands, with \p result.
    void finishAll(const CommandResult &result);

private:
    struct Pending
    {
        std::uint64_t term = 0;
        TimePoint since;
        CommandDone done;
    };

    std::map<std::uint64_t, Pending> m_pending;
};

} // namespace kumquathaven::control

#endif // KUMQUATHAVEN_LIB_CONTROL_PENDINGCOMMANDS_H
