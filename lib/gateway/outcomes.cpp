#include "outcomes.h"

#include <algorithm>
#include <cmath>

namespace kumquathaven::gateway {

namespace {

/// Time constant of the counts.
constexpr Duration countingTime = std::chrono::seconds(5);
/// A server counts as failing if at least this share of its requests fails: then a request that may
/// be sent to two servers is served in 99 of 100 cases without leaving any server out.
constexpr double minErrorShare = 0.1;
/// Errors that are needed, so that a single failure leaves no server out.
constexpr double minErrors = 3;
/// How long a failing server is left out the first time. The time doubles with each time in a row.
constexpr Duration firstExclusion = std::chrono::seconds(3);
constexpr std::uint32_t maxDoublings = 3;
/// A server that went without being left out for this long begins anew.
constexpr Duration recoveryTime = std::chrono::seconds(20);
/// Largest share of the servers of a service that is left out.
constexpr double maxFailingShare = 0.34;

} // namespace

void addOutcomes(RecentOutcomes &outcomes, const OutcomeCounts &counts, TimePoint now)
{
    if (outcomes.updatedAt != TimePoint{}) {
        const double age = std::max(0.0, toSeconds(now - outcomes.updatedAt));
        const double kept = std::exp(-age / toSeconds(countingTime));
        outcomes.answers *= kept;
        outcomes.errors *= kept;
    }
    outcomes.updatedAt = now;
    // Requests that were sent before the server was left out end meanwhile.
    if (isFailing(outcomes, now))
        return;
    outcomes.answers += static_cast<double>(std::max<std::int64_t>(0, counts.answers));
    outcomes.errors += static_cast<double>(std::max<std::int64_t>(0, counts.errors));
    const double total = outcomes.answers + outcomes.errors;
    if (outcomes.errors < minErrors || outcomes.errors < minErrorShare * total)
        return;
    const bool isRepeated =
        outcomes.failingUntil != TimePoint{} && now - outcomes.failingUntil < recoveryTime;
    outcomes.failures = isRepeated ? std::min(outcomes.failures + 1, maxDoublings) : 0;
    outcomes.failingUntil = now + firstExclusion * (1U << outcomes.failures);
    // What it does afterwards is counted anew.
    outcomes.answers = 0;
    outcomes.errors = 0;
}

bool isFailing(const RecentOutcomes &outcomes, TimePoint now)
{
    return now < outcomes.failingUntil;
}

std::size_t maxFailing(std::size_t servers)
{
    return static_cast<std::size_t>(maxFailingShare * static_cast<double>(servers));
}

} // namespace kumquathaven::gateway
