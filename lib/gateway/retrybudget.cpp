#include "retrybudget.h"

#include <algorithm>

namespace kumquathaven::gateway {

namespace {

/// Share of the limits that is used: instances may disagree temporarily on their number.
constexpr double usedShare = 0.8;
/// Share of the slack that may be spent at once; the remainder is refilled over the window.
constexpr double burstShare = 0.5;

double ownSlack(const RetryRules &rules)
{
    return usedShare * rules.slack / std::max(1U, rules.instances);
}

void refill(RetryBudget &budget, const RetryRules &rules, TimePoint now)
{
    const double maxRetries = std::max(1.0, burstShare * ownSlack(rules));
    if (budget.lastRefill == TimePoint{}) {
        budget.retries = maxRetries;
    } else {
        const double windows = toSeconds(now - budget.lastRefill) / toSeconds(rules.window);
        budget.retries += std::max(0.0, windows) * (1 - burstShare) * ownSlack(rules);
    }
    budget.retries = std::min(budget.retries, maxRetries);
    budget.lastRefill = now;
}

} // namespace

void earn(RetryBudget &budget, const RetryRules &rules, TimePoint now)
{
    refill(budget, rules, now);
    const double maxRetries = std::max(1.0, burstShare * ownSlack(rules));
    budget.retries = std::min(maxRetries, budget.retries + usedShare * rules.ratio);
}

bool spend(RetryBudget &budget, const RetryRules &rules, TimePoint now)
{
    refill(budget, rules, now);
    if (budget.retries < 1)
        return false;
    budget.retries -= 1;
    return true;
}

} // namespace kumquathaven::gateway
