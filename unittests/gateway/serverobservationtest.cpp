// What one instance finds of a server, and what the others do about it.

#include "enginefixture.h"
#include "peerupdate.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace gatewaytest;
using std::chrono::seconds;

namespace {

/// Three instances that know eight engines. The engine that all choose first is at fault.
struct Instances
{
    Instances()
    {
        for (Servers &it : all)
            site.list(it, 8, 1, at(0));
    }

    Pick pick(Servers &servers, TimePoint now)
    {
        const auto result = gateway::pick(servers, site.request(now), now);
        REQUIRE(result);
        return *result;
    }

    /// An instance sends a request, which ends so; the others are told.
    Pick end(std::size_t n, SendEnd how, TimePoint now)
    {
        Pick sent = pick(all[n], now);
        noteEnd(all[n], sent, how, now);
        tell(n, now);
        return sent;
    }

    void tell(std::size_t n, TimePoint now)
    {
        const PeerUpdate news = orElse(
            [&] {
                return decodePeerUpdate(encodePeerUpdate(takeNews(all[n], now)), "peer");
            },
            [](const Error &) {
                return PeerUpdate();
            });
        for (std::size_t it = 0; it < all.size(); ++it) {
            if (it != n)
                takeNewsOf(all[it], std::to_string(n), news, now);
        }
    }

    Site site;
    std::vector<Servers> all = std::vector<Servers>(3);
};

} // namespace

TEST_CASE("a server that refuses one instance gets no requests of the others for a while")
{
    Instances t;
    const Pick refused = t.end(0, SendEnd::Refused, at(1));
    CHECK(t.pick(t.all[0], at(2)).start != refused.start);
    CHECK(t.pick(t.all[1], at(2)).start != refused.start);
    CHECK(t.pick(t.all[2], at(300)).start == refused.start);
}

TEST_CASE("where all servers refuse, requests are sent all the same")
{
    Instances t;
    for (auto &it : t.all[1].known)
        noteFinding(t.all[1], "0", {it.first, FindingKind::Refuses, {}, 0}, at(1));
    CHECK_FALSE(t.pick(t.all[1], at(2)).start.empty());
}

TEST_CASE("a server is unreachable for all once two instances found it so")
{
    Instances t;
    const Pick first = t.end(0, SendEnd::NotConnected, at(1));
    // One alone may have a link that is at fault.
    const Pick second = t.end(1, SendEnd::NotConnected, at(2));
    CHECK(second.start == first.start);
    CHECK(t.pick(t.all[2], at(3)).start != first.start);
}

TEST_CASE(
    "an instance that finds a server unreachable again and again does not take it from others")
{
    Instances t;
    const std::string start = t.pick(t.all[0], at(0)).start;
    for (int n = 0; n < 5; ++n)
        noteFinding(t.all[2], "0", {start, FindingKind::Unreachable, {}, 0}, at(n * 1'100));
    CHECK(t.pick(t.all[2], at(5'000)).start == start);
    SUBCASE("nor do two that found it so at different times")
    {
        noteFinding(t.all[2], "1", {start, FindingKind::Unreachable, {}, 0}, at(6'000));
        CHECK(t.pick(t.all[2], at(6'001)).start == start);
    }
}

TEST_CASE("weights that one instance was shown are expected by the others")
{
    Instances t;
    const Pick sent = t.pick(t.all[0], at(1));
    CHECK(sent.weights == 1U);
    noteWeights(t.all[0], sent, model, 2);
    noteEnd(t.all[0], sent, SendEnd::Misdirected, at(1));
    t.tell(0, at(1));
    const auto versionAt = [&](Servers &servers) {
        return servers.fleet.upstreams[servers.known.at(sent.start).slot].weightsVersion;
    };
    CHECK(versionAt(t.all[0]) == "2");
    CHECK(versionAt(t.all[1]) == "2");
    // It is told once, and not told on.
    CHECK(takeNews(t.all[0], at(2)).findings.empty());
    CHECK(takeNews(t.all[1], at(2)).findings.empty());
    // What is older, or of a model or a server that is not known, changes nothing.
    noteFinding(t.all[1], "0", {sent.start, FindingKind::Weights, model, 1}, at(2));
    noteFinding(t.all[1], "0", {sent.start, FindingKind::Weights, "other", 9}, at(2));
    noteFinding(t.all[1], "0", {"unknown", FindingKind::Weights, model, 9}, at(2));
    CHECK(versionAt(t.all[1]) == "2");
}
