// Blocks until a command or a query of a log group is answered.

#ifndef KUMQUATHAVEN_LIB_CONTROL_AWAITCOMMAND_H
#define KUMQUATHAVEN_LIB_CONTROL_AWAITCOMMAND_H

#include "pendingcommands.h"

#include "kumquathaven/base/result.h"

#include <future>
#include <memory>
#include <string>
#include <utility>

namespace kumquathaven::control {

/// Calls \p start with a CommandDone and waits until that is called or \p maxWait has passed.
/// Returns the state machine's answer. Fails with Overloaded if \p start returns false, with
/// Timeout and an unknown outcome if no answer arrives in time, or with the error of the command.
template <typename Start>
Result<std::string> await(Duration maxWait, Start start)
{
    const auto promise = std::make_shared<std::promise<CommandResult>>();
    std::future<CommandResult> future = promise->get_future();
    const bool isStarted = start([promise](const CommandResult &result) {
        promise->set_value(result);
    });
    if (!isStarted)
        return fail({ErrorCode::Overloaded,
                     "control.log",
                     {},
                     "too many commands are waiting for the log",
                     Outcome::NotRun,
                     std::chrono::seconds(1)});
    if (future.wait_for(maxWait) != std::future_status::ready)
        return fail({ErrorCode::Timeout,
                     "control.log",
                     {},
                     "no answer from the log",
                     Outcome::Unknown,
                     {}});
    CommandResult result = future.get();
    if (result.error)
        return fail(*result.error);
    return std::move(result.answer);
}

} // namespace kumquathaven::control

#endif // KUMQUATHAVEN_LIB_CONTROL_AWAITCOMMAND_H
