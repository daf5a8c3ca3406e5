// Tests the guarantees of relaying one by one: freshness, first states, load on control, order of
// parents, and limits of a relay.

#include "common/foreachseed.h"
#include "kumquathaven/feed/parents.h"
#include "relayfleet.h"

#include <doctest/doctest.h>

#include <map>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::feed;

using kumquathaven::testing::forEachSeed;

TEST_CASE(
    "a relay that freezes, is cut off or restarts leaves its children within the freshness bound")
{
    forEachSeed(runs, [](std::uint64_t seed) {
        CAPTURE(seed);
        Fleet fleet(seed);
        fleet.advance(seconds(15));
        CHECK(fleet.fedByControl() <= relays.directEntries + 1);
        const std::vector<std::size_t> relaying = fleet.relaying();
        REQUIRE(!relaying.empty());
        const std::size_t lost = relaying[seed % relaying.size()];
        const Duration time = seconds(20);
        if (seed % 3 == 0)
            fleet.freeze(lost, time);
        else if (seed % 3 == 1)
            fleet.cutChildren(lost, time);
        else
            fleet.restart(lost);
        for (Duration passed{0}; passed < seconds(10); passed += milliseconds(50)) {
            fleet.advance(milliseconds(50));
            for (std::size_t n = 0; n < entryCount; ++n) {
                if (n == lost)
                    continue;
                CHECK(fleet.proofAge(n) < freshnessBound);
                CHECK(fleet.timeSinceHeartbeat(n) < instanceLease);
            }
        }
        if (seed % 3 == 0)
            CHECK(fleet.timeSinceHeartbeat(lost) > instanceLease);
    });
}

TEST_CASE("a herd that starts without state receives its first states from relays")
{
    forEachSeed(runs, [](std::uint64_t seed) {
        CAPTURE(seed);
        Fleet fleet(seed, entryCount, {2, 4});
        // At first no entry holds a state, so control supplies the states.
        fleet.hasRedirects = true;
        fleet.advance(seconds(15));
        CHECK(fleet.statesSent() > 0);
        fleet.hasChanges = false;
        fleet.advance(seconds(3));
        const std::uint64_t before = fleet.statesSent();
        constexpr std::size_t herd = entryCount / 2;
        for (std::size_t n = 0; n < herd; ++n)
            fleet.restart((seed + n) % entryCount);
        fleet.advance(freshnessBound);
        fleet.checkAllHoldTheNewest();
        // One restarted entry may find all three relays full.
        CHECK(fleet.statesSent() - before <= 1);
    });
}

TEST_CASE("requests to control do not grow with the entries beyond the first tier")
{
    constexpr settings::FeedRelays wanted{2, 4};
    // Designed request rate: two per second from each direct entry, and in total 0.25 per second
    // per direct entry from all other entries.
    constexpr double designedRequestRate = 2.25 * wanted.directEntries;
    for (const std::size_t count : {14, 56}) {
        CAPTURE(count);
        Fleet fleet(count, count, wanted);
        fleet.hasChanges = false;
        for (int n = 0; n < 60 && (n < 15 || fleet.fedByControl() > wanted.directEntries); ++n)
            fleet.advance(seconds(1));
        REQUIRE(fleet.fedByControl() == wanted.directEntries);
        const std::uint64_t before = fleet.requestsToControl();
        constexpr int measured = 40;
        for (int n = 0; n < measured; ++n) {
            fleet.advance(seconds(1));
            for (std::size_t entry = 0; entry < count; ++entry)
                CHECK(fleet.timeSinceHeartbeat(entry) < instanceLease);
        }
        const double requestRate =
            static_cast<double>(fleet.requestsToControl() - before) / measured;
        CHECK(requestRate < 1.2 * designedRequestRate);
    }
}

