// The interface between a replicated log and the state machine that it drives.

#ifndef KUMQUATHAVEN_BASE_STATEMACHINE_H
#define KUMQUATHAVEN_BASE_STATEMACHINE_H

#include "kumquathaven/base/result.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace kumquathaven {

/// A deterministic state machine: members that apply the same commands in the same order hold the
/// same state. All functions are called by one thread.
struct StateMachine
{
    /// Applies the committed command at a log index and returns the answer for its sender. An
    /// invalid command is answered with an error and never throws, since every member applies it.
    std::function<std::string(std::uint64_t index, std::string_view command)> apply;
    /// Answers a query from the present state.
    std::function<std::string(std::string_view query)> read;
    /// Returns the complete encoded state.
    std::function<std::string()> save;
    /// Replaces the present state with one that save() returned.
    std::function<Result<void>(std::string_view state)> restore;
};

} // namespace kumquathaven

#endif // KUMQUATHAVEN_BASE_STATEMACHINE_H
