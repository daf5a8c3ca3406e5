// Bounds the sends of requests beyond their first over all instances, without messages.
//
// Answers the load of failing servers: each instance may repeat a ratio of its own requests, and
// its part of the slack that all instances share.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_RETRYBUDGET_H
#define KUMQUATHAVEN_LIB_GATEWAY_RETRYBUDGET_H

#include "kumquathaven/base/time.h"

#include <cstdint>

namespace kumquathaven::gateway {

/// What all instances together may send beyond the first send of each request.
struct RetryRules
{
    double ratio = 0.2;
    double slack = 50;
    Duration window = std::chrono::seconds(10);
    /// Instances that share the slack, this one among them.
    std::uint32_t instances = 1;
};

/// Repeats of one service that this instance may still send.
struct RetryBudget
{
    double retries = 0;
    TimePoint lastRefill{};
};

/// Counts a first send, which earns a part of a repeat.
void earn(RetryBudget &budget, const RetryRules &rules, TimePoint now);

/// Takes one repeat. Returns false, and takes nothing, if there is none.
bool spend(RetryBudget &budget, const RetryRules &rules, TimePoint now);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_RETRYBUDGET_H
