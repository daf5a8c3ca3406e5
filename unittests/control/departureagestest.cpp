// Tests after which time the process of a departure counts as ended.

#include "kumquathaven/control/departureages.h"

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::control;

TEST_CASE("a departure has ended only after the maximum life of a departed process")
{
    const TimePoint start(std::chrono::seconds(100));
    const Duration second = std::chrono::seconds(1);
    DepartureAges ages;
    ages.observe(4, start);
    ages.observe(7, start + second);
    ages.observe(7, start + 2 * second);
    CHECK(ages.endedDepartures(start + departedProcessLife - Duration(1)) == 0);
    CHECK(ages.endedDepartures(start + departedProcessLife) == 4);
    CHECK(ages.endedDepartures(start + departedProcessLife + second) == 7);
    ages.observe(7, start + departedProcessLife + second);
    ages.observe(8, start + departedProcessLife + second);
    CHECK(ages.endedDepartures(start + departedProcessLife + 2 * second) == 7);
}
