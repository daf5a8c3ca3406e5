#include "enginefixture.h"
#include "peerupdate.h"

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

} // namespace

TEST_CASE("instances that never talked place a shared prompt on the same server")
{
    Site site;
    std::map<std::string, int> chosen;
    for (int n = 0; n < 5; ++n) {
        Servers servers;
        site.list(servers, 9, 1, at(0));
        site.head.requestId = "r" + std::to_string(n);
        const auto pick = gateway::pick(servers, site.request(at(1)), at(1));
        REQUIRE(pick);
        ++chosen[pick->start];
    }
    CHECK(chosen.size() == 1);
}

TEST_CASE("a busy place is passed over for the next one, alike everywhere")
{
    Site site;
    Servers servers;
    site.list(servers, 9, 1, at(0));
    const auto first = gateway::pick(servers, site.request(at(1)), at(1));
    REQUIRE(first);
    std::string next;
    for (int n = 0; n < 20 && next.empty(); ++n) {
        const auto it = gateway::pick(servers, site.request(at(1)), at(1));
        REQUIRE(it);
        if (it->start != first->start)
            next = it->start;
    }
    CHECK_FALSE(next.empty());
}

TEST_CASE("a shared prompt is saved once, by whichever instance comes first")
{
    Site site;
    Servers here;
    Servers there;
    for (Servers *it : {&here, &there}) {
        noteStore(*it, "127.0.0.2:1", true);
        site.list(*it, 3, 1, at(0));
    }
    const auto first = gateway::pick(here, site.request(at(1)), at(1));
    REQUIRE(first);
    CHECK(first->saveTo == "127.0.0.2:1");
    CHECK(first->fetchFrom == "127.0.0.2:1");
    const PeerUpdate news = orElse(
        [&] {
            return decodePeerUpdate(encodePeerUpdate(takeNews(here, at(1))), "here");
        },
        [](const Error &) {
            return PeerUpdate();
        });
    REQUIRE(news.prompts.size() == 1);
    CHECK(news.prompts[0].parts.size() == 1);
    REQUIRE(news.backlogs.size() == 1);
    CHECK(news.backlogs[0].start == first->start);
    // Nothing of it was held or could be fetched.
    CHECK(news.backlogs[0].tokens == site.head.promptTokens);
    takeNewsOf(there, "here", news, at(2));
    const auto second = gateway::pick(there, site.request(at(3)), at(3));
    REQUIRE(second);
    CHECK(second->saveTo.empty());
    CHECK(second->start == first->start);
    SUBCASE("unless it was not read after all")
    {
        noteEnd(here, *first, SendEnd::Refused, at(4));
        const auto again = gateway::pick(here, site.request(at(5)), at(5));
        REQUIRE(again);
        CHECK_FALSE(again->saveTo.empty());
    }
}

TEST_CASE("nothing is fetched from a store that can not be reached")
{
    Site site;
    Servers servers;
    site.list(servers, 3, 1, at(0));
    const auto it = gateway::pick(servers, site.request(at(1)), at(1));
    REQUIRE(it);
    CHECK(it->fetchFrom.empty());
    CHECK(it->saveTo.empty());
}

TEST_CASE("the scope of cached parts holds the weights version and an isolated customer")
{
    Site site;
    deployment::Customer customer;
    customer.name = "walled";
    customer.isolated = true;
    Servers servers;
    site.list(servers, 1, 4, at(0));
    PickRequest request = site.request(at(1));
    const auto open = gateway::pick(servers, request, at(1));
    request.customer = &customer;
    const auto walled = gateway::pick(servers, request, at(1));
    REQUIRE(open);
    REQUIRE(walled);
    CHECK(open->weights == 4U);
    CHECK(open->cacheScope == "v4");
    CHECK(walled->cacheScope == "v4/walled");
}

TEST_CASE("old weights are used only as long as they may be")
{
    Site site;
    Servers servers;
    servers.weightsTime = std::chrono::seconds(6);
    takeCatalogue(servers, named(1), at(0));
    site.list(servers, 2, 1, at(0));
    takeCatalogue(servers, named(2), at(1000));
    CHECK(gateway::pick(servers, site.request(at(1500)), at(1500)));
    CHECK(gateway::pick(servers, site.request(at(4000)), at(4000)));
    CHECK_FALSE(gateway::pick(servers, site.request(at(5000)), at(5000)));
    SUBCASE("a version named later does not make them young again")
    {
        takeCatalogue(servers, named(3), at(4900));
        CHECK_FALSE(gateway::pick(servers, site.request(at(5000)), at(5000)));
    }
    SUBCASE("a server that loaded the new ones is used")
    {
        const auto catalogue = named(2);
        catalogue->serverWeights["e1@0/m"] = {"e1@0", model, 2, false};
        takeCatalogue(servers, catalogue, at(5000));
        const auto it = gateway::pick(servers, site.request(at(5100)), at(5100));
        REQUIRE(it);
        CHECK(it->serverId == "e1");
        CHECK(it->weights == 2U);
    }
}

TEST_CASE("a server that is to load, leaves, or was moved gets nothing")
{
    Site site;
    Servers servers;
    site.list(servers, 1, 1, at(0));
    SUBCASE("loading")
    {
        const auto catalogue = named(2);
        catalogue->serverWeights["e0@0/m"] = {"e0@0", model, 1, true};
        takeCatalogue(servers, catalogue, at(1));
    }
    SUBCASE("leaving")
    {
        auto leaving = server("e0", "engines", 1);
        leaving.isLeaving = true;
        takeList(servers, {leaving}, at(1));
    }
    SUBCASE("moved")
    {
        const auto it = gateway::pick(servers, site.request(at(1)), at(1));
        REQUIRE(it);
        noteMoved(servers, *it);
    }
    SUBCASE("gone")
    {
        takeList(servers, {}, at(1));
    }
    CHECK_FALSE(gateway::pick(servers, site.request(at(2)), at(2)));
}

TEST_CASE("plain requests go to the server with the most free places")
{
    Site site;
    site.route.services = {{"app", 1}};
    site.head.prompt.clear();
    Servers servers;
    takeList(servers, {server("a", "app", 0), server("b", "app", 0)}, at(0));
    std::map<std::string, int> counts;
    for (int n = 0; n < 10; ++n) {
        site.head.requestId = std::to_string(n);
        const auto it = gateway::pick(servers, site.request(at(n)), at(n));
        REQUIRE(it);
        ++counts[it->serverId];
    }
    CHECK(counts["a"] == 5);
    CHECK(counts["b"] == 5);
}

TEST_CASE("a request is not sent to a server that it was sent to before")
{
    Site site;
    Servers servers;
    site.list(servers, 2, 1, at(0));
    PickRequest request = site.request(at(1));
    const auto first = gateway::pick(servers, request, at(1));
    REQUIRE(first);
    request.tried = {first->start};
    const auto second = gateway::pick(servers, request, at(1));
    REQUIRE(second);
    CHECK(second->start != first->start);
    request.tried.insert(second->start);
    CHECK_FALSE(canPick(servers, request, at(1)));
}
