// Seeded arrivals with nested prompt prefixes, a few of them very hot, and the hot ones shifting.

#ifndef KUMQUATHAVEN_MEASURE_ROUTING_WORKLOAD_H
#define KUMQUATHAVEN_MEASURE_ROUTING_WORKLOAD_H

#include "kumquathaven/base/random.h"
#include "kumquathaven/base/time.h"
#include "kumquathaven/routing/prefix.h"

#include <cstdint>
#include <string>
#include <vector>

namespace measure {

using kumquathaven::Duration;
using kumquathaven::TimePoint;

/// One request of the run.
struct Arrival
{
    TimePoint at{};
    std::uint32_t entry = 0;
    kumquathaven::routing::PrefixChain chain;
    std::uint32_t outputTokens = 0;
};

/// Shape of the traffic.
struct WorkloadConfig
{
    std::uint64_t seed = 1;
    double requestsPerSecond = 50;
    Duration length = std::chrono::seconds(180);
    /// The rate grows from a fifth to the whole over this time.
    Duration ramp = std::chrono::seconds(30);
    std::uint32_t entries = 8;
    std::uint32_t blockTokens = 4000;
    std::uint32_t customers = 5;
    std::uint32_t documents = 24;
    std::uint32_t conversations = 6;
    /// Tokens of a prompt's own part, which no other prompt shares: from the least to below the
    /// most.
    std::uint32_t leastOwnTokens = 500;
    std::uint32_t mostOwnTokens = 6000;
    /// Exponent of the popularity of documents; the most popular are asked for very often.
    double skew = 1.1;
    /// The most popular documents change places with others after this time.
    Duration shiftEvery = std::chrono::seconds(20);
};

/// Returns the arrivals in the order of time.
std::vector<Arrival> makeArrivals(const WorkloadConfig &config);

} // namespace measure

#endif // KUMQUATHAVEN_MEASURE_ROUTING_WORKLOAD_H
