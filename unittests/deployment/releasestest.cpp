// Tests what a leader of control decides about a running rollout: the time since the order, joined
// reports, listed servers, and proposals.

#include "kumquathaven/deployment/releases.h"

#include <doctest/doctest.h>

#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::deployment;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t orderedAtMs = 1'796'000'000'000;
const TimePoint start{seconds(1000)};

catalogue::ServiceRollout running()
{
    catalogue::ServiceRollout rollout;
    rollout.service = "chat";
    rollout.release = "v2";
    rollout.limitMs = 60'000;
    rollout.orderedAtMs = orderedAtMs;
    rollout.number = 7;
    return rollout;
}

ListedServer server(const std::string &service, const std::string &release, bool isDraining = false)
{
    ListedServer it;
    it.service = service;
    it.release = release;
    it.slots = 4;
    it.isDraining = isDraining;
    return it;
}

release::Evidence counted(std::int64_t sent, std::int64_t failed)
{
    release::Evidence evidence;
    release::RouteCounts &route = evidence.routes["r"];
    route.present.sent = 20 * sent;
    route.present.delays[4] = 20 * sent;
    route.next.sent = sent;
    route.next.failed = failed;
    route.next.delays[4] = sent - failed;
    evidence.instances = evidence.instancesServing = 1;
    return evidence;
}

} // namespace

