// Histories of plans that change who is isolated, and of requests that leave and find cached
// prompts under them.

#include "kumquathaven/deployment/cachescopes.h"
#include "kumquathaven/base/random.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::deployment;

namespace {

const std::vector<std::string> names{"north", "south", "west", "#east", "/east"};

/// Adds, removes, isolates or opens customers at random.
Plan nextPlan(const Plan &plan, Random &random)
{
    Plan next = plan;
    ++next.version;
    for (std::uint64_t n = 1 + random.below(2); n > 0; --n) {
        const std::string &name = names[random.below(names.size())];
        const auto known =
            std::find_if(next.customers.begin(), next.customers.end(), [&](const Customer &it) {
                return it.name == name;
            });
        if (known == next.customers.end()) {
            Customer added;
            added.name = name;
            added.isolated = random.below(3) == 0;
            // The order of customers means nothing.
            next.customers.insert(
                random.below(2) == 0 ? next.customers.begin() : next.customers.end(), added);
        } else if (random.below(4) == 0) {
            next.customers.erase(known);
        } else {
            known->isolated = !known->isolated;
        }
    }
    return next;
}

bool isIsolated(const Plan &plan, const std::string &name)
{
    return std::any_of(plan.customers.begin(), plan.customers.end(), [&](const Customer &it) {
        return it.name == name && it.isolated;
    });
}

} // namespace

// Guards against cached prompts of a customer that others find once it is isolated, or that it
// finds of others.
TEST_CASE("no scope holds prompts across the wall of a customer that is isolated now")
{
    std::size_t shared = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        CAPTURE(seed);
        Random random(seed);
        std::vector<Plan> plans(1);
        // Instances act on plans of different age, and start again without any memory of others.
        std::vector<std::size_t> instances(4);
        // Customers that left prompts, by scope. Engines and stores forget nothing here.
        std::map<std::string, std::set<std::string>> kept;
        for (int n = 0; n < 150; ++n) {
            if (random.below(6) == 0)
                plans.push_back(nextPlan(plans.back(), random));
            std::size_t &instance = instances[random.below(instances.size())];
            if (random.below(3) == 0)
                instance += random.below(plans.size() - instance);
            const Plan &plan = plans[instance];
            const CacheScopes scopes(plan);
            // A request may have arrived under an older plan, with a customer that is gone.
            const std::string customer =
                random.below(8) == 0 ? "" : names[random.below(names.size())];
            const std::string scope = scopes.scopeOf(customer);
            for (const std::string &maker : kept[scope]) {
                CAPTURE(maker);
                CAPTURE(customer);
                const bool crosses =
                    maker != customer && (isIsolated(plan, maker) || isIsolated(plan, customer));
                CHECK_FALSE(crosses);
                shared += maker != customer ? 1 : 0;
            }
            kept[scope].insert(customer);
        }
    }
    // Customers that are not isolated do share.
    CHECK(shared > 10'000);
}

TEST_CASE("a plan without isolated customers has the scope that it always had")
{
    Plan plan;
    plan.customers.resize(2);
    plan.customers[0].name = "north";
    plan.customers[1].name = "south";
    CHECK(CacheScopes(plan).scopeOf("north").empty());
    CHECK(CacheScopes(plan).scopeOf("").empty());
    plan.customers[0].isolated = true;
    const std::string scope = CacheScopes(plan).scopeOf("south");
    CHECK(scope.size() == 33);
    CHECK(CacheScopes(plan).scopeOf("north") == "/north");
    // What else changes in a plan empties no cache.
    plan.customers.emplace_back();
    plan.customers.back().name = "west";
    plan.customers[1].keys = {"k"};
    std::swap(plan.customers[0], plan.customers[2]);
    CHECK(CacheScopes(plan).scopeOf("south") == scope);
}
