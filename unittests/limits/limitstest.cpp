// Tests the limits on randomly generated histories of a fleet, with and without faults.

#include "common/foreachseed.h"
#include "fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>

using namespace kumquathaven;
using namespace kumquathaven::limits;
using kumquathaven::testing::forEachSeed;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::map<std::string, BucketLimits> fiveCustomers = {
    {"customer/quick", {20000, 60000}},  {"customer/tills", {8000, 30000}},
    {"customer/review", {5000, 40000}},  {"customer/stewards", {3000, 20000}},
    {"customer/greedy", {10000, 30000}},
};

/// Loads of customers inside their rate, and of one at ten times its rate.
const std::vector<Load> skewedLoad = {
    {"customer/quick", 14000, 2000, 1000, seconds(4)},
    {"customer/tills", 5000, 1000, 500, seconds(2)},
    {"customer/review", 2500, 4000, 1000, seconds(6)},
    {"customer/stewards", 1500, 1000, 500, seconds(3)},
    {"customer/greedy", 100000, 2000, 1000, seconds(2)},
};

/// Runs the fleet until all buckets have a home after the start of all entries.
void warmUp(Fleet &fleet)
{
    fleet.run(fleet.now() + seconds(20));
}

void driveAll(Fleet &fleet, const std::vector<Load> &loads, Duration length)
{
    for (const Load &it : loads)
        drive(fleet, it, fleet.now() + length);
}

/// Returns the refused requests of customers that the reference bucket refused nothing.
std::uint64_t wrongfulRefusals(const Fleet &fleet)
{
    std::uint64_t wrongful = 0;
    for (const auto &[bucket, tally] : fleet.tallies)
        wrongful += tally.refusedByReference == 0 ? tally.refused : 0;
    return wrongful;
}

std::uint64_t requestsInsideRate(const Fleet &fleet)
{
    std::uint64_t requested = 0;
    for (const auto &[bucket, tally] : fleet.tallies)
        requested += tally.refusedByReference == 0 ? tally.requested : 0;
    return requested;
}

} // namespace

TEST_CASE("Without faults nothing is over the limit and nobody inside the rate is refused")
{
    forEachSeed(5, [](std::uint64_t seed) {
        CAPTURE(seed);
        Fleet fleet(seed, 8, fiveCustomers, Config{});
        warmUp(fleet);
        driveAll(fleet, skewedLoad, seconds(40));
        fleet.run(fleet.now() + seconds(50));
        CHECK(fleet.tokensOverLimit() == 0);
        CHECK(wrongfulRefusals(fleet) == 0);
        CHECK(requestsInsideRate(fleet) > 500);
        const Tally &greedy = fleet.tallies["customer/greedy"];
        CHECK(greedy.refusedByReference > 0);
        // The customer over its rate still gets nearly all the tokens that the reference bucket
        // gives it.
        CHECK(greedy.tokens > 0.9 * greedy.referenceTokens);
        for (const Error &it : fleet.refusals) {
            REQUIRE(it.code == ErrorCode::RateLimited);
            REQUIRE(it.outcome == Outcome::NotRun);
            REQUIRE(it.retryAfter.has_value());
        }
    });
}

namespace {

/// Returns a member of the bucket's group other than its home, or the home if it has no standby.
std::size_t standbyOf(const Fleet &fleet, std::size_t home, const std::string &bucket)
{
    const auto &members = fleet.node(home).keeper.buckets.at(bucket).group.members;
    const std::string &last = members.back().name;
    const bool isHome = last == fleet.node(home).keeper.name;
    return std::stoul((isHome ? members.front().name : last).substr(5));
}

enum class HomeFault { Crash, Freeze, LongFreeze, CutOff, CutOffFromAll, StandbyCrash };

void inject(Fleet &fleet, const std::string &bucket, HomeFault fault)
{
    const std::optional<std::size_t> home = fleet.homeOf(bucket);
    REQUIRE(home);
    switch (fault) {
    case HomeFault::Crash:
        fleet.crash(*home, seconds(3));
        fleet.at(fleet.now() + seconds(8), [&fleet, home] {
            fleet.start(*home);
        });
        return;
    case HomeFault::Freeze:
        fleet.freeze(*home, seconds(3));
        return;
    case HomeFault::LongFreeze:
        fleet.freeze(*home, seconds(12));
        return;
    case HomeFault::CutOff:
        fleet.cutOff(*home, seconds(4), false);
        return;
    case HomeFault::CutOffFromAll:
        fleet.cutOff(*home, seconds(12), true);
        return;
    case HomeFault::StandbyCrash:
        fleet.crash(standbyOf(fleet, *home, bucket), seconds(3));
        return;
    }
}

} // namespace

