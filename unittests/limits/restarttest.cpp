// Tests of simultaneous restarts of many entries: customers are served again in time, and no tokens
// are created.

#include "common/foreachseed.h"
#include "fleet.h"

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::limits;
using kumquathaven::testing::forEachSeed;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string bucket = "customer/herd";
const std::map<std::string, BucketLimits> customer = {{bucket, {1000, 4000}}};

/// The maximum time after a restart of all entries during which a customer inside its rate may be
/// refused.
constexpr Duration maxRecoveryTime = seconds(2);

/// Crashes every entry and restarts it within \p spread.
void restartAll(Fleet &fleet, Duration spread)
{
    for (std::size_t entry = 0; entry < fleet.entryCount(); ++entry) {
        if (fleet.isRunning(entry))
            fleet.crash(entry, seconds(8));
        const Duration delay(fleet.random.below(static_cast<std::uint64_t>(spread.count())));
        fleet.at(fleet.now() + delay, [&fleet, entry] {
            if (!fleet.isRunning(entry))
                fleet.start(entry);
        });
    }
}

/// Crashes some entries and restarts most of them, a few at another place.
void restartSome(Fleet &fleet)
{
    for (std::size_t entry = 0; entry < fleet.entryCount(); ++entry) {
        if (fleet.random.below(4) == 0)
            continue;
        if (fleet.isRunning(entry))
            fleet.crash(entry, milliseconds(100 + fleet.random.below(4000)));
        if (fleet.random.below(10) == 0)
            fleet.move(entry);
        if (fleet.random.below(6) == 0)
            continue;
        fleet.at(fleet.now() + milliseconds(1 + fleet.random.below(400)), [&fleet, entry] {
            if (!fleet.isRunning(entry))
                fleet.start(entry);
        });
    }
}

/// Separates some entries from control and the others, while callers still reach them.
void partitionSome(Fleet &fleet)
{
    std::set<std::size_t> inside;
    for (std::size_t entry = 0; entry < fleet.entryCount(); ++entry) {
        if (fleet.isRunning(entry) && fleet.random.below(2) == 0)
            inside.insert(entry);
    }
    fleet.partition(inside, seconds(3 + fleet.random.below(6)), milliseconds(500));
}

} // namespace

TEST_CASE("After a restart of all entries at once customers inside their rate are served in time")
{
    forEachSeed(20, [](std::uint64_t seed) {
        CAPTURE(seed);
        Fleet fleet(seed, 3 + seed % 6, customer, Config{});
        fleet.run(fleet.now() + seconds(20));
        const Load steady = {bucket, 400, 150, 50, seconds(1), false, Duration{}};
        drive(fleet, steady, fleet.now() + seconds(30));
        fleet.run(fleet.now() + seconds(10));
        for (const Duration spread : {milliseconds(300), milliseconds(50)}) {
            restartAll(fleet, spread);
            fleet.run(fleet.now() + spread + maxRecoveryTime);
            const std::uint64_t admitted = fleet.tallies[bucket].admitted;
            // Requests that arrived before may still be waiting.
            fleet.run(fleet.now() + Config{}.maxWait);
            const std::uint64_t refused = fleet.tallies[bucket].refused;
            fleet.run(fleet.now() + seconds(3));
            CHECK(fleet.tallies[bucket].admitted > admitted);
            CHECK(fleet.tallies[bucket].refused == refused);
        }
        CHECK(fleet.tallies[bucket].refusedByReference == 0);
        CHECK(fleet.tokensOverLimit() == 0);
    });
}

TEST_CASE("Restarts of many entries, again and again, exceed no limit")
{
    forEachSeed(24, [](std::uint64_t seed) {
        CAPTURE(seed);
        Fleet fleet(seed, 3 + seed % 6, customer, Config{});
        fleet.network.loss = 0.02;
        fleet.network.duplication = 0.05;
        fleet.network.late = 0.03;
        fleet.run(fleet.now() + seconds(20));
        const TimePoint end = fleet.now() + seconds(100);
        drive(fleet, {bucket, 3000, 200, 0, seconds(1), true, Duration{}}, end);
        drive(fleet, {bucket, 500, 100, 800, seconds(6), false, Duration{}}, end);
        while (fleet.now() < end) {
            fleet.run(fleet.now() + milliseconds(200 + fleet.random.below(9000)));
            switch (fleet.random.below(4)) {
            case 0:
                restartAll(fleet, milliseconds(300));
                break;
            case 1:
                partitionSome(fleet);
                break;
            default:
                restartSome(fleet);
            }
        }
        CHECK(fleet.tokensOverLimit() == 0);
        CHECK(fleet.tallies[bucket].admitted > 100);
    });
}

namespace {

const std::map<std::string, BucketLimits> slowCustomer = {{bucket, {100, 10000}}};

/// Returns three entries after departures of processes that are all proven to have ended.
std::shared_ptr<const catalogue::Instances> restartedEntries()
{
    catalogue::Instances instances;
    instances.epoch = 5;
    instances.departures = 3;
    for (const std::string name : {"a", "b", "c"}) {
        instances.entries[name].name = name;
        instances.entries[name].failureDomain = name;
        instances.entries[name].incarnation = 10;
    }
    return std::make_shared<const catalogue::Instances>(instances);
}

Node restartedNode(std::size_t rank, TimePoint now)
{
    const auto instances = restartedEntries();
    Node node = makeNode(groupMembers(*instances, bucket)[rank].name, 10, Config{});
    Effects effects;
    configure(node, instances, slowCustomer, now, now, effects);
    return node;
}

} // namespace

