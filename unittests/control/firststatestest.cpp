// Tests which instances get their first state from a control member and which from a relay.

#include "firststates.h"

#include <doctest/doctest.h>

#include <set>

using namespace kumquathaven;
using namespace kumquathaven::control;

TEST_CASE("a member sends complete states at a limited rate")
{
    StateBudget budget;
    TimePoint now(std::chrono::seconds(100));
    const auto grantedOf = [&](int asked) {
        int count = 0;
        for (int n = 0; n < asked; ++n)
            count += takeState(budget, now) ? 1 : 0;
        return count;
    };
    CHECK(grantedOf(64) == 8);
    now += std::chrono::milliseconds(500);
    CHECK(grantedOf(64) == 4);
    now += std::chrono::seconds(60);
    CHECK(grantedOf(64) == 8);
}

TEST_CASE("instances without a state are redirected to serving instances across the fleet")
{
    catalogue::Instances instances;
    CHECK(firstRelaysFor(instances, "new").empty());
    for (int n = 0; n < 100; ++n) {
        catalogue::Instance it;
        it.name = "entry-" + std::to_string(n);
        it.link = "10.0.0.1:" + std::to_string(n);
        it.state = n < 90 ? catalogue::InstanceState::Serving : catalogue::InstanceState::Leaving;
        instances.entries[it.name] = it;
    }
    std::set<std::string> named;
    for (int n = 0; n < 64; ++n) {
        const std::string asker = "entry-" + std::to_string(n);
        const auto relays = firstRelaysFor(instances, asker);
        REQUIRE(relays.size() == 3);
        for (const feed::RelayAddress &it : relays) {
            CHECK(it.name != asker);
            CHECK(instances.entries.at(it.name).state == catalogue::InstanceState::Serving);
            CHECK(instances.entries.at(it.name).link == it.link);
        }
        named.insert(relays.front().name);
    }
    // 64 independent draws from 90 instances give about 46 different ones.
    CHECK(named.size() > 32);
}
