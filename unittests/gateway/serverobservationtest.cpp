// Observations of servers that one instance makes and its peers apply.

#include "enginefixture.h"
#include "peerupdate.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace gatewaytest;
using std::chrono::seconds;

namespace {

/// Three instances that know eight engines. In the tests, the engine that all choose first fails.
struct Instances
{
    Instances()
    {
        for (Servers &it : all)
            fixture.list(it, 8, 1, at(0));
    }

    Pick pick(Servers &servers, TimePoint now)
    {
        const auto result = gateway::pick(servers, fixture.request(now), now);
        REQUIRE(result);
        return *result;
    }

    /// Sends a request from instance \p n, ends the attempt as \p how, and sends the update to the
    /// other instances.
    Pick end(std::size_t n, AttemptEnd how, TimePoint now)
    {
        Pick sent = pick(all[n], now);
        recordAttemptEnd(all[n], sent, how, now);
        sendUpdate(n, now);
        return sent;
    }

    void sendUpdate(std::size_t n, TimePoint now)
    {
        for (const PeerUpdate &update : decoded(takeUpdate(all[n], std::to_string(n)))) {
            for (std::size_t it = 0; it < all.size(); ++it) {
                if (it != n)
                    applyPeerUpdate(all[it], update, now);
            }
        }
    }

    EngineFixture fixture;
    std::vector<Servers> all = std::vector<Servers>(3);
};

} // namespace

TEST_CASE("a server that refuses one instance gets no requests from its peers until the pause ends")
{
    Instances t;
    const Pick refused = t.end(0, AttemptEnd::Refused, at(1));
    CHECK(t.pick(t.all[0], at(2)).start != refused.start);
    CHECK(t.pick(t.all[1], at(2)).start != refused.start);
    CHECK(t.pick(t.all[2], at(300)).start == refused.start);
}

TEST_CASE("requests are sent to refusing servers if there are no others")
{
    Instances t;
    for (auto &it : t.all[1].known)
        applyObservation(t.all[1], "0", {it.first, ObservationKind::Refuses, {}, 0}, at(1));
    CHECK_FALSE(t.pick(t.all[1], at(2)).start.empty());
}

TEST_CASE("a server counts as unreachable once two instances report it")
{
    Instances t;
    const Pick first = t.end(0, AttemptEnd::NotConnected, at(1));
    // The observation of one instance is not enough, since its own link may be at fault.
    const Pick second = t.end(1, AttemptEnd::NotConnected, at(2));
    CHECK(second.start == first.start);
    CHECK(t.pick(t.all[2], at(3)).start != first.start);
}

TEST_CASE("repeated reports of one instance do not make a server unreachable")
{
    Instances t;
    const std::string start = t.pick(t.all[0], at(0)).start;
    for (int n = 0; n < 5; ++n)
        applyObservation(t.all[2], "0", {start, ObservationKind::Unreachable, {}, 0},
                         at(n * 1'100));
    CHECK(t.pick(t.all[2], at(5'000)).start == start);
    SUBCASE("reports of two instances that do not overlap in time")
    {
        applyObservation(t.all[2], "1", {start, ObservationKind::Unreachable, {}, 0}, at(6'000));
        CHECK(t.pick(t.all[2], at(6'001)).start == start);
    }
}

TEST_CASE("a weights version that one instance observes is sent to its peers")
{
    Instances t;
    const Pick sent = t.pick(t.all[0], at(1));
    CHECK(sent.weights == 1U);
    recordWeights(t.all[0], sent, model, 2);
    recordAttemptEnd(t.all[0], sent, AttemptEnd::Misdirected, at(1));
    t.sendUpdate(0, at(1));
    const auto versionAt = [&](Servers &servers) {
        return servers.fleet.upstreams[servers.known.at(sent.start).slot].weightsVersion;
    };
    CHECK(versionAt(t.all[0]) == "2");
    CHECK(versionAt(t.all[1]) == "2");
    // An observation is reported once, and not by the instances that received it.
    CHECK(takeUpdate(t.all[0], "0").observations.empty());
    CHECK(takeUpdate(t.all[1], "1").observations.empty());
    // An older version, an unknown model and an unknown server change nothing.
    applyObservation(t.all[1], "0", {sent.start, ObservationKind::Weights, model, 1}, at(2));
    applyObservation(t.all[1], "0", {sent.start, ObservationKind::Weights, "other", 9}, at(2));
    applyObservation(t.all[1], "0", {"unknown", ObservationKind::Weights, model, 9}, at(2));
    CHECK(versionAt(t.all[1]) == "2");
}
