#include "kumquathaven/deployment/plan.h"

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::deployment;

namespace {

Plan validPlan()
{
    Plan plan;
    plan.version = 1;
    plan.services["app"].name = "app";
    Route route;
    route.name = "r";
    route.host = "Shop.example";
    route.pathPrefix = "/a/";
    route.services = {{"app", 1}};
    route.timeout = std::chrono::seconds(1);
    plan.routes = {route};
    plan.customers.resize(2);
    plan.customers[0].name = "north";
    plan.customers[0].keys = {"k1", "k2"};
    plan.customers[1].name = "south";
    plan.customers[1].keys = {"k3"};
    return plan;
}

} // namespace

TEST_CASE("a valid plan has no validation error")
{
    CHECK(validationError(validPlan()).empty());
}

TEST_CASE("invalid plans are rejected")
{
    SUBCASE("an unknown service")
    {
        Plan plan = validPlan();
        plan.routes[0].services = {{"none", 1}};
        CHECK_FALSE(validationError(plan).empty());
    }
    SUBCASE("weights that are all zero")
    {
        Plan plan = validPlan();
        plan.routes[0].services = {{"app", 0}};
        CHECK_FALSE(validationError(plan).empty());
    }
    SUBCASE("no timeout")
    {
        Plan plan = validPlan();
        plan.routes[0].timeout = Duration(0);
        CHECK_FALSE(validationError(plan).empty());
    }
    SUBCASE("two routes with the same host in different case and the same prefix")
    {
        Plan plan = validPlan();
        plan.routes.push_back(plan.routes[0]);
        plan.routes[1].host = "shop.example";
        CHECK_FALSE(validationError(plan).empty());
    }
    SUBCASE("a key of two customers")
    {
        Plan plan = validPlan();
        plan.customers[1].keys.push_back("k1");
        CHECK_FALSE(validationError(plan).empty());
    }
    SUBCASE("a key that one customer lists twice is valid")
    {
        Plan plan = validPlan();
        plan.customers[0].keys.push_back("k1");
        CHECK(validationError(plan).empty());
    }
}

TEST_CASE("the longest path prefix of a host wins")
{
    Plan plan = validPlan();
    Route longer = plan.routes[0];
    longer.name = "longer";
    longer.pathPrefix = "/a/b/";
    plan.routes.push_back(longer);
    const PlanIndex index(plan);
    REQUIRE(index.findRoute("shop.example:8080", "/a/b/c") != nullptr);
    CHECK(index.findRoute("shop.example:8080", "/a/b/c")->name == "longer");
    CHECK(index.findRoute("SHOP.example", "/a/x")->name == "r");
    CHECK(index.findRoute("shop.example", "/b/") == nullptr);
    CHECK(index.findRoute("other.example", "/a/") == nullptr);
}

TEST_CASE("customers are found by their keys")
{
    const Plan plan = validPlan();
    const PlanIndex index(plan);
    REQUIRE(index.findCustomer("k3") != nullptr);
    CHECK(index.findCustomer("k3")->name == "south");
    CHECK(index.findCustomer("k4") == nullptr);
}
