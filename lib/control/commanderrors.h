// Errors of commands and queries that are sent to a log group.

#ifndef KUMQUATHAVEN_LIB_CONTROL_COMMANDERRORS_H
#define KUMQUATHAVEN_LIB_CONTROL_COMMANDERRORS_H

#include "pendingcommands.h"

#include <string>

namespace kumquathaven::control {

/// Returns the NotLeader error of a member that does not lead. \p leader is the leader's instance
/// name, empty if unknown. The error asks callers to retry after 200 ms.
Error notLeader(const std::string &step, const std::string &leader);

/// Calls \p attempt, which returns a Result, and calls \p done with the error if it fails.
template <typename Attempt>
void attemptOr(const CommandDone &done, Attempt attempt)
{
    orElse(attempt, [&done](const Error &error) {
        done({error, {}});
    });
}

} // namespace kumquathaven::control

#endif // KUMQUATHAVEN_LIB_CONTROL_COMMANDERRORS_H
