// Tests the time limit of a rollout on the command line.

#include "limit.h"

#include <doctest/doctest.h>

#include <utility>

using namespace kumquathaven;

TEST_CASE("a time limit is a whole number with a unit, within its bounds")
{
    const std::pair<const char *, std::uint64_t> good[] = {
        {"1ms", 1},
        {"12s", 12'000},
        {"10m", 600'000},
        {"168h", 604'800'000},
        {"604800s", 604'800'000},
    };
    for (const auto &row : good) {
        CAPTURE(row.first);
        CHECK(ctl::parseLimitMs(row.first) == row.second);
    }
    for (const char *text : {"", "0s", "-1s", "10", "m", "1.5m", "10 m", "10min", "169h", "s10",
                             "99999999999999999999s", "18446744073709551615h", "1e3s"}) {
        CAPTURE(text);
        CHECK_FALSE(ctl::parseLimitMs(text));
    }
}
