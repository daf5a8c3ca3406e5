// Tests of single mechanisms of the limits, each in a case that fails without the mechanism.

#include "common/foreachseed.h"
#include "fleet.h"

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::limits;
using kumquathaven::testing::forEachSeed;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string slowBucket = "customer/slow";
/// The rate is so low that the refill does not matter within a test's few seconds.
const std::map<std::string, BucketLimits> slowCustomer = {{slowBucket, {100, 10000}}};

/// Returns a fleet whose bucket is full.
Fleet fleetWithFullBucket(std::uint64_t seed)
{
    Fleet fleet(seed, 8, slowCustomer, Config{});
    fleet.run(fleet.now() + seconds(120));
    return fleet;
}

Effects requestTokens(Node &node, const Cost &cost, TimePoint now)
{
    Effects effects;
    reserve(node, {{slowBucket, slowCustomer.at(slowBucket)}}, cost, now, effects);
    return effects;
}

std::shared_ptr<const catalogue::Instances> threeEntries(std::uint64_t epoch)
{
    catalogue::Instances instances;
    instances.epoch = epoch;
    for (const std::string name : {"a", "b", "c"}) {
        instances.entries[name].name = name;
        instances.entries[name].failureDomain = name;
        instances.entries[name].incarnation = 10;
    }
    return std::make_shared<const catalogue::Instances>(instances);
}

} // namespace

TEST_CASE("Unspent tokens are recalled for an instance that lacks them")
{
    forEachSeed(10, [](std::uint64_t seed) {
        Fleet fleet = fleetWithFullBucket(seed);
        for (int i = 0; i < 50; ++i) {
            fleet.request(0, slowBucket, {100, 0}, 100, milliseconds(1));
            fleet.run(fleet.now() + milliseconds(4));
        }
        fleet.run(fleet.now() + milliseconds(50));
        fleet.request(1, slowBucket, {4900, 0}, 4900, milliseconds(1));
        fleet.run(fleet.now() + seconds(1));
        CHECK(fleet.tallies[slowBucket].refused == 0);
        CHECK(fleet.tokensOverLimit() == 0);
    });
}

TEST_CASE("Refunds of running requests outlive the home")
{
    forEachSeed(10, [](std::uint64_t seed) {
        Fleet fleet = fleetWithFullBucket(seed);
        const std::size_t home = fleet.homeOf(slowBucket).value();
        const std::size_t spender = (home + 1) % fleet.entryCount();
        fleet.request(spender, slowBucket, {0, 9000}, 50, seconds(4));
        fleet.run(fleet.now() + seconds(1));
        fleet.crash(home, seconds(30));
        fleet.run(fleet.now() + seconds(4));
        fleet.request(spender, slowBucket, {9000, 0}, 9000, milliseconds(1));
        fleet.run(fleet.now() + seconds(1));
        CHECK(fleet.tallies[slowBucket].admitted == 2);
        CHECK(fleet.tokensOverLimit() == 0);
    });
}

TEST_CASE("The rate goes on while long requests hold the burst")
{
    forEachSeed(5, [](std::uint64_t seed) {
        Fleet fleet = fleetWithFullBucket(seed);
        fleet.request(0, slowBucket, {0, 9900}, 50, seconds(90));
        fleet.run(fleet.now() + seconds(60));
        fleet.request(1, slowBucket, {5500, 0}, 5500, milliseconds(1));
        fleet.run(fleet.now() + seconds(60));
        // The first request has ended, but its refund would exceed the burst by now.
        fleet.request(1, slowBucket, {9000, 0}, 9000, milliseconds(1));
        fleet.run(fleet.now() + seconds(1));
        CHECK(fleet.tallies[slowBucket].admitted == 3);
        CHECK(fleet.tokensOverLimit() == 0);
    });
}

TEST_CASE("Waiting requests are refused as not run once no entries are left")
{
    // The node must not be the home, which would answer its own request.
    const std::string name = groupMembers(*threeEntries(1), slowBucket).back().name;
    Node node = makeNode(name, 10, Config{});
    TimePoint now = TimePoint{} + seconds(100);
    Effects effects;
    configure(node, threeEntries(1), slowCustomer, now, now, effects);
    requestTokens(node, {10, 0}, now);
    catalogue::Instances none;
    none.epoch = 2;
    configure(node, std::make_shared<const catalogue::Instances>(none), slowCustomer, now, now,
              effects);
    effects = {};
    for (int i = 0; i < 200; ++i) {
        now += milliseconds(5);
        tick(node, now, effects);
    }
    REQUIRE(effects.resolutions.size() == 1);
    REQUIRE(effects.resolutions.front().refusal);
    CHECK(effects.resolutions.front().refusal->outcome == Outcome::NotRun);
    CHECK(effects.resolutions.front().refusal->retryAfter.has_value());
}

