// Shared prompts on their way to the store: which requests wait for the reader, and which servers
// read the prompt again.

#include "enginefixture.h"
#include "peerupdate.h"

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>

using namespace gatewaytest;

namespace {

/// Two instances that know three engines and a store.
struct InstancePair
{
    InstancePair()
    {
        for (Servers *it : {&here, &there}) {
            setStoreReachable(*it, "127.0.0.2:1", true);
            fixture.list(*it, 3, 1, at(0));
        }
    }

    Pick pick(Servers &servers, TimePoint now)
    {
        fixture.head.requestId = "r" + std::to_string(++requests);
        fixture.head.prompt.back().id = fixture.head.requestId;
        const auto result = gateway::pick(servers, fixture.request(now), now);
        REQUIRE(result);
        return *result;
    }

    /// Sends the unreported data of one instance to the other.
    void sendUpdate(TimePoint now)
    {
        for (const PeerUpdate &it : decoded(takeUpdate(here, "here")))
            applyPeerUpdate(there, it, now);
    }

    /// Reports a backlog of other instances at the server: two seconds of prefill.
    void makeBusy(const Pick &pick, TimePoint now, std::int64_t tokens = 100'000)
    {
        setBacklogOfOthers(there, backlogKey(pick.start), tokens, {}, now);
    }

    EngineFixture fixture;
    Servers here;
    Servers there;
    int requests = 0;
};

} // namespace

TEST_CASE("a request waits for the server that reads its shared part, unless another can fetch it")
{
    InstancePair pair;
    const Pick first = pair.pick(pair.here, at(1));
    REQUIRE_FALSE(first.saveTo.empty());
    pair.sendUpdate(at(2));
    pair.makeBusy(first, at(2));
    SUBCASE("while a prompt is being read, a busy reader is better than reading it twice")
    {
        const Pick second = pair.pick(pair.there, at(3));
        CHECK(second.start == first.start);
        CHECK(second.saveTo.empty());
        CHECK(second.reason.find("beingRead") != std::string::npos);
    }
    SUBCASE("a reader that would take up the time to the deadline is not waited for")
    {
        pair.makeBusy(first, at(2), 1'000'000);
        CHECK(pair.pick(pair.there, at(3)).start != first.start);
    }
    SUBCASE("an idle server fetches a prompt that is in the store")
    {
        recordFirstToken(pair.here, first, at(300));
        recordAttemptEnd(pair.here, first, AttemptEnd::Answered, at(400));
        pair.sendUpdate(at(400));
        pair.makeBusy(first, at(400));
        const Pick second = pair.pick(pair.there, at(401));
        CHECK(second.start != first.start);
        CHECK_FALSE(second.fetchFrom.empty());
        CHECK(second.saveTo.empty());
    }
    SUBCASE("if the reader fails, another server reads the prompt and saves it")
    {
        recordAttemptEnd(pair.here, first, AttemptEnd::Cut, at(300));
        pair.sendUpdate(at(300));
        pair.makeBusy(first, at(300));
        const Pick second = pair.pick(pair.there, at(301));
        CHECK(second.start != first.start);
        CHECK_FALSE(second.saveTo.empty());
    }
    SUBCASE("a reader that departed is not waited for")
    {
        applyList(pair.there, {}, at(300));
        applyList(pair.there, {server("z", "engines", 1)}, at(301));
        const Pick second = pair.pick(pair.there, at(302));
        CHECK(second.start != first.start);
        CHECK_FALSE(second.saveTo.empty());
    }
}

TEST_CASE("an answer that is cut after its first token leaves the prompt in the store")
{
    InstancePair pair;
    const Pick first = pair.pick(pair.here, at(1));
    recordFirstToken(pair.here, first, at(300));
    recordAttemptEnd(pair.here, first, AttemptEnd::Cut, at(310));
    CHECK(pair.pick(pair.here, at(320)).saveTo.empty());
}

TEST_CASE("prompts are spread over all stores, and all instances look for a prompt in the same one")
{
    InstancePair pair;
    std::set<std::string> addresses = {"127.0.0.2:1"};
    for (const char *it : {"127.0.0.3:1", "127.0.0.4:1"}) {
        deployment::Service store = pair.fixture.plan.services.at("store");
        store.store->address = it;
        pair.fixture.plan.services[it] = store;
        addresses.insert(it);
        for (Servers *servers : {&pair.here, &pair.there})
            setStoreReachable(*servers, it, true);
    }
    std::map<std::string, int> prompts;
    for (int n = 0; n < 300; ++n) {
        pair.fixture.head.prompt.front().id = "p" + std::to_string(n);
        // An engine that read a prompt at once would not need a store.
        const Pick saved = pair.pick(pair.here, at(n * 150));
        REQUIRE(addresses.count(saved.saveTo) == 1);
        ++prompts[saved.saveTo];
        recordFirstToken(pair.here, saved, at(n * 150 + 140));
        recordAttemptEnd(pair.here, saved, AttemptEnd::Answered, at(n * 150 + 148));
        pair.sendUpdate(at(n * 150 + 148));
    }
    for (const std::string &it : addresses)
        CHECK(prompts[it] > 60);
    for (int n = 0; n < 300; ++n) {
        pair.fixture.head.prompt.front().id = "p" + std::to_string(n);
        const Pick fetched = pair.pick(pair.there, at(300 * 150));
        CHECK(fetched.saveTo.empty());
        recordAttemptEnd(pair.there, fetched, AttemptEnd::Answered, at(300 * 150));
    }
    SUBCASE("prompts of a lost store are saved in another store")
    {
        setStoreReachable(pair.there, "127.0.0.3:1", false);
        int savedAgain = 0;
        for (int n = 0; n < 300; ++n) {
            pair.fixture.head.prompt.front().id = "p" + std::to_string(n);
            const Pick pick = pair.pick(pair.there, at(301 * 150));
            CHECK(pick.saveTo != "127.0.0.3:1");
            CHECK(pick.fetchFrom != "127.0.0.3:1");
            savedAgain += pick.saveTo.empty() ? 0 : 1;
            recordAttemptEnd(pair.there, pick, AttemptEnd::Answered, at(301 * 150));
        }
        CHECK(savedAgain <= prompts["127.0.0.3:1"]);
    }
}

TEST_CASE("a malformed event is rejected with the name of its sender")
{
    const auto resultOf = [](const std::string &bytes) {
        return orElse(
            [&]() -> Result<std::string> {
                BOOST_LEAF_CHECK(decodeEvent(bytes, "peer"));
                return std::string("understood");
            },
            [](const Error &error) {
                return error.peer;
            });
    };
    InstancePair pair;
    pair.pick(pair.here, at(1));
    const std::string good = encodeEvents(takeUpdate(pair.here, "here")).front().bytes;
    CHECK(resultOf(good) == "understood");
    for (std::size_t n = 0; n < good.size(); ++n)
        CHECK(resultOf(good.substr(0, n)) == "peer");
    // A flipped byte yields an error or another well-formed update, but never a crash.
    for (std::size_t n = 0; n < good.size(); ++n) {
        for (const int change : {1, 0x20, 0x80}) {
            std::string bytes = good;
            bytes[n] = static_cast<char>(bytes[n] ^ change);
            const std::string result = resultOf(bytes);
            CHECK((result == "peer" || result == "understood"));
        }
    }
}

TEST_CASE("a placement that was reported is not reported again at once")
{
    InstancePair pair;
    const Pick first = pair.pick(pair.here, at(1));
    CHECK(takeUpdate(pair.here, "here").prompts.size() == 1);
    recordFirstToken(pair.here, first, at(300));
    recordAttemptEnd(pair.here, first, AttemptEnd::Answered, at(400));
    pair.pick(pair.here, at(500));
    CHECK(takeUpdate(pair.here, "here").prompts.empty());
    // The others would forget it after some time.
    pair.pick(pair.here, at(4'000));
    CHECK(takeUpdate(pair.here, "here").prompts.size() == 1);
}

TEST_CASE("prompts with a common first part are placed and stored by their last shared part")
{
    InstancePair pair;
    pair.fixture.list(pair.here, 3, 1, at(0));
    std::set<std::uint64_t> saved;
    std::set<std::string> starts;
    for (int n = 0; n < 12; ++n) {
        pair.fixture.head.promptTokens = 14'000;
        pair.fixture.head.prompt = {
            {"common", 800}, {"topic" + std::to_string(n), 12'000}, {"own", 1'200}};
        const Pick pick = pair.pick(pair.here, at(n * 400));
        CHECK_FALSE(pick.saveTo.empty());
        saved.insert(pick.savedBlock);
        starts.insert(pick.start);
        recordFirstToken(pair.here, pick, at(n * 400 + 260));
        recordAttemptEnd(pair.here, pick, AttemptEnd::Answered, at(n * 400 + 300));
    }
    CHECK(saved.size() == 12);
    CHECK(starts.size() > 1);
    // The same topic again is in the store, whatever follows it.
    pair.fixture.head.prompt[1].id = "topic3";
    const Pick again = pair.pick(pair.here, at(6'000));
    CHECK(again.saveTo.empty());
    CHECK_FALSE(again.fetchFrom.empty());
}

TEST_CASE("what a server may have evicted is fetched again rather than read")
{
    InstancePair pair;
    const Pick first = pair.pick(pair.here, at(1));
    recordFirstToken(pair.here, first, at(300));
    recordAttemptEnd(pair.here, first, AttemptEnd::Answered, at(400));
    const Pick second = pair.pick(pair.here, at(500));
    CHECK(second.start == first.start);
    CHECK(second.fetchFrom == first.saveTo);
    CHECK(second.saveTo.empty());
}

TEST_CASE("a short shared part is stored if its tokens are cheap to move, and else left alone")
{
    for (const std::uint64_t tokenBytes : {18'432U, 3'276'800U}) {
        CAPTURE(tokenBytes);
        InstancePair pair;
        pair.fixture.plan.services["engines"].engine->tokenBytes = tokenBytes;
        pair.fixture.head.promptTokens = 2'400;
        pair.fixture.head.prompt = {{"shared", 568}, {"own", 1'832}};
        CHECK(pair.pick(pair.here, at(1)).saveTo.empty() == (tokenBytes > 100'000));
        // One that is read within a step of the engine is not worth being told to others.
        pair.fixture.head.prompt.front() = {"short", 60};
        takeUpdate(pair.here, "here");
        CHECK(pair.pick(pair.here, at(2)).saveTo.empty());
        CHECK(takeUpdate(pair.here, "here").prompts.empty());
    }
}
