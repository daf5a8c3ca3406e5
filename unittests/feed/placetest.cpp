// Tests the place of a process, which identifies its listening socket.

#include "kumquathaven/feed/place.h"

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::feed;

TEST_CASE("A place is the same only for one address in one network during one boot of the machine")
{
    const LocalNetwork here{"boot", "net:[1]"};
    const settings::Address link{"10.0.0.1", 7000};
    const std::uint64_t place = placeOf(here, link);
    CHECK(place != 0);
    CHECK(placeOf(here, link) == place);
    CHECK(placeOf({"boot2", "net:[1]"}, link) != place);
    CHECK(placeOf({"boot", "net:[2]"}, link) != place);
    CHECK(placeOf(here, {"10.0.0.2", 7000}) != place);
    CHECK(placeOf(here, {"10.0.0.1", 7001}) != place);
    CHECK(placeOf({"", "net:[1]"}, link) == 0);
    CHECK(placeOf({"boot", ""}, link) == 0);
    CHECK(placeOf(here, {"10.0.0.1", 0}) == 0);
    CHECK_FALSE(localNetwork().bootId.empty());
    CHECK_FALSE(localNetwork().networkNamespace.empty());
}