TEST_CASE("A request that did not run gives back its prompt too")
{
    Fleet fleet = fleetWithFullBucket(4);
    Node node = fleet.node(0);
    Effects effects;
    TimePoint now = TimePoint{} + seconds(5000);
    Account &account = node.spender.accounts[slowBucket];
    account.group = {{"entry0", 1}};
    account.groupEpoch = node.spender.instances->epoch;
    account.granted = 1000;
    account.validUntil = now + seconds(2);
    const std::vector<Draw> draws = {{slowBucket, slowCustomer.at(slowBucket)}};
    for (const bool runs : {false, true}) {
        const Decision decision = reserve(node.spender, draws, {400, 500}, now, effects);
        REQUIRE(decision.kind == Decision::Kind::Admitted);
        if (runs)
            startRun(node.spender, decision.reservation);
        settle(node.spender, decision.reservation, 0, now, effects);
        CHECK(account.spent == (runs ? 400 : 0));
        CHECK(account.reserved == 0);
    }
}

TEST_CASE("Tokens of a session that has ended are not spent")
{
    Fleet fleet = fleetWithFullBucket(4);
    const TimePoint now = TimePoint{} + seconds(5000);
    for (const bool ended : {false, true}) {
        Node node = fleet.node(0);
        Effects effects;
        Account &account = node.spender.accounts[slowBucket];
        account.group = {{"entry0", 1}};
        account.groupEpoch = node.spender.instances->epoch;
        account.granted = 1000;
        account.validUntil = ended ? now : now + milliseconds(1);
        const std::vector<Draw> draws = {{slowBucket, slowCustomer.at(slowBucket)}};
        const Decision decision = reserve(node.spender, draws, {400, 500}, now, effects);
        CHECK((decision.kind == Decision::Kind::Admitted) == !ended);
    }
}

TEST_CASE("A customer added while the fleet runs has its burst at once")
{
    Fleet fleet = fleetWithFullBucket(3);
    fleet.addBucket("customer/new", {100, 5000});
    fleet.run(fleet.now() + seconds(2));
    fleet.request(2, "customer/new", {5000, 0}, 5000, milliseconds(1));
    fleet.request(3, "customer/new", {2000, 0}, 2000, milliseconds(1));
    fleet.run(fleet.now() + seconds(1));
    CHECK(fleet.tallies["customer/new"].admitted == 1);
    REQUIRE(fleet.refusals.size() == 1);
    CHECK(fleet.refusals.front().code == ErrorCode::RateLimited);
    // The refill of 2,000 tokens takes 20 s, minus the time for which the request waited.
    CHECK(toSeconds(*fleet.refusals.front().retryAfter) == doctest::Approx(20).epsilon(0.05));
}

TEST_CASE("A fleet that starts for the first time serves at once")
{
    forEachSeed(5, [](std::uint64_t seed) {
        Fleet fleet(seed, 8, slowCustomer, Config{});
        fleet.run(fleet.now() + seconds(2));
        for (std::size_t entry = 0; entry < 5; ++entry)
            fleet.request(entry, slowBucket, {2000, 0}, 2000, milliseconds(1));
        fleet.run(fleet.now() + seconds(1));
        CHECK(fleet.tallies[slowBucket].admitted == 5);
        // After a restart of all entries at once, none of the spent burst may be available again.
        for (std::size_t entry = 0; entry < 8; ++entry) {
            fleet.crash(entry, milliseconds(100));
            fleet.start(entry);
        }
        fleet.run(fleet.now() + seconds(2));
        fleet.request(1, slowBucket, {2000, 0}, 2000, milliseconds(1));
        fleet.run(fleet.now() + seconds(1));
        CHECK(fleet.tallies[slowBucket].admitted == 5);
        fleet.run(fleet.now() + seconds(30));
        fleet.request(1, slowBucket, {2000, 0}, 2000, milliseconds(1));
        fleet.run(fleet.now() + seconds(1));
        CHECK(fleet.tallies[slowBucket].admitted == 6);
        CHECK(fleet.tokensOverLimit() == 0);
    });
}

