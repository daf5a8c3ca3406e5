#include "leaving.h"

#include <doctest/doctest.h>

#include <initializer_list>

using namespace kumquathaven;
using namespace kumquathaven::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("most of the grace period is left for answers, however short it is")
{
    const TimePoint now{std::chrono::hours(1)};
    for (const int ms : {200, 1'000, 3'000, 8'000, 60'000}) {
        const Duration grace = milliseconds(ms);
        const Leaving it = leavingFrom(grace, now);
        CAPTURE(ms);
        CHECK(it.acceptsUntil > now);
        CHECK(it.answersUntil - it.acceptsUntil >= grace * 0.35);
        CHECK(it.endsAt > it.answersUntil);
        CHECK(it.endsAt < now + grace);
    }
}

// Guards against a promise that depends on the length of the grace period.
TEST_CASE("a leaving entry accepts exactly the requests whose deadline is before its last answers")
{
    const TimePoint now{std::chrono::hours(1)};
    for (const int ms : {200, 1'000, 3'000, 8'000, 60'000}) {
        const Leaving leaving = leavingFrom(milliseconds(ms), now);
        CAPTURE(ms);
        for (const int percent : {1, 20, 35, 50, 70, 90, 99, 100, 150}) {
            const TimePoint deadline = now + milliseconds(ms) * percent / 100;
            CAPTURE(percent);
            CHECK(acceptsWhileLeaving(leaving, deadline) == (deadline <= leaving.answersUntil));
        }
        CHECK(acceptsWhileLeaving(leaving, leaving.acceptsUntil));
        CHECK_FALSE(acceptsWhileLeaving(leaving, now + milliseconds(ms)));
    }
}
