#include "fixture.h"

#include "kumquathaven/base/hash.h"

#include "kumquathaven/routing/baselines.h"

#include <doctest/doctest.h>

#include <map>

using namespace routingtest;

namespace {

constexpr std::size_t longPrompt = 60;

Policy slowPolicy()
{
    Policy policy;
    policy.initialPrefillSpeed = 100;
    policy.initialMissing = 20;
    return policy;
}

/// Removes all holders of a prompt's blocks except \p holder, as if the other upstreams did not
/// keep the blocks that were sent to them.
void removeOtherHolders(Engines &t, const PrefixChain &prompt, Slot holder)
{
    for (Slot slot = 0; slot < t.fleet.upstreams.size(); ++slot) {
        if (slot == holder)
            continue;
        for (const BlockHash it : prompt.blocks())
            t.fleet.index.removeHolder(it, slot);
    }
}

} // namespace

TEST_CASE("requests with a long prefix are sent to the upstream that caches it")
{
    const PrefixChain prompt = chain(longPrompt);
    for (Slot holder = 0; holder < 6; ++holder) {
        Engines t(6, slowPolicy());
        t.event(holder, 1, true, prompt);
        const auto choice = choose(t.fleet, t.request(prompt), t.now);
        REQUIRE(choice);
        CHECK(choice->slot == holder);
        CHECK(choice->reason == ChoiceReason::Cached);
        CHECK(choice->expectedCachedTokens == 240);
        CHECK(describe(*choice).rfind("cached; cached=240; of=240", 0) == 0);
    }
}

TEST_CASE("a hot prefix is spread when waiting costs more than computing")
{
    const PrefixChain prompt = chain(longPrompt);
    Engines t(4, slowPolicy());
    t.event(2, 1, true, prompt);
    t.report(2, 40);
    CHECK(choose(t.fleet, t.request(prompt), t.now)->slot == 2);
    t.report(2, 4000);
    const auto choice = choose(t.fleet, t.request(prompt), t.now);
    CHECK(choice->slot != 2);
    CHECK(choice->reason == ChoiceReason::Spread);
    CHECK(choice->maxCachedTokens == 240);
}

TEST_CASE("spreading has a price that only a long wait at the holder exceeds")
{
    Policy policy = slowPolicy();
    policy.spreadPriceTokens = 100;
    Engines t(2, policy);
    t.fleet.spreadTokens = 0;
    const PrefixChain prompt = chain(longPrompt);
    t.event(1, 1, true, prompt);
    const auto spreads = [&](std::uint32_t waitingAtHolder) {
        int spread = 0;
        for (int n = 0; n < 30; ++n) {
            removeOtherHolders(t, prompt, 1);
            t.now += seconds(60);
            t.report(0, 0);
            t.report(1, waitingAtHolder);
            const Request request = t.request(prompt);
            const auto choice = choose(t.fleet, request, t.now);
            spread += choice->reason == ChoiceReason::Spread ? 1 : 0;
            commit(t.fleet, request, *choice, t.now);
        }
        return spread;
    };
    const int soon = spreads(1000);
    CHECK(soon >= 1);
    CHECK(soon <= 10);
    CHECK(spreads(1000) <= 3);
    CHECK(spreads(10000) >= 2);
}

TEST_CASE("spreading stays within its budget")
{
    Policy policy = slowPolicy();
    policy.spreadReserve = 500;
    Engines t(4, policy);
    const PrefixChain prompt = chain(longPrompt);
    t.event(2, 1, true, prompt);
    int spread = 0;
    for (int n = 0; n < 50; ++n) {
        removeOtherHolders(t, prompt, 2);
        t.now += seconds(60);
        for (Slot slot = 0; slot < 4; ++slot)
            t.report(slot, slot == 2 ? 400000 : 0);
        const Request request = t.request(prompt);
        const auto choice = choose(t.fleet, request, t.now);
        spread += choice->reason == ChoiceReason::Spread ? 1 : 0;
        commit(t.fleet, request, *choice, t.now);
    }
    CHECK(spread >= 2);
    CHECK(spread <= 5);
}

