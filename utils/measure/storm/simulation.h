// One queue before a fixed capacity, driven event by event with clients that retry.

#ifndef KUMQUATHAVEN_STORM_SIMULATION_H
#define KUMQUATHAVEN_STORM_SIMULATION_H

#include "queue.h"
#include "workload.h"

namespace storm {

/// What happens in one run.
struct Scenario
{
    std::vector<Customer> customers;
    std::uint32_t slots = 64;
    /// First attempts as a part of the capacity, before any surge.
    double load = 0.8;
    /// Part of all arrivals that the storm's retries make up.
    double retryPart = 0;
    /// Every client follows Retry-After.
    bool followersOnly = false;
    /// A time without capacity.
    Duration outageAt{0};
    Duration outage{0};
    Duration warmUp = std::chrono::seconds(60);
    /// Work created in this time after the warm-up is counted.
    Duration counted = std::chrono::seconds(600);
    /// Further time for what was created late.
    Duration coolDown = std::chrono::seconds(330);
    std::uint64_t seed = 1;
};

/// What one run gave.
struct Report
{
    double retryPart = 0;
    std::uint64_t arrivals = 0;
    std::uint64_t refusals = 0;
    /// Refusals of first attempts among all first attempts.
    double refusedFirst = 0;
    /// Served part of the counted first attempts' work, by tokens.
    double goodput = 0;
    /// Served tokens over the fair share, for the customer where that is least.
    double worstShare = 0;
    std::string worstCustomer;
    /// The same among the customers that send at their rate.
    double worstWithinRate = 0;
    /// Creation to first token of quick work, in seconds, of the customers that send at their rate.
    double quickP50 = 0;
    double quickP99 = 0;
    /// Part of quick work that never got a first token.
    double quickLost = 0;
    /// Attempts for each piece of work.
    double attempts = 0;
    /// Most arrivals in one second after the outage, over the mean second.
    double peak = 0;
};

/// Runs a scenario against a queue.
Report run(const Scenario &scenario, Queue &queue);

} // namespace storm

#endif // KUMQUATHAVEN_STORM_SIMULATION_H
