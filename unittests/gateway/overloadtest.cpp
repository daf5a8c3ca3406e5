#include "overload.h"
#include "enginesimulation.h"

#include <doctest/doctest.h>

using namespace gatewaytest;
using std::chrono::seconds;

namespace {

/// Value of a late answer relative to one in time, from the data sheets of the users.
constexpr double lateAnswerValue = 0.3;

/// Returns the value of all answers as a share of the value if all were in time.
double usefulShareLong(const LateCounts &it)
{
    return 1 - ((1 - lateAnswerValue) * it.lateLong + it.lostLong) / it.totalLong;
}

double usefulShareShort(const LateCounts &it)
{
    return 1 - ((1 - lateAnswerValue) * it.lateShort + it.lostShort) / it.totalShort;
}

} // namespace

TEST_CASE("under overload, refusing late requests increases the value of all answers")
{
    for (const double load : {1.6, 2.2, 3.0}) {
        CAPTURE(load);
        SimulationConfig config;
        config.load = load;
        const LateCounts withoutRefusals = simulate(config, {0.6, 1.0, 1.6});
        config.refuses = true;
        const LateCounts withRefusals = simulate(config, {0.6, 1.0, 1.6});
        MESSAGE("load ", load, ": long ", usefulShareLong(withRefusals), ", without refusals ",
                usefulShareLong(withoutRefusals), "; short ", usefulShareShort(withRefusals),
                ", without refusals ", usefulShareShort(withoutRefusals));
        CHECK(usefulShareLong(withRefusals) > usefulShareLong(withoutRefusals));
        CHECK(usefulShareShort(withRefusals) > usefulShareShort(withoutRefusals));
    }
}

TEST_CASE("without overload, at most one request in 500 is refused for good")
{
    SimulationConfig config;
    config.refuses = true;
    const LateCounts withRefusals = simulate(config, {0.6, 1.0, 1.6});
    CHECK(withRefusals.lostLong + withRefusals.lostShort
          <= (withRefusals.totalLong + withRefusals.totalShort) / 500);
}

TEST_CASE("a prompt that takes up its whole objective may still wait for half of it")
{
    CHECK(toleratedWait(milliseconds(800), milliseconds(300)) == milliseconds(500));
    CHECK(toleratedWait(milliseconds(800), milliseconds(790)) == milliseconds(400));
    CHECK(toleratedWait(milliseconds(800), seconds(5)) == milliseconds(400));
}

TEST_CASE("the retry delay grows with the share of refused requests and leaves time for an answer")
{
    const TimePoint startedAt = TimePoint(std::chrono::hours(1));
    RefusalRate few;
    RefusalRate many;
    for (int n = 0; n < 100; ++n) {
        recordRequest(few, n % 50 == 0, startedAt + n * milliseconds(10));
        recordRequest(many, n % 50 != 0, startedAt + n * milliseconds(10));
    }
    CHECK(refusedShare(few) < 0.05);
    CHECK(refusedShare(many) > 0.95);
    for (const double draw : {0.0, 0.5, 0.999}) {
        const Duration minDelay = retryDelay(few, milliseconds(100), seconds(4), draw);
        const Duration maxDelay = retryDelay(many, milliseconds(100), seconds(4), draw);
        CHECK(minDelay <= maxDelay);
        CHECK(minDelay > Duration(0));
        CHECK(maxDelay < seconds(4));
    }
    CHECK(retryDelay(many, seconds(100), milliseconds(100), 1) < milliseconds(100));
    // Refusals of long ago do not count.
    recordRequest(many, false, startedAt + seconds(60));
    CHECK(refusedShare(many) < 0.01);
}
