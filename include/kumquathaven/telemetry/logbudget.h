// How many log lines a process may write, and which ones are kept when there are more.
//
// Pure. Answers the load of a burst of requests, or of failures, of which each wants its line.

#ifndef KUMQUATHAVEN_TELEMETRY_LOGBUDGET_H
#define KUMQUATHAVEN_TELEMETRY_LOGBUDGET_H

#include "kumquathaven/base/time.h"

#include <cstdint>

namespace kumquathaven::telemetry {

/// Whether a line tells of something that went as it should or of a failure.
enum class LineKind { Success, Failure };

/// Lines are paid for from a bucket that refills at the settable rate. What failed may use all of
/// it, what went well only its upper half, so that lines about failures are kept longer.
struct LogBudget
{
    /// Lines a second. Zero: without a bound.
    std::uint32_t linesPerSecond = 0;
    double lines = 0;
    TimePoint at{};
};

/// Returns whether a line may be written now, and pays for it.
bool takeLine(LogBudget &budget, LineKind kind, TimePoint now);

} // namespace kumquathaven::telemetry

#endif // KUMQUATHAVEN_TELEMETRY_LOGBUDGET_H
