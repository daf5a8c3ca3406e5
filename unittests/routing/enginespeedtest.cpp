#include "fixture.h"

#include "kumquathaven/base/hash.h"
#include "kumquathaven/routing/enginespeed.h"

#include <doctest/doctest.h>

#include <cmath>
#include <random>

using namespace routingtest;

namespace {

/// Records pauses of an engine that computes prompts for the share \p prefillShare of its time.
/// Pauses between chunks are long while it does, and \p decodeSeconds otherwise.
void recordPauses(UpstreamView &view, double decodeSeconds, double prefillShare,
                  std::mt19937 &random, int chunks = 64)
{
    constexpr double prefillPause = 0.34;
    const double prefillRate = prefillShare / prefillPause;
    const double decodeRate = (1 - prefillShare) / decodeSeconds;
    std::bernoulli_distribution isPrefill(prefillRate / (prefillRate + decodeRate));
    std::uniform_real_distribution<double> jitter(0.95, 1.15);
    for (int n = 0; n < chunks; ++n) {
        const double pause = isPrefill(random) ? prefillPause : decodeSeconds;
        recordPause(view.engineSpeed, fromSeconds(pause * jitter(random)));
    }
}

} // namespace

TEST_CASE("the speed of an engine is estimated from its pauses, whatever its share of prefill")
{
    std::mt19937 random(1);
    Engines t(3);
    recordPauses(t.fleet.upstreams[0], 0.0116, 0.9, random);
    recordPauses(t.fleet.upstreams[1], 0.0185, 0.5, random);
    recordPauses(t.fleet.upstreams[2], 0.0308, 0.0, random);
    updateSpeedSteps(t.fleet, t.now + seconds(1));
    const double fast = prefillSpeed(t.fleet, 0);
    const double slow = prefillSpeed(t.fleet, 2);
    CHECK(std::abs(std::log2(fast / slow) - std::log2(0.0308 / 0.0116)) < 0.26);
    CHECK(prefillSpeed(t.fleet, 1) < fast);
    CHECK(prefillSpeed(t.fleet, 1) > slow);
}

TEST_CASE("an engine with few samples counts as one of mean speed")
{
    std::mt19937 random(1);
    Engines t(2);
    recordPauses(t.fleet.upstreams[0], 0.02, 0, random);
    recordPauses(t.fleet.upstreams[1], 0.04, 0, random, 3);
    updateSpeedSteps(t.fleet, t.now + seconds(1));
    CHECK_FALSE(t.fleet.upstreams[1].engineSpeed.speedStep);
    CHECK(relativeSpeed(t.fleet.upstreams[1].engineSpeed) == 1);
    CHECK(prefillSpeed(t.fleet, 0) == doctest::Approx(t.fleet.policy.initialPrefillSpeed));
}

TEST_CASE("small differences between measurements do not change the speed step")
{
    std::mt19937 random(1);
    Engines t(2);
    int changes = 0;
    std::optional<int> before;
    for (int n = 0; n < 200; ++n) {
        t.now += seconds(1);
        // The speeds lie between two steps, where rounding without hysteresis would change the step
        // all the time.
        recordPauses(t.fleet.upstreams[0], 0.02, 0.3, random, 16);
        recordPauses(t.fleet.upstreams[1], 0.02 * std::exp2(0.25), 0.3, random, 16);
        updateSpeedSteps(t.fleet, t.now);
        const std::optional<int> step = t.fleet.upstreams[1].engineSpeed.speedStep;
        changes += before && step != before ? 1 : 0;
        before = step;
    }
    CHECK(changes <= 2);
}

TEST_CASE("an engine that becomes slow is detected as slow")
{
    std::mt19937 random(1);
    Engines t(2);
    for (const Slot it : {Slot(0), Slot(1)})
        recordPauses(t.fleet.upstreams[it], 0.02, 0, random);
    updateSpeedSteps(t.fleet, t.now + seconds(1));
    CHECK(prefillSpeed(t.fleet, 0) == doctest::Approx(prefillSpeed(t.fleet, 1)));
    recordPauses(t.fleet.upstreams[1], 0.08, 0, random);
    updateSpeedSteps(t.fleet, t.now + seconds(2));
    CHECK(prefillSpeed(t.fleet, 0) > 3 * prefillSpeed(t.fleet, 1));
}

TEST_CASE("more prompts are placed on faster engines, in proportion to their speed")
{
    std::mt19937 random(1);
    Engines t(2);
    recordPauses(t.fleet.upstreams[0], 0.01, 0, random);
    recordPauses(t.fleet.upstreams[1], 0.03, 0, random);
    updateSpeedSteps(t.fleet, t.now + seconds(1));
    int atFast = 0;
    constexpr int keys = 4000;
    for (std::uint64_t key = 0; key < keys; ++key)
        atFast += placementRank(t.fleet, stableHash(std::to_string(key)), 0)
                > placementRank(t.fleet, stableHash(std::to_string(key)), 1)
            ? 1
            : 0;
    CHECK(atFast > keys * 0.70);
    CHECK(atFast < keys * 0.80);
}

TEST_CASE("an engine that takes the slot of one that left starts with an unknown speed")
{
    std::mt19937 random(1);
    Engines t(2);
    recordPauses(t.fleet.upstreams[0], 0.01, 0, random);
    recordPauses(t.fleet.upstreams[1], 0.04, 0, random);
    updateSpeedSteps(t.fleet, t.now + seconds(1));
    removeUpstream(t.fleet, "e1");
    const Slot slot = addUpstream(t.fleet, "e2", "m", "1", t.now + seconds(2));
    REQUIRE(slot == 1);
    CHECK_FALSE(t.fleet.upstreams[slot].engineSpeed.speedStep);
    CHECK_FALSE(decodePause(t.fleet.upstreams[slot].engineSpeed));
    CHECK(relativeSpeed(t.fleet.upstreams[slot].engineSpeed) == 1);
}

TEST_CASE("waits for requests of other instances do not make all engines count as slow")
{
    std::mt19937 random(1);
    Engines t(4);
    for (UpstreamView &it : t.fleet.upstreams)
        recordPauses(it, 0.0185, 0, random);
    t.now += seconds(1);
    updateSpeedSteps(t.fleet, t.now);
    constexpr std::uint32_t tokens = 16'000;
    constexpr double tokensPerSecond = 64'000;
    // Two of five prompts wait for one or two prompts of other instances, which this instance does
    // not know of.
    for (std::size_t n = 0; n < 60; ++n) {
        const std::size_t hidden = n % 5 == 0 ? 2 : n % 5 == 1 ? 1 : 0;
        const Slot slot = static_cast<Slot>(n % t.fleet.upstreams.size());
        const PrefixChain chain({}, {{std::to_string(n), tokens}}, 512);
        const auto ticket = recordSent(t.fleet, slot, chain, tokens, milliseconds(250), t.now);
        t.now += fromSeconds(static_cast<double>((1 + hidden) * tokens) / tokensPerSecond);
        recordFirstToken(t.fleet, slot, ticket, t.now);
        recordFinished(t.fleet, slot, ticket, -1, t.now);
    }
    updateSpeedSteps(t.fleet, t.now + seconds(1));
    CHECK(prefillSpeed(t.fleet, 0) > 0.9 * tokensPerSecond);
    CHECK(prefillSpeed(t.fleet, 0) < 1.1 * tokensPerSecond);
}
