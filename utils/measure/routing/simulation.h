// A run of one way of choosing over engines that differ, with separate views at each entry.

#ifndef KUMQUATHAVEN_MEASURE_ROUTING_SIMULATION_H
#define KUMQUATHAVEN_MEASURE_ROUTING_SIMULATION_H

#include "kumquathaven/base/enumnames.h"
#include "kumquathaven/routing/policy.h"
#include "workload.h"

namespace measure {

/// The ways that are compared. The oracle knows every cache and every queue exactly.
enum class Way { Random, LeastLoaded, PrefixHash, ExpectedFirstToken, Oracle };

constexpr std::array<kumquathaven::EnumName<Way>, 5> wayNames = {{
    {Way::Random, "random"},
    {Way::LeastLoaded, "least loaded"},
    {Way::PrefixHash, "prefix hash"},
    {Way::ExpectedFirstToken, "expected first token"},
    {Way::Oracle, "oracle"},
}};

/// The engines and how late they report.
struct FleetConfig
{
    std::uint64_t seed = 1;
    std::uint32_t engines = 18;
    std::uint32_t entries = 8;
    std::size_t cacheBlocks = 80;
    std::size_t batch = 256;
    std::uint32_t blockTokens = 4000;
    /// Events are late by a time drawn between these.
    Duration leastEventLag = std::chrono::milliseconds(50);
    Duration mostEventLag = std::chrono::milliseconds(400);
    /// Every nth event is lost, at each entry another one. Zero: none.
    std::uint32_t loseEvery = 100;
    Duration reportEvery = std::chrono::milliseconds(200);
    Duration reportLag = std::chrono::milliseconds(200);
    /// Whether load reports say how many tokens wait, and not only how many requests.
    bool reportsTokens = true;
    kumquathaven::routing::Policy policy;
    /// What each request in the queue costs in the oracle's eyes. It is the value with which the
    /// oracle serves the most requests, whatever the policy under test says.
    double oracleQueueWeight = 1;
};

/// What a run showed. The first part of the run, while all caches are cold, is left out.
struct Figures
{
    std::uint64_t requests = 0;
    double hitRate = 0;
    Duration firstTokenP50{};
    Duration firstTokenP99{};
    /// Tokens computed again that a live engine held when the request came.
    std::uint64_t recomputedTokens = 0;
    std::uint64_t promptTokens = 0;
    /// Share of time that the engines' prefill was busy.
    double busy = 0;
};

/// Runs arrivals through one way of choosing.
Figures simulate(const std::vector<Arrival> &arrivals, Way way, const FleetConfig &config);

} // namespace measure

#endif // KUMQUATHAVEN_MEASURE_ROUTING_SIMULATION_H