TEST_CASE("the time since the order withstands wall clocks that are wrong by seconds")
{
    struct Row
    {
        const char *name;
        /// The wall clock at the first sight of the order, relative to the order.
        std::int64_t wallMs;
        Duration expected;
    };
    const Row rows[] = {
        {"seen at once", 0, seconds(0)},
        {"a clock that is 8 s ahead", 8'000, seconds(0)},
        {"a clock that is behind", -8'000, seconds(0)},
        {"a clock at 1970", -static_cast<std::int64_t>(orderedAtMs), seconds(0)},
        {"a start 30 s after the order", 30'000, seconds(20)},
        {"a start long after the limit", 3'600'000, seconds(60)},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        RolloutMemory memory;
        const auto wall =
            static_cast<std::uint64_t>(static_cast<std::int64_t>(orderedAtMs) + row.wallMs);
        observe(memory, running(), wall, start);
        CHECK(elapsedOf(memory, running(), start) == row.expected);
        // Later jumps of the wall clock change nothing.
        observe(memory, running(), orderedAtMs + 50'000, start + seconds(2));
        observe(memory, running(), 0, start + seconds(3));
        CHECK(elapsedOf(memory, running(), start + seconds(3)) == row.expected + seconds(3));
    }
}

TEST_CASE("an order without a time counts from its first sight")
{
    catalogue::ServiceRollout rollout = running();
    rollout.orderedAtMs = 0;
    RolloutMemory memory;
    observe(memory, rollout, orderedAtMs, start);
    CHECK(elapsedOf(memory, rollout, start + seconds(2)) == seconds(2));
}

TEST_CASE("a leader that saw a step only counts from the time that the step recorded")
{
    catalogue::ServiceRollout rollout = running();
    rollout.step = 2;
    rollout.elapsedMs = 25'000;
    RolloutMemory memory;
    observe(memory, rollout, orderedAtMs + 26'000, start);
    CHECK(elapsedOf(memory, rollout, start + seconds(4)) == seconds(29));
}

TEST_CASE("another order starts a new memory, another step only its time")
{
    RolloutMemory memory;
    catalogue::ServiceRollout rollout = running();
    observe(memory, rollout, orderedAtMs, start);
    take(memory, counted(10, 0), start);
    rollout.step = 1;
    observe(memory, rollout, orderedAtMs, start + seconds(5));
    CHECK(memory.stepSeenAt == start + seconds(5));
    CHECK(memory.seenAt == start);
    CHECK(memory.evidence.routes.at("r").next.sent == 10);
    rollout.number = 9;
    observe(memory, rollout, orderedAtMs, start + seconds(6));
    CHECK(memory.seenAt == start + seconds(6));
    CHECK(memory.evidence.routes.empty());
    CHECK_FALSE(memory.reportedAt);
}

TEST_CASE("counts of reports never decrease, the present figures are the newest")
{
    RolloutMemory memory;
    release::Evidence first = counted(100, 9);
    first.runningAtPresent = 8;
    first.groups[1] = {50, 3};
    take(memory, first, start);
    release::Evidence second = counted(40, 1);
    second.routes["other"].present.cut = 2;
    second.groups[1] = {60, 0};
    take(memory, second, start + seconds(1));
    CHECK(memory.evidence.routes.at("r").next.sent == 100);
    CHECK(memory.evidence.routes.at("r").next.failed == 9);
    CHECK(memory.evidence.routes.at("other").present.cut == 2);
    CHECK(memory.evidence.groups[1].answered == 60);
    CHECK(memory.evidence.groups[1].failed == 3);
    CHECK(memory.evidence.runningAtPresent == 0);
    CHECK(memory.reportedAt == start + seconds(1));
}

TEST_CASE("servers are counted by release, without those that drain")
{
    const std::vector<ListedServer> servers{server("chat", "v1"), server("chat", "v2"),
                                            server("chat", "v2"), server("chat", "v2", true),
                                            server("chat", ""),   server("mail", "v2")};
    const release::Supply supply = supplyOf(servers, "chat", "v2");
    CHECK(supply.presentServers == 2);
    CHECK(supply.presentSlots == 8);
    CHECK(supply.nextServers == 2);
    CHECK(supply.nextSlots == 8);
    CHECK_FALSE(runsAlready(servers, "chat", "v2"));
    CHECK(runsAlready(servers, "mail", "v2"));
    CHECK_FALSE(runsAlready(servers, "unknown", "v2"));
}

TEST_CASE("upstreams of a route are counted by release, named or by model")
{
    catalogue::Catalogue catalogue;
    for (const char *name : {"a1", "a2", "b1", "b2"}) {
        catalogue::Upstream &upstream = catalogue.upstreams[name];
        upstream.model = name[0] == 'a' ? "m" : "other";
        upstream.release = name[1] == '2' ? "v2" : "";
    }
    catalogue.routes["byModel"].model = "m";
    catalogue.routes["named"].upstreams = {"a2", "b1", "b2"};
    CHECK(supplyOf(catalogue, "byModel", "v2").presentServers == 1);
    CHECK(supplyOf(catalogue, "byModel", "v2").nextServers == 1);
    CHECK(supplyOf(catalogue, "named", "v2").presentServers == 1);
    CHECK(supplyOf(catalogue, "named", "v2").nextServers == 2);
    catalogue.upstreams["b2"].state = catalogue::UpstreamState::Leaving;
    CHECK(supplyOf(catalogue, "named", "v2").nextSlots == 1);
    CHECK(supplyOf(catalogue, "unknown", "v2").presentServers == 0);
}

TEST_CASE("a step is proposed once, again when it may be lost, and a roll-back at once")
{
    catalogue::ServiceRollout rollout = running();
    RolloutMemory memory;
    const release::Policy policy;
    release::Supply supply;
    observe(memory, rollout, orderedAtMs, start);
    CHECK_FALSE(nextStep(memory, rollout, supply, policy, start).step);
    supply = {4, 4, 16, 16};
    const RolloutDecision first = nextStep(memory, rollout, supply, policy, start);
    REQUIRE(first.step);
    CHECK(first.step->number == 7);
    CHECK(first.step->fromStep == 0);
    CHECK(first.step->state == catalogue::RolloutState::Running);
    CHECK(first.step->sharePerMille > 0);
    CHECK_FALSE(nextStep(memory, rollout, supply, policy, start + milliseconds(100)).step);
    CHECK(nextStep(memory, rollout, supply, policy, start + milliseconds(600)).step);
    // Every answer of the release failed, and nearly none of the present one.
    release::Evidence bad = counted(200, 200);
    take(memory, bad, start + milliseconds(700));
    const auto back = nextStep(memory, rollout, supply, policy, start + milliseconds(700));
    REQUIRE(back.step);
    CHECK(back.step->state == catalogue::RolloutState::RolledBack);
    CHECK(back.step->elapsedMs == 700);
    CHECK_FALSE(back.step->reason.empty());
}

TEST_CASE("a rollout without reports ends at its time limit, also under a new leader")
{
    catalogue::ServiceRollout rollout = running();
    rollout.step = 1;
    rollout.sharePerMille = 10;
    rollout.elapsedMs = 1'000;
    RolloutMemory memory;
    const release::Supply supply{4, 4, 16, 16};
    observe(memory, rollout, orderedAtMs + 1'000, start);
    CHECK_FALSE(nextStep(memory, rollout, supply, {}, start + seconds(10)).step);
    const auto late = nextStep(memory, rollout, supply, {}, start + seconds(60));
    REQUIRE(late.step);
    CHECK(late.step->state == catalogue::RolloutState::RolledBack);
}
