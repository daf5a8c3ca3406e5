#include "enginefixture.h"
#include "peerupdate.h"

#include "kumquathaven/deployment/cachescopes.h"

#include <doctest/doctest.h>

#include <map>

using namespace gatewaytest;

namespace {

std::shared_ptr<catalogue::Catalogue> named(std::uint64_t version)
{
    auto it = std::make_shared<catalogue::Catalogue>();
    it->weights[model] = version;
    return it;
}

/// Sets a version that replaces the one before it.
void setVersion(Servers &servers, std::uint64_t version, TimePoint now)
{
    catalogue::WeightsTimes times = *servers.weightsTimes;
    catalogue::recordWeights(times, model, version, version - 1, now);
    servers.weightsTimes = std::make_shared<const catalogue::WeightsTimes>(std::move(times));
    applyCatalogue(servers, named(version));
}

} // namespace

TEST_CASE("instances without communication place a shared prompt on the same server")
{
    EngineFixture fixture;
    std::map<std::string, int> chosen;
    for (int n = 0; n < 5; ++n) {
        Servers servers;
        fixture.list(servers, 9, 1, at(0));
        fixture.head.requestId = "r" + std::to_string(n);
        const auto pick = gateway::pick(servers, fixture.request(at(1)), at(1));
        REQUIRE(pick);
        ++chosen[pick->start];
    }
    CHECK(chosen.size() == 1);
}

TEST_CASE("a busy placement is passed over for the next one")
{
    EngineFixture fixture;
    Servers servers;
    fixture.list(servers, 9, 1, at(0));
    const auto first = gateway::pick(servers, fixture.request(at(1)), at(1));
    REQUIRE(first);
    std::string next;
    for (int n = 0; n < 20 && next.empty(); ++n) {
        const auto it = gateway::pick(servers, fixture.request(at(1)), at(1));
        REQUIRE(it);
        if (it->start != first->start)
            next = it->start;
    }
    CHECK_FALSE(next.empty());
}

TEST_CASE("a shared prompt is saved once, by the first instance that sends it")
{
    EngineFixture fixture;
    Servers here;
    Servers there;
    for (Servers *it : {&here, &there}) {
        setStoreReachable(*it, "127.0.0.2:1", true);
        fixture.list(*it, 3, 1, at(0));
    }
    const auto first = gateway::pick(here, fixture.request(at(1)), at(1));
    REQUIRE(first);
    CHECK(first->saveTo == "127.0.0.2:1");
    CHECK(first->fetchFrom == "127.0.0.2:1");
    const auto updates = decoded(takeUpdate(here, "here"));
    REQUIRE(updates.size() == 1);
    REQUIRE(updates[0].prompts.size() == 1);
    CHECK(updates[0].prompts[0].parts.size() == 1);
    const auto backlogs = takeChangedBacklogs(here);
    REQUIRE(backlogs.size() == 1);
    // No part of the prompt was cached or could be fetched.
    CHECK(backlogs.at(first->start) == fixture.head.promptTokens);
    applyPeerUpdate(there, updates[0], at(2));
    setBacklogOfOthers(there, backlogKey(first->start),
                       static_cast<std::int64_t>(fixture.head.promptTokens), {}, at(2));
    const auto second = gateway::pick(there, fixture.request(at(3)), at(3));
    REQUIRE(second);
    CHECK(second->saveTo.empty());
    CHECK(second->start == first->start);
    SUBCASE("a prompt that was not read is saved again")
    {
        recordAttemptEnd(here, *first, AttemptEnd::Refused, at(4));
        const auto again = gateway::pick(here, fixture.request(at(5)), at(5));
        REQUIRE(again);
        CHECK_FALSE(again->saveTo.empty());
    }
}

TEST_CASE("nothing is fetched from an unreachable store")
{
    EngineFixture fixture;
    Servers servers;
    fixture.list(servers, 3, 1, at(0));
    const auto it = gateway::pick(servers, fixture.request(at(1)), at(1));
    REQUIRE(it);
    CHECK(it->fetchFrom.empty());
    CHECK(it->saveTo.empty());
}

TEST_CASE("the cache scope contains the weights version and the name of an isolated customer")
{
    EngineFixture fixture;
    deployment::Customer customer;
    customer.name = "walled";
    customer.isolated = true;
    Servers servers;
    fixture.list(servers, 1, 4, at(0));
    PickRequest request = fixture.request(at(1));
    const auto sharedPick = gateway::pick(servers, request, at(1));
    fixture.plan.customers = {customer};
    request.customer = &fixture.plan.customers[0];
    request.cacheScope = deployment::CacheScopes(fixture.plan).scopeOf(customer.name);
    const auto isolatedPick = gateway::pick(servers, request, at(1));
    REQUIRE(sharedPick);
    REQUIRE(isolatedPick);
    CHECK(sharedPick->weights == 4U);
    CHECK(sharedPick->cacheScope == "v4");
    CHECK(isolatedPick->cacheScope == "v4/walled");
}