TEST_CASE("A home that restarts alone does not empty the bucket")
{
    forEachSeed(20, [](std::uint64_t seed) {
        CAPTURE(seed);
        Fleet fleet(seed, 3 + seed % 6, slowCustomer, Config{});
        fleet.run(fleet.now() + seconds(120));
        const std::size_t home = fleet.homeOf(bucket).value();
        fleet.crash(home, seconds(8));
        fleet.start(home);
        fleet.run(fleet.now() + seconds(1));
        fleet.request(home, bucket, {9000, 0}, 9000, milliseconds(1));
        fleet.run(fleet.now() + seconds(1));
        CHECK(fleet.tallies[bucket].admitted == 1);
    });
}

TEST_CASE("A new home waits for members that may still spend")
{
    forEachSeed(10, [](std::uint64_t seed) {
        CAPTURE(seed);
        Fleet fleet(seed, 8, {{bucket, {1000, 1000}}}, Config{});
        fleet.run(fleet.now() + seconds(20));
        const auto members = fleet.node(0).keeper.buckets.at(bucket).group.members;
        std::set<std::size_t> group;
        for (const GroupMember &it : members)
            group.insert(std::stoul(it.name.substr(5)));
        std::size_t spender = 0;
        while (group.count(spender) > 0)
            ++spender;
        // The refunds that the home does not make the spender waive return to the spender, which
        // may spend them until its session ends.
        fleet.request(spender, bucket, {0, 900}, 0, milliseconds(1650));
        fleet.run(fleet.now() + milliseconds(20));
        group.erase(group.begin());
        for (const std::size_t it : group) {
            fleet.crash(it, seconds(8));
            fleet.start(it);
        }
        // The spender is cut off as soon as the new home has its promise.
        const Bucket &state = fleet.node(spender).keeper.buckets.at(bucket);
        const Term before = state.fence;
        const TimePoint end = fleet.now() + milliseconds(1630);
        while (state.fence == before && fleet.now() < end)
            fleet.run(fleet.now() + milliseconds(1));
        fleet.run(fleet.now() + milliseconds(2));
        fleet.cutOff(spender, seconds(5), false);
        fleet.run(end);
        fleet.request(*group.begin(), bucket, {900, 0}, 900, milliseconds(1));
        // The spender spends the refunded tokens before it returns them.
        for (int i = 0; i < 10; ++i) {
            fleet.request(spender, bucket, {500, 0}, 500, milliseconds(1));
            fleet.run(fleet.now() + milliseconds(1));
        }
        fleet.run(fleet.now() + seconds(10));
        CHECK(fleet.tallies[bucket].admitted >= 2);
        CHECK(fleet.tokensOverLimit() == 0);
        fleet.request(*group.begin(), bucket, {900, 0}, 900, milliseconds(1));
        fleet.run(fleet.now() + seconds(1));
        CHECK(fleet.tallies[bucket].admitted >= 3);
    });
}

TEST_CASE("A member that promised to a later home spends no late grant of an earlier one")
{
    for (const bool promised : {false, true}) {
        const TimePoint now = TimePoint{} + seconds(100);
        Node node = restartedNode(2, now);
        Effects effects;
        reserve(node, {{bucket, slowCustomer.at(bucket)}}, {10, 0}, now, effects);
        REQUIRE(effects.messages.size() == 1);
        const TokenRequest tokenRequest = std::get<TokenRequest>(effects.messages.front().message);
        if (promised)
            handleMessage(node, "b", Prepare{bucket, Term{5, 3, 1}}, now, effects);
        Answer answer;
        answer.bucket = bucket;
        answer.term = Term{5, 2, 0};
        answer.incarnation = tokenRequest.incarnation;
        answer.session = tokenRequest.session;
        answer.sequence = tokenRequest.sequence;
        answer.granted = 10;
        answer.validFor = seconds(2);
        effects = {};
        handleMessage(node, "a", answer, now, effects);
        CHECK(effects.resolutions.size() == (promised ? 0 : 1));
    }
}

TEST_CASE("A bucket starts empty only if every entry knows the group and none knows a newer epoch")
{
    const TimePoint now = TimePoint{} + seconds(100);
    for (const std::uint64_t epoch : {4, 5, 6}) {
        CAPTURE(epoch);
        Node node = restartedNode(0, now);
        Effects effects;
        Promise promise;
        promise.bucket = bucket;
        promise.incarnation = 10;
        promise.promised = node.keeper.buckets.at(bucket).term;
        promise.epoch = epoch;
        const Bucket &state = node.keeper.buckets.at(bucket);
        for (const GroupMember &it : state.group.members) {
            REQUIRE(state.role == Bucket::Role::Preparing);
            if (it.name != node.keeper.name)
                handleMessage(node, it.name, promise, now, effects);
        }
        CHECK((state.role == Bucket::Role::Confirming) == (epoch == 5));
        CHECK(state.level == 0);
    }
}
