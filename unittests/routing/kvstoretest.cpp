#include "fixture.h"

#include "kumquathaven/routing/kvstore.h"

#include <doctest/doctest.h>

using namespace routingtest;

namespace {

constexpr std::size_t blocks = 60;
constexpr std::uint32_t promptTokens = blocks * blockTokens;

/// Two engines that compute 100 tokens per second, and a store that has every block of a prompt.
struct WithStore
{
    WithStore()
        : engines(2, slowPolicy())
    {
        useStore(store, "s", "127.0.0.1:1");
        recordStored(store, prompt.blocks(), blocks, engines.now);
    }

    static Policy slowPolicy()
    {
        Policy policy;
        policy.initialPrefillSpeed = 100;
        return policy;
    }

    Request request() const
    {
        Request request = engines.request(prompt);
        request.store = storeView(store, request.chains, engines.now);
        return request;
    }

    Choice choice() const { return *choose(engines.fleet, request(), engines.now); }

    /// Returns the import plan for the chosen engine, or nothing if the choice needs no import.
    std::optional<ImportPlan> plan(std::optional<TimePoint> deadline = {})
    {
        return planImport(store, engines.fleet, prompt, choice(), deadline, engines.now);
    }

    StoredPrefix stored() const { return storedPrefix(store, prompt, engines.now); }

    /// Counts \p times uses of the prompt's blocks, one per second, as commit() does.
    void use(int times)
    {
        for (int n = 0; n < times; ++n) {
            engines.now += seconds(1);
            engines.report(0, 0);
            for (const BlockHash it : prompt.blocks())
                engines.fleet.index.countUse(it, engines.now);
        }
    }

    Engines engines;
    PrefixChain prompt = chain(blocks);
    KvStore store;
};

} // namespace

TEST_CASE("the store's blocks of another customer, other weights or another store are not used")
{
    WithStore t;
    CHECK(t.stored().blocks == blocks);
    CHECK(storedPrefix(t.store, chain(blocks, "other"), t.engines.now).blocks == 0);
    CHECK(storedPrefix(t.store, chain(blocks, "c", "2"), t.engines.now).blocks == 0);
    const PrefixChain adapter({"c", "m", "a", "1"}, text(blocks), blockTokens);
    CHECK(storedPrefix(t.store, adapter, t.engines.now).blocks == 0);
    useStore(t.store, "s", "127.0.0.1:1");
    CHECK(t.stored().blocks == blocks);
    useStore(t.store, "s", "127.0.0.1:2");
    CHECK(t.stored().blocks == 0);
}

TEST_CASE("an import is planned only where it can be faster")
{
    struct Row
    {
        const char *name;
        bool hasStore;
        /// Age of the estimates, as a multiple of their half-life.
        int age;
        int failedProbes;
        double importingSeconds;
        std::size_t running;
        /// Time from now until which the running imports last, or imports are paused.
        Duration until;
        bool isPaused;
        bool imports;
    };
    const std::size_t maximum = KvStorePolicy().maxImports;
    const Row rows[] = {
        {"complete prompt", true, 0, 0, 0, 0, {}, false, true},
        {"no store", false, 0, 0, 0, 0, {}, false, false},
        {"old estimate", true, 3, 0, 0, 0, {}, false, false},
        {"one failure", true, 0, 1, 0, 0, {}, false, true},
        {"ejected store", true, 0, 2, 0, 0, {}, false, false},
        {"slow store", true, 0, 0, 10000, 0, {}, false, false},
        {"too many imports", true, 0, 0, 0, maximum, seconds(1), false, false},
        {"expired imports", true, 0, 0, 0, maximum, seconds(-5), false, true},
        {"engines that refused", true, 0, 0, 0, 0, seconds(1), true, false},
        {"engines that refused long ago", true, 0, 0, 0, 0, seconds(-1), true, true},
    };
    for (const Row &it : rows) {
        CAPTURE(it.name);
        WithStore t;
        if (!it.hasStore)
            useStore(t.store, "", "");
        t.engines.now += it.age * t.store.policy.estimateHalfLife;
        for (int n = 0; n < it.failedProbes; ++n)
            recordProbe(t.store, false, t.engines.now);
        t.store.importingSeconds = it.importingSeconds;
        t.store.sampledAt = t.engines.now;
        t.store.imports.resize(it.running, {100, 9, {}, t.engines.now + it.until});
        if (it.isPaused)
            t.store.paused[0] = t.store.paused[1] = t.engines.now + it.until;
        CHECK(t.plan().has_value() == it.imports);
    }
}

TEST_CASE(
    "an import is bounded by half of the compute time, half of the time left, and two seconds")
{
    WithStore t;
    CHECK(t.plan()->until - t.engines.now == fromSeconds(promptTokens / 100.0 / 2));
    WithStore urgent;
    CHECK(urgent.plan(urgent.engines.now + seconds(1))->until - urgent.engines.now
          == milliseconds(500));
    WithStore late;
    CHECK(!late.plan(late.engines.now));
    WithStore slow;
    slow.engines.fleet.policy.initialPrefillSpeed = 1;
    CHECK(slow.plan()->until - slow.engines.now == seconds(2));
}

