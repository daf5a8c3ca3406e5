#include "kumquathaven/pace/pace.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace kumquathaven;
using namespace kumquathaven::pace;

namespace {

constexpr double fullWindow = 8'000;
const TimePoint start = TimePoint(std::chrono::hours(1));

/// Returns the largest work that a paced server takes while some waits.
double windowOf(Pace &pace)
{
    double waiting = 1;
    while (waiting < 2 * fullWindow && mayTake(pace, waiting, fullWindow))
        waiting += 1;
    return waiting;
}

} // namespace

TEST_CASE("a server that is not paced takes all work")
{
    Pace pace;
    CHECK(mayTake(pace, 1e9, fullWindow));
    CHECK_FALSE(recordCompleted(pace, 1e9));
    recordFailure(pace);
    CHECK(mayTake(pace, 1e9, fullWindow));
}

TEST_CASE("the window doubles with each window of completed work until the full pace")
{
    Pace pace;
    begin(pace, start);
    for (const double expected : {1'000.0, 2'000.0, 4'000.0, 8'000.0}) {
        CHECK(windowOf(pace) == expected);
        CHECK_FALSE(recordCompleted(pace, expected - 1));
        CHECK(windowOf(pace) == expected);
        CHECK(recordCompleted(pace, 1) == (expected == fullWindow));
    }
    CHECK_FALSE(pace.isPaced);
}

TEST_CASE("late answers halve the window, failures begin it anew, an idle server takes a request")
{
    Pace pace;
    begin(pace, start);
    mayTake(pace, 0, fullWindow);
    recordCompleted(pace, 1'000);
    recordCompleted(pace, 2'000);
    REQUIRE(windowOf(pace) == 4'000);
    const Duration expected = std::chrono::milliseconds(100);
    recordAnswer(pace, expected, 2 * expected);
    CHECK(windowOf(pace) == 4'000);
    recordAnswer(pace, expected, 3 * expected);
    CHECK(windowOf(pace) == 2'000);
    recordCompleted(pace, 2'000);
    recordFailure(pace);
    CHECK(windowOf(pace) == 1'000);
    for (int n = 0; n < 10; ++n)
        recordAnswer(pace, expected, 3 * expected);
    CHECK(windowOf(pace) == 1'000);
    CHECK(mayTake(pace, 0, fullWindow));
    CHECK_FALSE(mayTake(pace, 1'000, fullWindow));
}

TEST_CASE(
    "generated histories: only an idle server takes more than its window, and one that answers "
    "reaches its full pace")
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        std::uniform_real_distribution<double> uniform(0, 1);
        Pace pace;
        begin(pace, start);
        double waiting = 0;
        for (int n = 0; n < 1'000; ++n) {
            const double work = 1 + 3'000 * uniform(random);
            if (mayTake(pace, waiting, fullWindow)) {
                CHECK((waiting <= 0 || waiting < fullWindow * pace.share));
                waiting += work;
            }
            const double done = waiting * uniform(random);
            waiting -= done;
            recordCompleted(pace, done);
            if (n < 500 && uniform(random) < 0.05)
                recordFailure(pace);
            CHECK(pace.share >= initialShare);
            CHECK(pace.share <= 1);
            if (!pace.isPaced)
                break;
        }
        CHECK_FALSE(pace.isPaced);
    }
}
