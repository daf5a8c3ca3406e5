// A shared prompt on its way to the store: who waits for it, and who reads it again.

#include "enginesite.h"
#include "placementnews.h"

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>

using namespace gatewaytest;

namespace {

/// Two instances that know three engines and a store.
struct Pair
{
    Pair()
    {
        for (Servers *it : {&here, &there}) {
            noteStore(*it, "127.0.0.2:1", true);
            site.list(*it, 3, 1, at(0));
        }
    }

    Pick pick(Servers &servers, TimePoint now)
    {
        site.head.requestId = "r" + std::to_string(++requests);
        site.head.prompt.back().id = site.head.requestId;
        const auto result = gateway::pick(servers, site.request(now), now);
        REQUIRE(result);
        return *result;
    }

    /// What one instance has to tell reaches the other.
    void tell(TimePoint now) { takeNewsOf(there, "here", sent(now), now); }

    News sent(TimePoint now)
    {
        return orElse(
            [&] {
                return decodeNews(encodeNews(takeNews(here, now)), "here");
            },
            [](const Error &) {
                return News();
            });
    }

    /// Another instance has a server read prompts for two seconds.
    void makeBusy(const Pick &pick, TimePoint now)
    {
        noteBacklog(there, "third", {pick.start, 100'000}, now);
    }

    Site site;
    Servers here;
    Servers there;
    int requests = 0;
};

} // namespace

TEST_CASE(
    "a request waits for the server that reads its shared part, and not if another can fetch it")
{
    Pair pair;
    const Pick first = pair.pick(pair.here, at(1));
    REQUIRE_FALSE(first.saveTo.empty());
    pair.tell(at(2));
    pair.makeBusy(first, at(2));
    SUBCASE("while it is being read, a busy reader is better than reading it twice")
    {
        const Pick second = pair.pick(pair.there, at(3));
        CHECK(second.start == first.start);
        CHECK(second.saveTo.empty());
        CHECK(second.reason.find("beingRead") != std::string::npos);
    }
    SUBCASE("a reader that would take up the time to the deadline is not waited for")
    {
        noteBacklog(pair.there, "third", {first.start, 1'000'000}, at(2));
        CHECK(pair.pick(pair.there, at(3)).start != first.start);
    }
    SUBCASE("once the store has it, an idle server fetches it")
    {
        recordFirstToken(pair.here, first, at(300));
        noteEnd(pair.here, first, SendEnd::Answered, at(400));
        pair.tell(at(400));
        pair.makeBusy(first, at(400));
        const Pick second = pair.pick(pair.there, at(401));
        CHECK(second.start != first.start);
        CHECK_FALSE(second.fetchFrom.empty());
        CHECK(second.saveTo.empty());
    }
    SUBCASE("where nothing was read, another server reads it and has it stored")
    {
        noteEnd(pair.here, first, SendEnd::Cut, at(300));
        pair.tell(at(300));
        pair.makeBusy(first, at(300));
        const Pick second = pair.pick(pair.there, at(301));
        CHECK(second.start != first.start);
        CHECK_FALSE(second.saveTo.empty());
    }
    SUBCASE("a reader that is gone is not waited for")
    {
        takeList(pair.there, {}, at(300));
        takeList(pair.there, {server("z", "engines", 1)}, at(301));
        const Pick second = pair.pick(pair.there, at(302));
        CHECK(second.start != first.start);
        CHECK_FALSE(second.saveTo.empty());
    }
}

TEST_CASE("an answer that is cut after its first token leaves the prompt in the store")
{
    Pair pair;
    const Pick first = pair.pick(pair.here, at(1));
    recordFirstToken(pair.here, first, at(300));
    noteEnd(pair.here, first, SendEnd::Cut, at(310));
    CHECK(pair.pick(pair.here, at(320)).saveTo.empty());
}

TEST_CASE("prompts are spread over all stores, and all instances look for a prompt in the same one")
{
    Pair pair;
    std::set<std::string> addresses = {"127.0.0.2:1"};
    for (const char *it : {"127.0.0.3:1", "127.0.0.4:1"}) {
        deployment::Service store = pair.site.plan.services.at("store");
        store.store->address = it;
        pair.site.plan.services[it] = store;
        addresses.insert(it);
        for (Servers *servers : {&pair.here, &pair.there})
            noteStore(*servers, it, true);
    }
    std::map<std::string, int> prompts;
    for (int n = 0; n < 300; ++n) {
        pair.site.head.prompt.front().id = "p" + std::to_string(n);
        const Pick saved = pair.pick(pair.here, at(n));
        REQUIRE(addresses.count(saved.saveTo) == 1);
        ++prompts[saved.saveTo];
        recordFirstToken(pair.here, saved, at(n));
        noteEnd(pair.here, saved, SendEnd::Answered, at(n));
        pair.tell(at(n));
    }
    for (const std::string &it : addresses)
        CHECK(prompts[it] > 60);
    for (int n = 0; n < 300; ++n) {
        pair.site.head.prompt.front().id = "p" + std::to_string(n);
        const Pick fetched = pair.pick(pair.there, at(400));
        CHECK(fetched.saveTo.empty());
        noteEnd(pair.there, fetched, SendEnd::Answered, at(400));
    }
    SUBCASE("what a lost store kept is kept by another one from then on")
    {
        noteStore(pair.there, "127.0.0.3:1", false);
        int savedAgain = 0;
        for (int n = 0; n < 300; ++n) {
            pair.site.head.prompt.front().id = "p" + std::to_string(n);
            const Pick pick = pair.pick(pair.there, at(500));
            CHECK(pick.saveTo != "127.0.0.3:1");
            CHECK(pick.fetchFrom != "127.0.0.3:1");
            savedAgain += pick.saveTo.empty() ? 0 : 1;
            noteEnd(pair.there, pick, SendEnd::Answered, at(500));
        }
        CHECK(savedAgain <= prompts["127.0.0.3:1"]);
    }
}

TEST_CASE("news that are not understood are refused, and name who sent them")
{
    const auto decoded = [](std::string bytes) {
        return orElse(
            [&]() -> Result<std::string> {
                BOOST_LEAF_CHECK(decodeNews(bytes, "peer"));
                return std::string("understood");
            },
            [](const Error &error) {
                return error.peer;
            });
    };
    Pair pair;
    pair.pick(pair.here, at(1));
    const std::string good = encodeNews(takeNews(pair.here, at(2)));
    CHECK(decoded(good) == "understood");
    for (std::size_t n = 0; n < good.size(); ++n)
        CHECK(decoded(good.substr(0, n)) == "peer");
    // Any byte may be another one; what is still well formed is news.
    for (std::size_t n = 0; n < good.size(); ++n) {
        for (const int change : {1, 0x20, 0x80}) {
            std::string bytes = good;
            bytes[n] = static_cast<char>(bytes[n] ^ change);
            const std::string result = decoded(bytes);
            CHECK((result == "peer" || result == "understood"));
        }
    }
}
