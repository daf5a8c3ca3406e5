#include "callerentries.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>

using namespace kumquathaven;
using namespace kumquathaven::control;

namespace {

catalogue::Instances instancesIn(std::size_t n, std::size_t domains)
{
    catalogue::Instances instances;
    for (std::size_t i = 0; i < n; ++i) {
        catalogue::Instance it;
        it.name = "e" + std::to_string(i);
        it.failureDomain = "z" + std::to_string(i % domains);
        it.callers = it.failureDomain + "/" + it.name;
        it.state = catalogue::InstanceState::Serving;
        instances.entries[it.name] = it;
    }
    return instances;
}

std::size_t countIn(const std::vector<std::string> &addresses, const std::string &domain)
{
    return static_cast<std::size_t>(
        std::count_if(addresses.begin(), addresses.end(), [&](const std::string &it) {
            return it.rfind(domain + "/", 0) == 0;
        }));
}

} // namespace

TEST_CASE("a caller is told all entries of its domain first, and a few elsewhere")
{
    const auto addresses = entriesForCaller(instancesIn(291, 5), "z1", "10.0.0.1:500");
    CHECK(addresses.size() <= maxEntriesForCaller);
    CHECK(countIn(addresses, "z1") == 58);
    CHECK(addresses.size() == 61);
    CHECK(addresses.front().rfind("z1/", 0) == 0);
    CHECK(countIn(entriesForCaller(instancesIn(700, 5), "z1", "c"), "z1") == 61);
}

TEST_CASE("a caller in a small domain is told entries elsewhere as well")
{
    CHECK(entriesForCaller(instancesIn(8, 3), "z1", "c").size() == 8);
    CHECK(entriesForCaller(instancesIn(57, 3), "z1", "c").size() == 24);
    CHECK(entriesForCaller(instancesIn(57, 3), "unknown", "c").size() == 24);
    CHECK(entriesForCaller({}, "z1", "c").empty());
}

TEST_CASE("no entry gets a large part of the requests of all domains")
{
    const auto instances = instancesIn(291, 5);
    std::map<std::string, double> load;
    for (int caller = 0; caller < 500; ++caller) {
        const std::string domain = "z" + std::to_string(caller % 5);
        const auto addresses =
            entriesForCaller(instances, domain, "10.0." + std::to_string(caller) + ".1:77");
        for (const std::string &it : addresses)
            load[it] += 291.0 / 500 / static_cast<double>(addresses.size());
    }
    for (const auto &it : load) {
        const std::string &address = it.first;
        const double share = it.second;
        CAPTURE(address);
        CHECK(share > 0.8);
        CHECK(share < 1.3);
    }
}

TEST_CASE("a caller is told the same entries again from another port")
{
    const auto instances = instancesIn(291, 5);
    CHECK(entriesForCaller(instances, "z1", "10.0.0.1:500")
          == entriesForCaller(instances, "z1", "10.0.0.1:501"));
}

TEST_CASE("leaving, starting and hinted entries are left out")
{
    auto instances = instancesIn(4, 1);
    instances.entries["e0"].state = catalogue::InstanceState::Leaving;
    instances.entries["e1"].state = catalogue::InstanceState::Starting;
    instances.hinted.insert("e2");
    CHECK(entriesForCaller(instances, "z0", "c") == std::vector<std::string>{"z0/e3"});
}
