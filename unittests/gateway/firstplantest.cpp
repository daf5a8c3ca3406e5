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
    CHECK_FALSE(mayAdoptFirst(first, 7, false, seconds(3), start));
    CHECK_FALSE(mayAdoptFirst(first, 7, false, seconds(3), start + seconds(2)));
    CHECK(mayAdoptFirst(first, 7, true, seconds(3), start + seconds(2)));
    CHECK(mayAdoptFirst(first, 7, false, seconds(3), start + seconds(3)));
    FirstPlan proven;
    CHECK(mayAdoptFirst(proven, 7, true, seconds(3), start));
}

// Guards against requests that are refused by what a member has just come to in its log.
TEST_CASE("a starting instance adopts no declaration of a member that still applies its log")
{
    const TimePoint start{std::chrono::hours(1)};
    FirstPlan first;
    constexpr std::uint64_t versions = 40;
    for (std::uint64_t version = 1; version <= versions; ++version)
        CHECK_FALSE(mayAdoptFirst(first, version, false, seconds(3), start + seconds(version)));
    const TimePoint last = start + seconds(versions);
    CHECK_FALSE(mayAdoptFirst(first, versions, false, seconds(3), last + seconds(2)));
    CHECK(mayAdoptFirst(first, versions, true, seconds(3), last + seconds(2)));
    CHECK(mayAdoptFirst(first, versions, false, seconds(3), last + seconds(3)));
}