TEST_CASE("old weights are used only for a limited time")
{
    EngineFixture fixture;
    Servers servers;
    servers.weightsTime = std::chrono::seconds(6);
    setVersion(servers, 1, at(0));
    fixture.list(servers, 2, 1, at(0));
    setVersion(servers, 2, at(1000));
    CHECK(gateway::pick(servers, fixture.request(at(1500)), at(1500)));
    CHECK(gateway::pick(servers, fixture.request(at(4000)), at(4000)));
    // A retry ends the present attempt if another server can be chosen.
    CHECK(gateway::canPick(servers, fixture.request(at(4000)), at(4000)));
    CHECK_FALSE(gateway::canPick(servers, fixture.request(at(5000)), at(5000)));
    CHECK_FALSE(gateway::pick(servers, fixture.request(at(5000)), at(5000)));
    SUBCASE("a later version does not extend that time")
    {
        setVersion(servers, 3, at(4900));
        CHECK_FALSE(gateway::pick(servers, fixture.request(at(5000)), at(5000)));
    }
    SUBCASE("a server that loaded the new ones is used")
    {
        const auto catalogue = named(2);
        catalogue->serverWeights["e1@0/m"] = {"e1@0", model, 2, false};
        applyCatalogue(servers, catalogue);
        const auto it = gateway::pick(servers, fixture.request(at(5100)), at(5100));
        REQUIRE(it);
        CHECK(it->serverId == "e1");
        CHECK(it->weights == 2U);
    }
}

// Guards against an instance that starts and counts replaced weights as replaced just now.
TEST_CASE("an instance that starts counts replaced weights from their replacement")
{
    EngineFixture fixture;
    Servers servers;
    servers.weightsTime = std::chrono::seconds(6);
    fixture.list(servers, 2, 1, at(0));
    catalogue::WeightsTimes times;
    catalogue::recordPresent(times, named(2)->weights);
    servers.weightsTimes = std::make_shared<const catalogue::WeightsTimes>(times);
    applyCatalogue(servers, named(2));
    CHECK_FALSE(gateway::pick(servers, fixture.request(at(1)), at(1)));
    catalogue::recordAges(times, {{model, 2, std::chrono::seconds(2)}}, at(1));
    servers.weightsTimes = std::make_shared<const catalogue::WeightsTimes>(times);
    CHECK(gateway::pick(servers, fixture.request(at(1000)), at(1000)));
    CHECK_FALSE(gateway::pick(servers, fixture.request(at(2000)), at(2000)));
}

TEST_CASE("a server that is loading, leaving, moved or departed gets no requests")
{
    EngineFixture fixture;
    Servers servers;
    fixture.list(servers, 1, 1, at(0));
    SUBCASE("loading")
    {
        const auto catalogue = named(2);
        catalogue->serverWeights["e0@0/m"] = {"e0@0", model, 1, true};
        applyCatalogue(servers, catalogue);
    }
    SUBCASE("leaving")
    {
        auto leaving = server("e0", "engines", 1);
        leaving.isDraining = true;
        applyList(servers, {leaving}, at(1));
    }
    SUBCASE("moved")
    {
        const auto it = gateway::pick(servers, fixture.request(at(1)), at(1));
        REQUIRE(it);
        recordMoved(servers, *it);
    }
    SUBCASE("departed")
    {
        applyList(servers, {}, at(1));
    }
    CHECK_FALSE(gateway::pick(servers, fixture.request(at(2)), at(2)));
}

TEST_CASE("plain requests go to the server with the lowest load per slot")
{
    EngineFixture fixture;
    fixture.route.services = {{"app", 1}};
    fixture.head.prompt.clear();
    Servers servers;
    applyList(servers, {server("a", "app", 0), server("b", "app", 0)}, at(0));
    std::map<std::string, int> counts;
    for (int n = 0; n < 10; ++n) {
        fixture.head.requestId = std::to_string(n);
        const auto it = gateway::pick(servers, fixture.request(at(n)), at(n));
        REQUIRE(it);
        ++counts[it->serverId];
    }
    CHECK(counts["a"] == 5);
    CHECK(counts["b"] == 5);
}

TEST_CASE("a request is not sent to the same server twice")
{
    EngineFixture fixture;
    Servers servers;
    fixture.list(servers, 2, 1, at(0));
    PickRequest request = fixture.request(at(1));
    const auto first = gateway::pick(servers, request, at(1));
    REQUIRE(first);
    request.tried = {first->start};
    const auto second = gateway::pick(servers, request, at(1));
    REQUIRE(second);
    CHECK(second->start != first->start);
    request.tried.insert(second->start);
    CHECK_FALSE(canPick(servers, request, at(1)));
}
