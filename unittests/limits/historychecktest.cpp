// Tests of the history check on histories that are known to be within or above the limit.

#include "historycheck.h"

#include "kumquathaven/base/random.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace kumquathaven;
using namespace kumquathaven::limits;

namespace {

TimePoint atMs(int ms)
{
    return TimePoint{} + std::chrono::milliseconds(ms);
}

/// Computes maxExcessTokens() by trying every window.
double maxExcessByExhaustiveSearch(const std::vector<Spend> &spends, const BucketLimits &limits)
{
    double excess = 0;
    for (const Spend &from : spends) {
        for (const Spend &to : spends) {
            double sum = 0;
            for (const Spend &it : spends)
                sum += it.spentAt >= from.spentAt && it.spentAt <= to.spentAt ? it.tokens : 0;
            if (to.spentAt >= from.spentAt)
                excess = std::max(excess,
                                  sum - limits.burst
                                      - limits.rate * toSeconds(to.spentAt - from.spentAt));
        }
    }
    return excess < 1 ? 0 : excess;
}

} // namespace

TEST_CASE("The check finds the windows that are over the limit")
{
    const BucketLimits limits{100, 1000};
    struct Case
    {
        std::vector<Spend> spends;
        double excess;
    };
    const std::vector<Case> cases = {
        {{}, 0},
        {{{atMs(0), 1000}}, 0},
        {{{atMs(0), 1002}}, 2},
        {{{atMs(0), 1000}, {atMs(0), 10}}, 10},
        {{{atMs(0), 1000}, {atMs(1000), 100}}, 0},
        {{{atMs(0), 1000}, {atMs(1000), 150}}, 50},
        // An idle time long ago does not offset a later excess.
        {{{atMs(0), 10}, {atMs(90000), 1000}, {atMs(90010), 500}}, 499},
        // The spends are out of order, as when the histories of instances are merged.
        {{{atMs(1000), 150}, {atMs(0), 1000}}, 50},
    };
    for (const Case &it : cases)
        CHECK(maxExcessTokens(it.spends, limits) == doctest::Approx(it.excess));
}

TEST_CASE("The check agrees with an exhaustive search over all windows")
{
    Random random(7);
    for (int round = 0; round < 200; ++round) {
        const BucketLimits limits{50 + 100 * random.uniform(), 500};
        std::vector<Spend> spends;
        spends.reserve(25);
        for (int i = 0; i < 25; ++i)
            spends.push_back({atMs(static_cast<int>(random.below(10000))),
                              static_cast<double>(random.below(200))});
        CHECK(maxExcessTokens(spends, limits)
              == doctest::Approx(maxExcessByExhaustiveSearch(spends, limits)).epsilon(1e-6));
    }
}
