// Whether a request ran on an upstream, as far as that is known.

#ifndef KUMQUATHAVEN_BASE_OUTCOME_H
#define KUMQUATHAVEN_BASE_OUTCOME_H

#include <optional>
#include <string_view>

namespace kumquathaven {

/// Whether a request ran on an upstream. Every error that a caller receives contains it.
enum class Outcome {
    /// No byte of the request reached an upstream, or the upstream reported that it did not run.
    NotRun,
    /// The upstream ran the request.
    Ran,
    /// The request may or may not have run.
    Unknown,
};

/// Returns the name of an outcome in messages: "notRun", "ran" or "unknown".
std::string_view outcomeName(Outcome outcome);

/// Returns the outcome with the given name, or nothing if no outcome has it.
std::optional<Outcome> outcomeFromName(std::string_view name);

} // namespace kumquathaven

#endif // KUMQUATHAVEN_BASE_OUTCOME_H
