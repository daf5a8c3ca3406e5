#include "fixture.h"

#include "kumquathaven/base/random.h"

#include <doctest/doctest.h>

#include <set>

using namespace routingtest;

TEST_CASE("another customer's, a dead engine's and other weights' blocks are never used")
{
    const PrefixChain mine = chain(4);
    Engines t(2);
    CHECK(t.event(0, 1, true, mine) == EventResult::Applied);
    REQUIRE(t.cached(0, mine) == 16);

    SUBCASE("another customer")
    {
        CHECK(t.cached(0, chain(4, "d")) == 0);
    }
    SUBCASE("a caller without a customer")
    {
        CHECK(t.cached(0, chain(4, "")) == 0);
    }
    SUBCASE("other weights")
    {
        CHECK(t.cached(0, chain(4, "c", "2")) == 0);
    }
    SUBCASE("another engine")
    {
        CHECK(t.cached(1, mine) == 0);
    }
    SUBCASE("a new incarnation reported in a load report")
    {
        t.report(0, 0, 78);
        CHECK(t.cached(0, mine) == 0);
    }
    SUBCASE("a new incarnation reported in an event stream")
    {
        recordStreamOpened(t.fleet, 0, 78, t.now);
        CHECK(t.cached(0, mine) == 0);
    }
    SUBCASE("a new incarnation reported in an answer")
    {
        CHECK(recordIncarnation(t.fleet, 0, 78, t.now));
        CHECK(t.cached(0, mine) == 0);
    }
    SUBCASE("events of the dead incarnation that arrive late")
    {
        t.report(0, 0, 78);
        CHECK(t.event(0, 2, true, mine) == EventResult::OtherIncarnation);
        CHECK(t.cached(0, mine) == 0);
    }
    SUBCASE("the same incarnation number after another one")
    {
        t.report(0, 0, 78);
        t.report(0, 0, incarnation);
        CHECK(t.cached(0, mine) == 0);
    }
    SUBCASE("a first token of a request to the dead incarnation")
    {
        const auto ticket = recordSent(t.fleet, 0, mine, 16, Duration(0), t.now);
        t.report(0, 0, 78);
        recordFirstToken(t.fleet, 0, ticket, t.now);
        recordFinished(t.fleet, 0, ticket, 16, t.now);
        CHECK(t.cached(0, mine) == 0);
    }
    SUBCASE("an upstream is removed, and another one gets its slot")
    {
        removeUpstream(t.fleet, "e0");
        CHECK(t.cached(0, mine) == 0);
        REQUIRE(addUpstream(t.fleet, "new", "m", "1", t.now) == 0);
        recordStreamOpened(t.fleet, 0, incarnation, t.now);
        CHECK(t.cached(0, mine) == 0);
    }
}

TEST_CASE("faults of an event stream make the view incomplete and never wrong")
{
    const PrefixChain prompt = chain(4);
    Engines t(1);
    CHECK(t.event(0, 1, true, prompt) == EventResult::Applied);
    CHECK(t.fleet.upstreams[0].knowledge == CacheKnowledge::Known);

    SUBCASE("a repeated event changes nothing")
    {
        CHECK(t.event(0, 2, false, prompt) == EventResult::Applied);
        CHECK(t.event(0, 1, true, prompt) == EventResult::Repeated);
        CHECK(t.cached(0, prompt) == 0);
    }
    SUBCASE("an estimate does not decay while the stream has no gap")
    {
        t.now += seconds(600);
        t.report(0, 0);
        CHECK(t.cached(0, prompt) == 16);
    }
    SUBCASE("an estimate decays after a gap")
    {
        CHECK(t.event(0, 2, true, chain(8, "x")) == EventResult::Applied);
        CHECK(t.event(0, 3, false, chain(4, "x")) == EventResult::Applied);
        CHECK(t.event(0, 5, true, chain(1, "y")) == EventResult::Gap);
        CHECK(t.fleet.upstreams[0].knowledge == CacheKnowledge::Unknown);
        const double atFirst = t.cached(0, prompt);
        CHECK(atFirst < 16);
        CHECK(atFirst > 8);
        t.now += seconds(60);
        t.report(0, 0);
        CHECK(t.cached(0, prompt) < atFirst / 4);
        CHECK(t.cached(0, chain(1, "y")) == 4);
    }
    SUBCASE("more gaps than are kept drop the estimate")
    {
        for (std::uint64_t n = 0; n <= t.fleet.policy.maxGaps; ++n)
            CHECK(t.event(0, 3 + 2 * n, true, chain(1, "y")) == EventResult::Gap);
        CHECK(t.cached(0, prompt) == 0);
    }
    SUBCASE("an estimate decays while the stream is lost, and recovers if no event is missing")
    {
        recordStreamLost(t.fleet, 0, t.now);
        t.now += t.fleet.policy.estimateHalfLife;
        t.report(0, 0);
        CHECK(t.cached(0, prompt) < 9);
        recordStreamOpened(t.fleet, 0, incarnation, t.now);
        CHECK(t.cached(0, prompt) == 16);
    }
    SUBCASE("an estimate decays while the upstream is silent")
    {
        t.now += t.fleet.policy.streamTimeout + t.fleet.policy.estimateHalfLife;
        CHECK(t.cached(0, prompt) < 9);
    }
    SUBCASE("a missing block ends the cached prefix")
    {
        PrefixChain second = chain(2);
        applyEvent(t.fleet, 0, {incarnation, 2, false, {second.blocks()[1]}}, t.now);
        CHECK(t.cached(0, prompt) == 4);
    }
}