TEST_CASE("parents precede their children, near ones come first, and tiers are bounded")
{
    catalogue::Instances instances;
    for (int n = 0; n < 3500; ++n) {
        catalogue::Instance it;
        it.name = "entry-" + std::to_string(n);
        it.failureDomain = "fd-" + std::to_string(n % 9);
        it.state = catalogue::InstanceState::Serving;
        instances.entries[it.name] = it;
    }
    const settings::FeedRelays wanted;
    std::map<std::size_t, std::size_t> inTier;
    std::map<std::string, std::size_t> children;
    int near = 0;
    for (const auto &[name, self] : instances.entries) {
        const std::size_t tier = tierOf(instances, name, wanted);
        ++inTier[tier];
        // Only a sample of the entries is checked, because checking all of them takes too long
        // under a sanitizer.
        if (tier == 0 || inTier[tier] % 10 != 0)
            continue;
        const auto parents = parentCandidates(instances, self, wanted);
        REQUIRE(!parents.empty());
        CHECK(precedes(parents.front().name, name));
        CHECK(tierOf(instances, parents.front().name, wanted) + 1 == tier);
        CHECK(mayKeepParent(instances, parents.front().name, name, wanted));
        CHECK_FALSE(mayKeepParent(instances, name, parents.front().name, wanted));
        near += parents.front().failureDomain == self.failureDomain ? 1 : 0;
    }
    CHECK(inTier[0] == wanted.directEntries);
    CHECK(inTier[1] == wanted.directEntries * wanted.children);
    CHECK(inTier.size() == 3);
    CHECK(near > 300);
    CHECK(tierOf(instances, "entry-7", {1, 0}) == 0);
    CHECK(controlProofInterval(instances, wanted) == fromSeconds((3500 - 64) / 16.0));
    CHECK(controlProofInterval(instances, {8192, 8}) == seconds(2));
    instances.entries.begin()->second.state = catalogue::InstanceState::Leaving;
    CHECK_FALSE(mayKeepParent(instances, instances.entries.begin()->first, "entry-7", wanted));
}

TEST_CASE("a relay refuses children beyond its bound, and all while it holds nothing")
{
    const TimePoint now(seconds(100));
    const auto state = [] {
        return toFrame(StateAt{});
    };
    Relay relay(2);
    CHECK(relay.receive(1, Subscribe{0}, {}, state, now).refuse);
    const HeldPosition held{5, now};
    CHECK_FALSE(relay.receive(1, Subscribe{5}, held, state, now).refuse);
    CHECK_FALSE(relay.receive(2, Subscribe{5}, held, state, now).refuse);
    CHECK(relay.receive(3, Subscribe{5}, held, state, now).refuse);
    CHECK(relay.receive(2, ProofRequest{1, "e", 1}, held, state, now).deliveries.size() == 1);
    CHECK(relay.receive(2, ProofRequest{2, "e", 1}, held, state, now + seconds(61))
              .deliveries.empty());
    relay.remove(1);
    CHECK_FALSE(relay.receive(3, Subscribe{5}, held, state, now).refuse);
}

TEST_CASE("a report about a rollout goes to control, and through the relay without a member")
{
    const TimePoint now{seconds(100)};
    catalogue::Instance self;
    self.name = "entry-2";
    Follower follower(relays, self, 1);
    const RolloutReport report{"chat", 7, {}};
    const auto targets = [](const FollowerEffects &effects) {
        std::vector<Uplink> found;
        for (const FollowerEffects::OutgoingMessage &it : effects.messages) {
            if (std::holds_alternative<RolloutReport>(it.message))
                found.push_back(it.uplink);
        }
        return found;
    };
    CHECK(targets(follower.report(report, now)).empty());
    follower.opened(Uplink::Control, "control-1", now);
    CHECK(targets(follower.report(report, now)) == std::vector{Uplink::Control});
    const FollowerEffects ofChild = follower.childMessage(5, report, now);
    CHECK(targets(ofChild) == std::vector{Uplink::Control});
    CHECK(ofChild.refused.empty());
    follower.receive(Uplink::Control, Redirect{{{"entry-1", "10.0.0.1:7200"}}}, now);
    follower.opened(Uplink::NextRelay, "entry-1", now);
    CHECK(targets(follower.report(report, now)) == std::vector{Uplink::Control});
    follower.closed(Uplink::Control, now);
    CHECK(targets(follower.report(report, now)) == std::vector{Uplink::Relay});
    CHECK(targets(follower.childMessage(5, report, now)) == std::vector{Uplink::Relay});
}

TEST_CASE("a relay that holds changes back is detected by control's answers")
{
    TimePoint now(seconds(100));
    const catalogue::Instance self;
    ControlWatch watch;
    watch.begin(now);
    const auto first = watch.tick(self, 5, now);
    REQUIRE(first.request.has_value());
    watch.receive({first.request->number, 7, seconds(1)}, now);
    // A proof of a position that is not held must not count.
    CHECK_FALSE(watch.tick(self, 5, now).relayLags);
    CHECK(watch.provenAt() == TimePoint{});
    CHECK_FALSE(watch.tick(self, 5, now + milliseconds(1900)).relayLags);
    CHECK(watch.tick(self, 5, now + milliseconds(2100)).relayLags);
    CHECK_FALSE(watch.tick(self, 7, now + milliseconds(2200)).relayLags);
    CHECK(watch.provenAt() == now - seconds(1));
}
