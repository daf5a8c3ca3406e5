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

/// How strictly a comparison judges.
struct Judgement
{
    /// Evidence from which on a difference counts, as of evidenceOver().
    double bound = 0;
    /// Share of the errors that a failing server explains.
    double explained = 0;
    /// Part of the usual margins that is allowed.
    double margin = 1;
    /// Errors below which nothing is judged.
    double minErrors = 4;
    /// Requests to the new release for each one to the present release, at the present share.
    double odds = 0;
};

/// Returns what shows that the new release fails more often on a route, or nothing.
std::optional<std::string> failuresOf(const RouteCounts &route, const Judgement &judgement);

/// Returns what shows that the new release answers more slowly on a route, or nothing.
std::optional<std::string> delaysOf(const RouteCounts &route, const Judgement &judgement);

/// Returns what shows that servers with the new release crash more often, or nothing.
std::optional<std::string> cutsOf(const Evidence &evidence, const Policy &policy);

/// Returns the group of servers with the largest share of errors.
std::size_t worstGroup(const Evidence &evidence);

struct Explanation
{
    /// Share of the new release's errors that one failing group of servers explains.
    double share = 0;
    /// Whether other groups have shown enough to tell.
    bool isCertain = true;
};

Explanation explainedByGroup(const Evidence &evidence);

} // namespace kumquathaven::release

#endif // KUMQUATHAVEN_LIB_RELEASE_COMPARE_H