TEST_CASE("A home that fails causes almost no refusals inside the rate and exceeds no limit")
{
    for (const HomeFault fault :
         {HomeFault::Crash, HomeFault::Freeze, HomeFault::LongFreeze, HomeFault::CutOff,
          HomeFault::CutOffFromAll, HomeFault::StandbyCrash}) {
        std::atomic<std::uint64_t> wrongful{0};
        std::atomic<std::uint64_t> requested{0};
        forEachSeed(5, [&](std::uint64_t seed) {
            CAPTURE(seed);
            CAPTURE(static_cast<int>(fault));
            Fleet fleet(seed, 8, fiveCustomers, Config{});
            warmUp(fleet);
            driveAll(fleet, skewedLoad, seconds(40));
            const std::string &bucket = skewedLoad[seed % skewedLoad.size()].bucket;
            fleet.run(fleet.now() + seconds(10));
            inject(fleet, bucket, fault);
            fleet.run(fleet.now() + seconds(40));
            CHECK(fleet.tokensOverLimit() == 0);
            wrongful += wrongfulRefusals(fleet);
            requested += requestsInsideRate(fleet);
            const Tally &greedy = fleet.tallies["customer/greedy"];
            CHECK(greedy.tokens > 0.8 * greedy.referenceTokens);
        });
        MESSAGE("fault " << static_cast<int>(fault) << ": " << wrongful.load() << " of "
                         << requested.load() << " requests inside the rate refused");
        CHECK(static_cast<double>(wrongful) < 0.001 * static_cast<double>(requested));
    }
}

namespace {

/// Drives every bucket to its limit again and again, by long requests that use few of the tokens
/// that they reserve and by bursts of requests that use all of them.
void driveToTheLimit(Fleet &fleet, Duration length)
{
    for (const auto &[bucket, limits] : fiveCustomers) {
        const auto prompt = static_cast<std::uint64_t>(limits.burst / 20);
        const auto output = static_cast<std::uint64_t>(limits.burst / 5);
        driveAll(fleet,
                 {{bucket, limits.rate / 3, prompt, output, seconds(6), false, Duration{}},
                  {bucket, 2 * limits.rate, prompt, 0, seconds(1), true, seconds(5)}},
                 length);
    }
}

void injectAny(Fleet &fleet)
{
    const std::size_t entries = fleet.entryCount();
    const std::string &bucket = skewedLoad[fleet.random.below(skewedLoad.size())].bucket;
    const std::optional<std::size_t> home = fleet.homeOf(bucket);
    const std::size_t entry =
        home && fleet.random.below(2) == 0 ? *home : fleet.random.below(entries);
    const Duration length(fleet.random.below(15000000));
    switch (fleet.random.below(6)) {
    case 0:
        if (!fleet.isRunning(entry)) {
            fleet.start(entry);
            return;
        }
        fleet.crash(entry, seconds(1 + fleet.random.below(5)));
        if (fleet.random.below(3) == 0)
            fleet.start(entry);
        return;
    case 1:
        fleet.freeze(entry, length);
        return;
    case 2:
        fleet.cutOff(entry, length, fleet.random.below(2) == 0);
        return;
    case 3:
    case 4: {
        std::set<std::size_t> inside = {entry};
        if (home) {
            // The home is separated together with one standby, so that they form a majority of the
            // old group.
            inside = {*home, standbyOf(fleet, *home, bucket)};
        }
        fleet.partition(inside, length, seconds(1 + fleet.random.below(3)));
        return;
    }
    default:
        for (std::size_t it = 0; it < entries; ++it) {
            if (!fleet.isRunning(it))
                fleet.start(it);
        }
        return;
    }
}

} // namespace

TEST_CASE("Whatever fails, and however often, nothing is over the limit")
{
    forEachSeed(24, [](std::uint64_t seed) {
        CAPTURE(seed);
        Fleet fleet(seed, 3 + seed % 6, fiveCustomers, Config{});
        fleet.network.loss = 0.05;
        fleet.network.duplication = 0.05;
        fleet.network.late = 0.03;
        fleet.network.maxDelay = milliseconds(seed % 3 == 0 ? 40 : 3);
        warmUp(fleet);
        driveToTheLimit(fleet, seconds(80));
        for (int i = 0; i < 12; ++i) {
            fleet.run(fleet.now() + Duration(fleet.random.below(9000000)));
            injectAny(fleet);
        }
        fleet.run(fleet.now() + seconds(30));
        CHECK(fleet.tokensOverLimit() == 0);
        std::uint64_t admitted = 0;
        for (const auto &[bucket, tally] : fleet.tallies)
            admitted += tally.admitted;
        CHECK(admitted > 100);
    });
}
