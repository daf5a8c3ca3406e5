// What a whole load brought, as one JSON object.

#ifndef KUMQUATHAVEN_TOOLS_KUMQUATLOAD_REPORT_H
#define KUMQUATHAVEN_TOOLS_KUMQUATLOAD_REPORT_H

#include "accounting.h"
#include "caller.h"

#include <string>
#include <vector>

namespace kumquathaven::load {

/// Everything that a report is made from.
struct LoadOutcome
{
    std::vector<Arrival> arrivals;
    std::vector<CallResult> results;
    /// One for each customer; empty if the limits are not known.
    std::vector<RateLimit> limits;
    std::uint32_t maxTokens = 0;
    Duration length{0};
    /// Requests due before this count in the customers' accounts only.
    Duration warmUp{0};
};

/// Returns counts by result, latencies in milliseconds, prefix reuse, and for each customer its
/// tokens beside what one exact bucket would have let it spend. A storm is counted apart, and so
/// are customers to whom the exact bucket refuses nothing, since waiting for Retry-After makes the
/// others' times long.
std::string reportOf(const LoadOutcome &outcome);

/// Returns one request as a JSON object on one line.
std::string lineOf(const CallResult &result);

} // namespace kumquathaven::load

#endif // KUMQUATHAVEN_TOOLS_KUMQUATLOAD_REPORT_H
