#include "overload.h"
#include "enginesimulation.h"

#include <doctest/doctest.h>

using namespace gatewaytest;
using std::chrono::seconds;

namespace {

/// What callers get of an answer that comes late, against one in time; from the users' sheets.
constexpr double lateWorth = 0.3;

/// Returns what callers get of all that they ask for, as a part.
double servedLong(const Late &it)
{
    return 1 - ((1 - lateWorth) * it.longOnes + it.lostLong) / it.ofLong;
}

double servedShort(const Late &it)
{
    return 1 - ((1 - lateWorth) * it.shortOnes + it.lostShort) / it.ofShort;
}

} // namespace

TEST_CASE("under more load than engines bear, callers get more where late ones are refused")
{
    for (const double load : {1.6, 2.2, 3.0}) {
        CAPTURE(load);
        Conduct conduct;
        conduct.load = load;
        const Late taking = lateOf(conduct, {0.6, 1.0, 1.6});
        conduct.refuses = true;
        const Late refusing = lateOf(conduct, {0.6, 1.0, 1.6});
        MESSAGE("load ", load, ": long ", servedLong(refusing), ", else ", servedLong(taking),
                "; short ", servedShort(refusing), ", else ", servedShort(taking));
        CHECK(servedLong(refusing) > servedLong(taking));
        CHECK(servedShort(refusing) > servedShort(taking));
    }
}

TEST_CASE("under a load that engines bear hardly anything is refused for good")
{
    Conduct conduct;
    conduct.refuses = true;
    const Late refusing = lateOf(conduct, {0.6, 1.0, 1.6});
    CHECK(refusing.lostLong + refusing.lostShort <= (refusing.ofLong + refusing.ofShort) / 500);
}

TEST_CASE("a prompt that takes its whole objective by itself may still wait for others")
{
    CHECK(bearableWait(milliseconds(800), milliseconds(300)) == milliseconds(500));
    CHECK(bearableWait(milliseconds(800), milliseconds(790)) == milliseconds(400));
    CHECK(bearableWait(milliseconds(800), seconds(5)) == milliseconds(400));
}

TEST_CASE("callers come back sooner the fewer are refused, and always with time left")
{
    const TimePoint begun = TimePoint(std::chrono::hours(1));
    RefusalRate few;
    RefusalRate many;
    for (int n = 0; n < 100; ++n) {
        noteOffer(few, n % 50 == 0, begun + n * milliseconds(10));
        noteOffer(many, n % 50 != 0, begun + n * milliseconds(10));
    }
    CHECK(refusedShare(few) < 0.05);
    CHECK(refusedShare(many) > 0.95);
    for (const double draw : {0.0, 0.5, 0.999}) {
        const Duration soon = comeBackAfter(few, milliseconds(100), seconds(4), draw);
        const Duration late = comeBackAfter(many, milliseconds(100), seconds(4), draw);
        CHECK(soon <= late);
        CHECK(soon > Duration(0));
        CHECK(late < seconds(4));
    }
    CHECK(comeBackAfter(many, seconds(100), milliseconds(100), 1) < milliseconds(100));
    // What was refused long ago does not count.
    noteOffer(many, false, begun + seconds(60));
    CHECK(refusedShare(many) < 0.01);
}