TEST_CASE("each end of an import leaves the missing tokens to be computed")
{
    struct Row
    {
        ImportEnd end;
        std::size_t imported;
        bool paused;
        std::size_t stored;
    };
    const Row rows[] = {
        {ImportEnd::Whole, blocks, false, blocks},
        {ImportEnd::Part, 10, false, 10},
        {ImportEnd::Part, 0, false, 0},
        {ImportEnd::Refused, 0, true, blocks},
        {ImportEnd::Timeout, 0, true, blocks},
    };
    for (const Row &it : rows) {
        CAPTURE(nameOf(importEndNames, it.end));
        WithStore t;
        const Request request = t.request();
        const Choice choice = t.choice();
        const auto ticket = commit(t.engines.fleet, request, choice, t.engines.now);
        const auto plan = planImport(t.store, t.engines.fleet, t.prompt, choice, {}, t.engines.now);
        REQUIRE(plan);
        t.engines.now += milliseconds(100);
        recordImport(t.store, *plan, it.end, it.imported, t.engines.now);
        adjustAfterImport(t.engines.fleet, choice.slot, ticket,
                          static_cast<double>((blocks - it.imported) * blockTokens), t.engines.now);
        CHECK((t.store.paused.count(choice.slot) == 1) == it.paused);
        CHECK(t.stored().blocks == it.stored);
        CHECK(t.store.imports.empty());
        const Outstanding &sent = t.engines.fleet.upstreams[choice.slot].outstanding.front();
        CHECK(sent.sentAt == t.engines.now);
        CHECK(sent.missingTokens >= promptTokens - it.imported * blockTokens);
    }
}

TEST_CASE("requests for one engine wait for the running import")
{
    WithStore t;
    const Choice choice = t.choice();
    const auto first = planImport(t.store, t.engines.fleet, t.prompt, choice, {}, t.engines.now);
    const auto second = planImport(t.store, t.engines.fleet, t.prompt, choice, {}, t.engines.now);
    REQUIRE(second);
    CHECK(second->joins);
    CHECK(second->id == first->id);
    CHECK(second->until == first->until);
    Choice elsewhere = choice;
    elsewhere.slot = 1 - choice.slot;
    CHECK(!planImport(t.store, t.engines.fleet, t.prompt, elsewhere, {}, t.engines.now)->joins);
    recordImport(t.store, *first, ImportEnd::Whole, blocks, t.engines.now);
    Choice cached = choice;
    cached.importTokens = 0;
    CHECK(!planImport(t.store, t.engines.fleet, t.prompt, cached, {}, t.engines.now));
}

TEST_CASE("an import relieves a busy holder when the spreading budget is used up")
{
    WithStore t;
    t.engines.fleet.spreadTokens = -t.engines.fleet.policy.spreadReserve;
    t.engines.event(0, 1, true, t.prompt);
    t.engines.report(0, 40000);
    CHECK(t.choice().slot == 1);
    CHECK(t.choice().reason == ChoiceReason::Import);
}

TEST_CASE("nothing is imported while an idle engine caches the prompt")
{
    for (Slot holder = 0; holder < 2; ++holder) {
        WithStore t;
        t.engines.event(holder, 1, true, t.prompt);
        CHECK(t.choice().slot == holder);
        CHECK(t.choice().reason == ChoiceReason::Cached);
    }
}

TEST_CASE("only hot blocks that the engine caches are exported, and only once")
{
    constexpr std::size_t held = 50;
    WithStore t;
    useStore(t.store, "other", "127.0.0.1:2");
    t.engines.event(0, 1, true, chain(held));
    const auto wanted = [&] {
        return blocksToExport(t.store, t.engines.fleet, t.prompt, t.choice(), t.engines.now);
    };
    t.use(1);
    CHECK(wanted().empty());
    t.use(1);
    CHECK(wanted().size() == held);
    recordStored(t.store, t.prompt.blocks(), held, t.engines.now);
    CHECK(wanted().empty());
    t.engines.now += t.store.policy.estimateHalfLife;
    t.use(2);
    CHECK(wanted().size() == held);
}

TEST_CASE("exports keep to a rate, and pause for doubling times while the store is full")
{
    WithStore t;
    const KvStorePolicy &policy = t.store.policy;
    t.store.exportRefilledAt = t.engines.now;
    CHECK(spendExport(t.store, policy.exportBurst, t.engines.now));
    CHECK(!spendExport(t.store, 1000, t.engines.now));
    t.engines.now += fromSeconds(1000 / policy.exportTokensPerSecond) + milliseconds(1);
    CHECK(spendExport(t.store, 1000, t.engines.now));
    for (const Duration pause : {seconds(1), seconds(2), seconds(4)}) {
        t.engines.now += policy.maxExportPause;
        recordExport(t.store, t.prompt.blocks(), 5, t.engines.now);
        CHECK(!spendExport(t.store, 1, t.engines.now + pause - milliseconds(1)));
        CHECK(spendExport(t.store, 1, t.engines.now + pause));
    }
}

TEST_CASE("a store that fails is ejected, retried by probes alone, and starts with no estimates")
{
    WithStore t;
    CHECK(probeDue(t.store, t.engines.now));
    for (int n = 0; n < 2; ++n) {
        const auto plan = t.plan();
        REQUIRE(plan);
        recordImport(t.store, *plan, ImportEnd::Timeout, 0, t.engines.now);
    }
    CHECK(t.store.state == HealthState::Ejected);
    CHECK(!t.plan());
    for (const Duration ejection : {seconds(1), seconds(2), seconds(4)}) {
        CHECK(!probeDue(t.store, t.engines.now + ejection - milliseconds(1)));
        t.engines.now += ejection;
        CHECK(probeDue(t.store, t.engines.now));
        CHECK(!storeView(t.store, {t.prompt}, t.engines.now));
        if (ejection < seconds(4))
            recordProbe(t.store, false, t.engines.now);
    }
    recordProbe(t.store, true, t.engines.now);
    CHECK(t.store.state == HealthState::Healthy);
    CHECK(storeView(t.store, {t.prompt}, t.engines.now).has_value());
    CHECK(t.stored().blocks == 0);
}
