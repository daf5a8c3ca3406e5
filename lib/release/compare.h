// Compares what the new release did with what the present one did at the same time.

#ifndef KUMQUATHAVEN_LIB_RELEASE_COMPARE_H
#define KUMQUATHAVEN_LIB_RELEASE_COMPARE_H

#include "kumquathaven/release/release.h"

#include <optional>
#include <string>

namespace kumquathaven::release {

/// Answers and errors; requests still under way are left out.
std::int64_t completedOf(const Counts &counts);

/// Returns the natural logarithm of the evidence that events occur with a higher probability than
/// \p probability, of \p events in \p trials. If they do not, it exceeds x with a probability under
/// exp(-x), however often it is asked while trials are added.
double evidenceOver(double events, double trials, double probability);

/// Returns what shows that the new release fails more often on a route, or nothing. \p explained
/// is the share of its errors that failing servers explain. \p bound is that of the evidence.
std::optional<std::string> failuresOf(const RouteCounts &route, double explained, double bound);

/// Returns what shows that the new release answers more slowly on a route, or nothing.
std::optional<std::string> delaysOf(const RouteCounts &route, double bound);

/// Returns what shows that servers with the new release crash more often, or nothing.
std::optional<std::string> cutsOf(const Evidence &evidence, const Policy &policy);

/// Returns the share of the new release's errors that one failing group of servers explains.
double explainedByGroup(const Evidence &evidence);

} // namespace kumquathaven::release

#endif // KUMQUATHAVEN_LIB_RELEASE_COMPARE_H
