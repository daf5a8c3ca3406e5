// Limits retries over all instances without communication.
//
// This bounds the additional load when servers fail: each instance may retry a share of its own
// requests, and has its share of a slack that all instances have in common.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_RETRYBUDGET_H
#define KUMQUATHAVEN_LIB_GATEWAY_RETRYBUDGET_H

#include "kumquathaven/base/time.h"

#include <cstdint>

namespace kumquathaven::gateway {

/// Limits on the attempts that all instances together may send beyond the first attempt of each
/// request.
struct RetryRules
{
    double ratio = 0.2;
    double slack = 50;
    Duration window = std::chrono::seconds(10);
    /// Number of instances that share the slack, including this one.
    std::uint32_t instances = 1;
};

/// Retries that this instance may still send for one service.
struct RetryBudget
{
    double retries = 0;
    TimePoint lastRefill{};
};

/// Records a first attempt, which earns a fraction of a retry.
void earn(RetryBudget &budget, const RetryRules &rules, TimePoint now);

/// Takes one retry from the budget. Returns false and changes nothing if none is left.
bool spend(RetryBudget &budget, const RetryRules &rules, TimePoint now);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_RETRYBUDGET_H
