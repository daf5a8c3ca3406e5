#include "kumquathaven/admission/retryafter.h"

#include "kumquathaven/base/hash.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::admission;

namespace {

constexpr Duration second = std::chrono::seconds(1);

TimePoint atSecond(double seconds)
{
    return TimePoint{} + std::chrono::hours(1) + fromSeconds(seconds);
}

} // namespace

TEST_CASE("a repeated request keeps its retry time")
{
    const Policy policy;
    const RetryWindow window{Duration(0), 16 * second};
    int moved = 0;
    int same = 0;
    for (std::uint64_t identity = 1; identity <= 200; ++identity) {
        const Duration first = retryAfter(policy, window, identity, atSecond(0), 0);
        if (first < 4 * second)
            continue;
        const Duration again = retryAfter(policy, window, identity, atSecond(2), 0);
        (again == first - 2 * second ? same : moved) += 1;
    }
    CHECK(same > 100);
    CHECK(moved == 0);
}

TEST_CASE("retries are spread evenly over the window, after its start and within bounds")
{
    const Policy policy;
    const RetryWindow window{3 * second, 32 * second};
    std::vector<int> perSecond(130, 0);
    constexpr int callers = 32'000;
    for (std::uint64_t identity = 0; identity < callers; ++identity) {
        // The refusals are spread evenly over the length of one window.
        const double refusedAt = 32.0 * static_cast<double>(identity) / callers;
        const Duration wait = retryAfter(policy, window, stableHash(std::to_string(identity)),
                                         atSecond(refusedAt), 0);
        CHECK(wait >= window.start);
        CHECK(wait <= window.start + 2 * 32 * second);
        ++perSecond.at(static_cast<std::size_t>(refusedAt + toSeconds(wait)));
    }
    // An even spread is 1,000 retries per second if all callers retry within the length of the
    // window.
    CHECK(*std::max_element(perSecond.begin(), perSecond.end()) < 1'200);
}

TEST_CASE("Retry-After of each kind of spread")
{
    Policy policy;
    const RetryWindow window{2 * second, 10 * second};
    policy.spread = Spread::Constant;
    CHECK(retryAfter(policy, window, 1, atSecond(0), 0.5) == 2 * second);
    policy.spread = Spread::Random;
    CHECK(retryAfter(policy, window, 1, atSecond(0), 0.5) == 7 * second);
    CHECK(retryAfter(policy, {Duration(0), Duration(0)}, 1, atSecond(0), 0.5)
          == policy.minRetryAfter);
    CHECK(retryAfter(policy, {std::chrono::hours(1), second}, 1, atSecond(0), 0)
          == policy.maxRetryAfter);
}