TEST_CASE("A request draws on every bucket or on none")
{
    const Config config;
    Node node = makeNode("a", 10, config);
    catalogue::Instances instances;
    instances.epoch = 1;
    instances.entries["a"].name = "a";
    instances.entries["a"].incarnation = 10;
    const std::map<std::string, BucketLimits> limits = {{"customer/x", {1000, 10000}},
                                                        {"key/y", {100, 1000}}};
    TimePoint now = TimePoint{} + seconds(100);
    Effects effects;
    configure(node, std::make_shared<const catalogue::Instances>(instances), limits, now, now,
              effects);
    for (int i = 0; i < 300; ++i) {
        now += milliseconds(100);
        configure(node, node.spender.instances, limits, now, now, effects);
        tick(node, now, effects);
    }
    const std::vector<Draw> draws = {{"customer/x", limits.at("customer/x")},
                                     {"key/y", limits.at("key/y")}};
    const Decision fits = reserve(node, draws, {900, 0}, now, effects);
    CHECK((fits.kind == Decision::Kind::Admitted || !effects.resolutions.empty()));
    effects = {};
    const Decision tooMuch = reserve(node, draws, {900, 0}, now, effects);
    CHECK(tooMuch.kind == Decision::Kind::Waiting);
    REQUIRE(effects.resolutions.size() == 1);
    REQUIRE(effects.resolutions.front().refusal);
    CHECK(effects.resolutions.front().refusal->outcome == Outcome::NotRun);
    effects = {};
    // The refused request took no tokens from the customer's bucket.
    reserve(node, {draws[0]}, {9000, 0}, now, effects);
    REQUIRE(effects.resolutions.size() == 1);
    CHECK_FALSE(effects.resolutions.front().refusal);
    const Decision exceedsBurst = reserve(node, draws, {1001, 0}, now, effects);
    REQUIRE(exceedsBurst.kind == Decision::Kind::Refused);
    CHECK(exceedsBurst.refusal->code == ErrorCode::TooLarge);
    CHECK_FALSE(exceedsBurst.refusal->retryAfter.has_value());
    CHECK(reserve(node, {{"customer/x", {}}}, {1, 0}, now, effects).kind
          == Decision::Kind::Admitted);
}

TEST_CASE("An answer of a standby's former process confirms no grant")
{
    const std::string home = groupMembers(*threeEntries(1), slowBucket).front().name;
    const std::string other = groupMembers(*threeEntries(1), slowBucket).back().name;
    Node node = makeNode(home, 10, Config{});
    TimePoint now = TimePoint{} + seconds(100);
    Effects effects;
    configure(node, threeEntries(1), slowCustomer, now, now, effects);
    configure(node, threeEntries(1), slowCustomer, now + seconds(9), now + seconds(9), effects);
    now += seconds(9);
    Promise promise;
    promise.bucket = slowBucket;
    promise.promised = node.keeper.buckets.at(slowBucket).term;
    promise.epoch = 1;
    promise.incarnation = 11;
    handleMessage(node, other, promise, now, effects);
    CHECK(node.keeper.buckets.at(slowBucket).role == Bucket::Role::Preparing);
    promise.incarnation = 10;
    handleMessage(node, other, promise, now, effects);
    REQUIRE(node.keeper.buckets.at(slowBucket).role == Bucket::Role::Confirming);
    const Term term = node.keeper.buckets.at(slowBucket).term;
    handleMessage(node, other, ReplicaAck{slowBucket, 11, term, 1}, now, effects);
    CHECK(node.keeper.buckets.at(slowBucket).role == Bucket::Role::Confirming);
    handleMessage(node, other, ReplicaAck{slowBucket, 10, term, 1}, now, effects);
    CHECK(node.keeper.buckets.at(slowBucket).role == Bucket::Role::Home);
    CHECK(requestTokens(node, {10, 0}, now).resolutions.empty());
}

TEST_CASE("Two processes with one name never spend more than the limit")
{
    forEachSeed(20, [](std::uint64_t seed) {
        CAPTURE(seed);
        const std::string bucket = "customer/twins";
        Fleet fleet(seed, 5, {{bucket, {2000, 8000}}}, Config{});
        fleet.network.late = 0.02;
        fleet.run(fleet.now() + seconds(30));
        const TimePoint end = fleet.now() + seconds(60);
        Load load;
        load.bucket = bucket;
        load.tokensPerSecond = 6000;
        drive(fleet, load, end);
        for (int n = 0; n < 4; ++n) {
            fleet.run(fleet.now() + seconds(8));
            const std::size_t entryWithTwin =
                n % 2 == 0 ? fleet.homeOf(bucket).value_or(0) : fleet.random.below(5);
            fleet.startTwin(entryWithTwin);
        }
        fleet.run(end);
        // At least half of what the rate allows must run, so that the limit does not hold merely
        // because nothing runs.
        CHECK(fleet.tallies[bucket].tokens > 60000);
        CHECK(fleet.tokensOverLimit() == 0);
    });
}
