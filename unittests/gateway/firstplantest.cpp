#include "firstplan.h"

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::gateway;
using std::chrono::seconds;

TEST_CASE(
    "a starting instance serves by a confirmed declaration only, unless none can be confirmed")
{
    const TimePoint start{std::chrono::hours(1)};
    FirstPlan first;
    CHECK_FALSE(mayAdoptFirst(first, false, seconds(3), start));
    CHECK_FALSE(mayAdoptFirst(first, false, seconds(3), start + seconds(2)));
    CHECK(mayAdoptFirst(first, true, seconds(3), start + seconds(2)));
    CHECK(mayAdoptFirst(first, false, seconds(3), start + seconds(3)));
    FirstPlan proven;
    CHECK(mayAdoptFirst(proven, true, seconds(3), start));
}
