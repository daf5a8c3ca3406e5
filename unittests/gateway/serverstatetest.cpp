// What servers say about themselves: that they leave, and that they want no requests for a time.

#include "enginefixture.h"
#include "peerupdate.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace gatewaytest;
using std::chrono::seconds;

namespace {

/// An instance that knows some engines, and another one that receives its updates.
struct Instances
{
    explicit Instances(std::size_t engines)
        : engineCount(engines)
    {
        fixture.list(own, engines, 1, at(0));
        fixture.list(peer, engines, 1, at(0));
    }

    Pick pick(Servers &servers, TimePoint now)
    {
        const auto result = gateway::pick(servers, fixture.request(now), now);
        REQUIRE(result);
        return *result;
    }

    bool canPick(const Servers &servers, TimePoint now) const
    {
        return gateway::canPick(servers, fixture.request(now), now);
    }

    EngineFixture fixture;
    std::size_t engineCount;
    Servers own;
    Servers peer;
};

} // namespace

TEST_CASE("a server that says that it leaves gets no new requests, here and at peers")
{
    Instances t(4);
    const Pick leaving = t.pick(t.own, at(1));
    recordLeaving(t.own, leaving, at(2));
    recordAttemptEnd(t.own, leaving, AttemptEnd::Answered, at(3));
    for (const PeerUpdate &it : decoded(takeUpdate(t.own, "own")))
        applyPeerUpdate(t.peer, it, at(5));
    for (int n = 0; n < 20; ++n) {
        t.fixture.head.requestId = "r" + std::to_string(n);
        CHECK(t.pick(t.own, at(10 + n)).start != leaving.start);
        CHECK(t.pick(t.peer, at(10 + n)).start != leaving.start);
    }
}

TEST_CASE("a leaving server stays out of use when it leaves the list for a while")
{
    Instances t(1);
    const Pick leaving = t.pick(t.own, at(1));
    recordLeaving(t.own, leaving, at(2));
    applyList(t.own, {}, at(1'000));
    t.fixture.list(t.own, 1, 1, at(3'000));
    CHECK_FALSE(t.canPick(t.own, at(3'001)));
}

TEST_CASE("the next start of a server at the address of one that leaves is used")
{
    Instances t(1);
    recordLeaving(t.own, t.pick(t.own, at(1)), at(2));
    auto next = server("e0", "engines", 1);
    next.startedAt = 77;
    applyList(t.own, {next}, at(1'000));
    CHECK(t.pick(t.own, at(1'001)).start == "e0@77");
}

TEST_CASE("a server that asks for a pause gets no request of this instance until it ends")
{
    Instances t(2);
    const Pick paused = t.pick(t.own, at(0));
    recordPauseRequest(t.own, paused, milliseconds(2'000), at(0));
    recordAttemptEnd(t.own, paused, AttemptEnd::Refused, at(0));
    for (int n = 1; n < 2'000; n += 50)
        CHECK(t.pick(t.own, at(n)).start != paused.start);
    // The peer was asked for nothing.
    CHECK(t.canPick(t.peer, at(1)));
    bool isUsedAgain = false;
    for (int n = 0; n < 20; ++n) {
        t.fixture.head.requestId = "s" + std::to_string(n);
        isUsedAgain = isUsedAgain || t.pick(t.own, at(2'001 + n)).start == paused.start;
    }
    CHECK(isUsedAgain);
}

TEST_CASE("a shorter pause does not end a longer one")
{
    Instances t(1);
    const Pick paused = t.pick(t.own, at(0));
    recordPauseRequest(t.own, paused, milliseconds(2'000), at(0));
    recordPauseRequest(t.own, paused, milliseconds(100), at(1));
    CHECK_FALSE(t.canPick(t.own, at(1'999)));
    CHECK(t.canPick(t.own, at(2'000)));
}

TEST_CASE("requests whose only server asked for a pause learn when it ends")
{
    Instances t(1);
    const Pick paused = t.pick(t.own, at(0));
    CHECK_FALSE(timeToPauseEnd(t.own, t.fixture.request(at(0)), at(0)));
    recordPauseRequest(t.own, paused, milliseconds(1'500), at(0));
    CHECK_FALSE(t.canPick(t.own, at(500)));
    CHECK(timeToPauseEnd(t.own, t.fixture.request(at(500)), at(500)) == milliseconds(1'000));
    // A pause of a server that leaves will not end with a server in use.
    recordLeaving(t.own, paused, at(600));
    CHECK_FALSE(timeToPauseEnd(t.own, t.fixture.request(at(700)), at(700)));
}

TEST_CASE("of two entries for one start the first one counts")
{
    Servers servers;
    auto odd = server("e0", "engines", 1);
    odd.address.port = 9;
    applyList(servers, {server("e0", "engines", 1), odd}, at(0));
    CHECK(servers.known.size() == 1);
    CHECK(servers.known.begin()->second.listed.address.port == 1);
}
