#include "kumquathaven/telemetry/logbudget.h"

#include <algorithm>

namespace kumquathaven::telemetry {

namespace {

/// The bucket holds what the rate gives in this time.
constexpr Duration burstTime = std::chrono::seconds(4);
/// Part of the bucket that is kept for failures.
constexpr double failurePart = 0.5;

} // namespace

bool takeLine(LogBudget &budget, LineKind kind, TimePoint now)
{
    if (budget.linesPerSecond == 0)
        return true;
    const double rate = budget.linesPerSecond;
    const double most = std::max(2.0, rate * toSeconds(burstTime));
    if (budget.at == TimePoint{})
        budget.lines = most;
    else
        budget.lines += rate * std::max(0.0, toSeconds(now - budget.at));
    budget.lines = std::min(budget.lines, most);
    budget.at = now;
    const double kept = kind == LineKind::Failure ? 0 : failurePart * most;
    if (budget.lines - 1 < kept)
        return false;
    budget.lines -= 1;
    return true;
}

} // namespace kumquathaven::telemetry
