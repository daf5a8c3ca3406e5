#include "retrybudget.h"

#include <doctest/doctest.h>

#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::gateway;

TEST_CASE("retries of all instances stay within ratio and slack in any window")
{
    constexpr std::uint32_t instances = 8;
    RetryRules rules;
    rules.instances = instances;
    rules.slack = 56;
    std::vector<RetryBudget> budgets(instances);
    const TimePoint start{std::chrono::hours(1)};
    // Every request fails and is retried if the budget allows it: 40 requests a second at each
    // instance.
    std::vector<std::uint32_t> retries(60, 0);
    for (int ms = 0; ms < 60000; ms += 25) {
        const TimePoint now = start + std::chrono::milliseconds(ms);
        for (RetryBudget &it : budgets) {
            earn(it, rules, now);
            if (spend(it, rules, now))
                ++retries[static_cast<std::size_t>(ms / 1000)];
        }
    }
    const double requests = 40.0 * instances * 10;
    for (std::size_t first = 0; first + 10 <= retries.size(); ++first) {
        std::uint32_t inWindow = 0;
        for (std::size_t n = first; n < first + 10; ++n)
            inWindow += retries[n];
        CHECK(inWindow <= rules.ratio * requests + rules.slack);
    }
}

TEST_CASE("an instance without requests retries no more than its share of the slack")
{
    RetryRules rules;
    rules.instances = 4;
    rules.slack = 40;
    RetryBudget budget;
    const TimePoint start{std::chrono::hours(1)};
    int spent = 0;
    for (int ms = 0; ms < 10000; ms += 10)
        spent += spend(budget, rules, start + std::chrono::milliseconds(ms)) ? 1 : 0;
    CHECK(spent <= 10);
    CHECK(spent >= 4);
}