TEST_CASE("entries place a new prefix on the same upstream without communication")
{
    std::map<Slot, int> places;
    for (int n = 0; n < 60; ++n) {
        const PrefixChain prompt = chain(20, "c" + std::to_string(n));
        std::map<Slot, int> chosen;
        for (int entry = 0; entry < 8; ++entry) {
            Engines t(18, slowPolicy());
            t.fleet.entries = 8;
            // The view of each entry differs in one busy upstream.
            const auto busy = static_cast<Slot>((n + entry) % 18);
            t.report(busy, 1);
            t.event(busy, 1, true, chain(3, "other"));
            ++chosen[choose(t.fleet, t.request(prompt), t.now)->slot];
        }
        CHECK(chosen.size() == 1);
        ++places[chosen.begin()->first];
    }
    CHECK(places.size() >= 12);
}

TEST_CASE("a placement moves only when its upstream leaves")
{
    Engines t(6, slowPolicy());
    const Request request = t.request(chain(20));
    const Slot place = choose(t.fleet, request, t.now)->slot;
    const Slot other = place == 0 ? 1 : 0;
    t.fleet.upstreams[other].leaving = true;
    CHECK(choose(t.fleet, request, t.now)->slot == place);
    t.fleet.upstreams[place].leaving = true;
    CHECK(choose(t.fleet, request, t.now)->slot != place);
}

TEST_CASE("the store is used where importing is faster than computing, and is never required")
{
    const PrefixChain prompt = chain(longPrompt);
    Engines t(3, slowPolicy());
    Request request = t.request(prompt);
    request.store = StoreView();
    request.store->storedTokens = {240};
    request.store->importTokensPerSecond = 100000;
    auto choice = choose(t.fleet, request, t.now);
    CHECK(choice->reason == ChoiceReason::Import);
    CHECK(choice->importTokens > 200);
    request.store->importTokensPerSecond = 10;
    CHECK(choose(t.fleet, request, t.now)->reason != ChoiceReason::Import);
    request.store.reset();
    CHECK(choose(t.fleet, request, t.now).has_value());
}

TEST_CASE("two weights versions are never mixed")
{
    Engines t(2, slowPolicy());
    t.fleet.upstreams[1].weightsVersion = "2";
    const PrefixChain older = chain(longPrompt, "c", "1");
    const PrefixChain newer = chain(longPrompt, "c", "2");
    t.event(0, 1, true, older);
    // The upstream with version 2 still caches the blocks that it computed with version 1.
    t.event(1, 1, true, older);
    Request request = t.request(newer);
    auto choice = choose(t.fleet, request, t.now);
    REQUIRE(choice);
    CHECK(choice->slot == 1);
    CHECK(choice->expectedCachedTokens == 0);
    request.chains.push_back(older);
    choice = choose(t.fleet, request, t.now);
    CHECK(choice->slot == 0);
    CHECK(choice->weightsVersion == "1");
    CHECK(choice->expectedCachedTokens == 240);
}

TEST_CASE("an upstream that was tried is not chosen again, even if no other is left")
{
    Engines t(2, slowPolicy());
    Request request = t.request(chain(4));
    const Slot first = choose(t.fleet, request, t.now)->slot;
    request.tried.push_back(first);
    CHECK(choose(t.fleet, request, t.now)->slot != first);
    request.tried.push_back(1 - first);
    CHECK_FALSE(choose(t.fleet, request, t.now));
    Random random(1);
    CHECK_FALSE(chooseRandom(t.fleet, request, random));
    CHECK_FALSE(chooseLeastLoaded(t.fleet, request, random));
    CHECK_FALSE(choosePrefixHash(t.fleet, request, 3));
}

TEST_CASE("short prompts are distributed among idle engines, and not sent to a busy one")
{
    Engines t(8);
    t.report(3, 100'000);
    Request request = t.request(chain(0));
    REQUIRE(request.chains[0].blocks().empty());
    const auto slotFor = [&](std::optional<std::uint64_t> draw) {
        request.draw = draw;
        const auto choice = choose(t.fleet, request, t.now);
        REQUIRE(choice);
        return choice->slot;
    };
    std::map<Slot, int> chosen;
    for (std::uint64_t n = 0; n < 800; ++n)
        ++chosen[slotFor(stableHash(std::to_string(n)))];
    CHECK(chosen.size() == 7);
    CHECK(chosen.count(3) == 0);
    for (const auto &it : chosen)
        CHECK(it.second > 60);
    // Without a draw the choice is always the upstream with the lowest cost.
    CHECK(slotFor(std::nullopt) == slotFor(std::nullopt));
}
