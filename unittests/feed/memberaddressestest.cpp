#include "kumquathaven/feed/memberaddresses.h"

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::feed;

namespace {

std::vector<std::string> textsOf(const std::vector<settings::Address> &addresses)
{
    std::vector<std::string> texts;
    texts.reserve(addresses.size());
    for (const settings::Address &it : addresses)
        texts.push_back(settings::toString(it));
    return texts;
}

const std::vector<settings::Address> seeds = {{"10.0.0.1", 70}, {"10.0.0.2", 70}, {"10.0.0.3", 70}};

} // namespace

TEST_CASE("the members of the control state are followed before those of the settings")
{
    CHECK(textsOf(memberAddresses({"10.0.0.9:70", "10.0.0.2:70"}, seeds))
          == std::vector<std::string>{"10.0.0.9:70", "10.0.0.2:70", "10.0.0.1:70", "10.0.0.3:70"});
    CHECK(memberAddresses({}, seeds).size() == 3);
}

TEST_CASE("a state from when the group had one member leaves the others to turn to")
{
    CHECK(memberAddresses({"10.0.0.1:70"}, seeds).size() == 3);
    CHECK(memberAddresses({"no address", "10.0.0.1:0"}, seeds).size() == 3);
}