TEST_CASE(
    "a block that was sent counts as cached until its first token, then decays without an event")
{
    const PrefixChain prompt = chain(4);
    Engines t(1);
    recordStreamLost(t.fleet, 0, t.now);
    const auto ticket = recordSent(t.fleet, 0, prompt, 16, seconds(5), t.now);
    t.now += seconds(5);
    CHECK(t.cached(0, prompt) == 16);
    recordFirstToken(t.fleet, 0, ticket, t.now);
    t.now += t.fleet.policy.estimateHalfLife;
    CHECK(t.cached(0, prompt) < 9);
}

TEST_CASE("an old load report is corrected by what was sent and computed since")
{
    Policy policy;
    policy.initialPrefillSpeed = 1000;
    Engines t(1, policy);
    t.report(0, 5000);
    CHECK(expectedQueue(t.fleet, 0, t.now).wait == seconds(5));
    t.now += seconds(1);
    CHECK(expectedQueue(t.fleet, 0, t.now).wait == seconds(4));
    recordSent(t.fleet, 0, chain(4), 2000, seconds(6), t.now);
    CHECK(expectedQueue(t.fleet, 0, t.now).wait == seconds(6));
    t.now += seconds(20);
    CHECK(expectedQueue(t.fleet, 0, t.now).wait == seconds(0));
    // An older report changes nothing.
    LoadReport old;
    old.incarnation = incarnation;
    old.measuredAt = t.now - seconds(30);
    old.waitingTokens = 90000;
    applyLoad(t.fleet, 0, old, t.now);
    CHECK(expectedQueue(t.fleet, 0, t.now).wait == seconds(0));
}

TEST_CASE("the prefill speed of each upstream is estimated")
{
    Engines t(2);
    for (int n = 0; n < 100; ++n) {
        for (const Slot slot : {Slot(0), Slot(1)}) {
            const auto ticket = recordSent(t.fleet, slot, chain(4), 3000, seconds(1), t.now);
            recordFirstToken(t.fleet, slot, ticket, t.now + milliseconds(slot == 0 ? 100 : 1000));
            recordFinished(t.fleet, slot, ticket, 0, t.now + seconds(2));
        }
        t.now += seconds(5);
        t.report(0, 0);
        t.report(1, 0);
    }
    CHECK(prefillSpeed(t.fleet, 0) > 20000);
    CHECK(prefillSpeed(t.fleet, 1) < 4500);
}

TEST_CASE("random histories never credit an engine with blocks that it does not cache")
{
    // Compares what the engine caches with the view, which must be exact until an event is lost.
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        Random random(seed);
        Engines t(1);
        std::set<char> held;
        std::uint64_t sequence = 0;
        std::uint64_t currentIncarnation = incarnation;
        bool lost = false;
        for (int step = 0; step < 60; ++step) {
            t.now += milliseconds(random.below(300));
            t.report(0, 0, currentIncarnation);
            const char first = static_cast<char>('a' + random.below(5));
            if (random.below(25) == 0) {
                ++currentIncarnation;
                held.clear();
                sequence = 0;
                lost = false;
                recordStreamOpened(t.fleet, 0, currentIncarnation, t.now);
                continue;
            }
            const bool stored = random.below(2) == 0;
            ++sequence;
            if (stored)
                held.insert(first);
            else
                held.erase(first);
            if (random.below(10) == 0) {
                lost = true;
                continue;
            }
            t.event(0, sequence, stored, chain(2, "c", "1", first), currentIncarnation);
            if (random.below(5) == 0)
                t.event(0, sequence, stored, chain(2, "c", "1", first), currentIncarnation);
            for (char it = 'a'; it < 'f'; ++it) {
                const double tokens = t.cached(0, chain(2, "c", "1", it));
                CAPTURE(seed);
                CAPTURE(step);
                if (held.count(it) == 0 && !lost)
                    CHECK(tokens == 0);
                if (held.count(it) > 0 && !lost)
                    CHECK(tokens == 8);
            }
        }
    }
}
