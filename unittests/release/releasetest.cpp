#include "kumquathaven/release/release.h"

#include <doctest/doctest.h>

#include <string>

using namespace kumquathaven;
using namespace kumquathaven::release;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("delays fall into buckets that double")
{
    CHECK(delayBucketOf(Duration(0)) == 0);
    CHECK(delayBucketOf(milliseconds(1)) == 1);
    CHECK(delayBucketOf(milliseconds(3)) == 2);
    CHECK(delayBucketOf(milliseconds(4)) == 3);
    CHECK(delayBucketOf(std::chrono::hours(9)) == delayBucketCount - 1);
}

namespace {

Counts counts(std::int64_t good, std::int64_t failed, std::size_t bucket = 6)
{
    Counts it;
    it.sent = good + failed;
    it.failed = failed;
    it.delays[bucket] = good;
    return it;
}

/// A roll-out of 20 s in its last part, in which all instances counted good answers only.
struct State
{
    Progress progress{1, 50, seconds(13), seconds(20), seconds(13)};
    Evidence evidence;
    Duration age = milliseconds(300);
    Supply supply{18, 18, 1'152, 1'152};
    Policy policy;

    State()
    {
        evidence.routes["chat"] = {counts(9'500, 0), counts(500, 0)};
        evidence.routes["lookup"] = {counts(950, 0), counts(50, 0)};
        evidence.instances = evidence.instancesServing = 30;
        evidence.runningAtPresent = 7;
    }

    Decision decide() const { return release::decide(progress, evidence, age, supply, policy); }
};

} // namespace

TEST_CASE("each state of a roll-out has its next step")
{
    struct Row
    {
        std::string name;
        void (*change)(State &);
        Action action;
        std::uint32_t share;
        const char *reason;
    };
    const Row rows[] = {
        {"the order",
         [](State &it) {
             it.progress = {0, 0, Duration(0), seconds(20), Duration(0)};
         },
         Action::Advance, 50, "first share"},
        {"no server yet",
         [](State &it) {
             it.progress = {0, 0, seconds(1), seconds(20), seconds(1)};
             it.supply.nextServers = 0;
             it.supply.nextSlots = 0;
         },
         Action::Hold, 0, "0 servers"},
        {"no server at the limit",
         [](State &it) {
             it.progress = {0, 0, seconds(19), seconds(20), seconds(19)};
             it.supply.nextServers = 0;
             it.supply.nextSlots = 0;
         },
         Action::RollBack, 0, "0 servers"},
        {"early",
         [](State &it) {
             it.progress.elapsed = seconds(9);
         },
         Action::Hold, 50, "small share until 12.0 s"},
        {"proven", [](State &) {}, Action::Advance, 250, "no fault"},
        {"half of the servers",
         [](State &it) {
             it.progress = {2, 250, seconds(14), seconds(20), seconds(2)};
             it.supply.nextSlots = 460;
         },
         Action::Advance, 399, "no fault"},
        {"no more servers",
         [](State &it) {
             it.progress = {3, 399, seconds(16), seconds(20), seconds(2)};
             it.supply.nextSlots = 460;
         },
         Action::Hold, 399, "399 per mille"},
        {"a route without answers",
         [](State &it) {
             it.evidence.routes["lookup"].next = counts(0, 0);
         },
         Action::Hold, 50, "few answers: lookup"},
        {"still without answers at the limit",
         [](State &it) {
             it.evidence.routes["lookup"].next = counts(0, 0);
             it.progress.elapsed = seconds(19);
         },
         Action::RollBack, 0, "time limit: few answers: lookup"},
        {"an instance is not counted",
         [](State &it) {
             it.evidence.instances = 28;
         },
         Action::Hold, 50, "counts of 28 of 30"},
        {"one of three instances has ended",
         [](State &it) {
             it.evidence.instances = 2;
             it.evidence.instancesServing = 3;
         },
         Action::Advance, 250, "no fault"},
        {"one of two instances is not counted",
         [](State &it) {
             it.evidence.instances = 1;
             it.evidence.instancesServing = 2;
         },
         Action::Hold, 50, "counts of 1 of 2"},
        {"old counts",
         [](State &it) {
             it.age = seconds(6);
         },
         Action::Hold, 50, "6.0 s old"},
        {"old counts of a bad release",
         [](State &it) {
             it.age = seconds(6);
             it.evidence.routes["lookup"].next = counts(30, 20);
         },
         Action::RollBack, 0, "lookup: 20 errors of 50"},
        {"slow on one route",
         [](State &it) {
             it.evidence.routes["lookup"].next = counts(50, 0, 8);
         },
         Action::RollBack, 0, "lookup: 50 of 50 answers took"},
        {"a doubt",
         [](State &it) {
             it.evidence.routes["lookup"].next = counts(47, 3);
         },
         Action::Hold, 50, "in doubt: lookup: 3 errors"},
        {"one server crashed",
         [](State &it) {
             it.evidence.routes["chat"].next = counts(470, 30);
             it.evidence.routes["chat"].next.cut = 30;
         },
         Action::Advance, 250, "no fault"},
        {"server after server crashes",
         [](State &it) {
             it.evidence.routes["chat"].next = counts(400, 100);
             it.evidence.routes["chat"].next.cut = 100;
         },
         Action::RollBack, 0, "100 of 550 requests were cut off"},
        {"one server fails",
         [](State &it) {
             it.evidence.routes["chat"].next = counts(480, 20);
             it.evidence.groups[0] = {40, 20};
             it.evidence.groups[1] = {510, 0};
         },
         Action::Advance, 250, "no fault"},
        {"requests run at the present release",
         [](State &it) {
             it.progress = {4, 1000, seconds(17), seconds(20), seconds(2)};
             it.evidence.routes["lookup"].next = counts(300, 0);
         },
         Action::Hold, 1000, "7 requests run"},
        {"a route has lost its traffic",
         [](State &it) {
             it.progress = {4, 1000, seconds(17), seconds(20), seconds(2)};
             it.evidence.runningAtPresent = 0;
         },
         Action::Complete, 1000, "nothing runs"},
        {"all moved, one instance has just ended",
         [](State &it) {
             it.progress = {4, 1000, seconds(17), seconds(20), milliseconds(1'900)};
             it.evidence.runningAtPresent = 0;
             it.evidence.instances = 29;
         },
         Action::Hold, 1000, "1 instances are missing"},
        {"all moved, one instance has ended",
         [](State &it) {
             it.progress = {4, 1000, seconds(17), seconds(20), seconds(2)};
             it.evidence.runningAtPresent = 0;
             it.evidence.instances = 29;
         },
         Action::Complete, 1000, "nothing runs"},
        {"all moved",
         [](State &it) {
             it.progress = {4, 1000, seconds(17), seconds(20), seconds(2)};
             it.evidence.routes["lookup"].next = counts(300, 0);
             it.evidence.runningAtPresent = 0;
         },
         Action::Complete, 1000, "nothing runs"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        State state;
        row.change(state);
        const Decision decision = state.decide();
        CAPTURE(decision.reason);
        CHECK(decision.action == row.action);
        CHECK(decision.sharePerMille == row.share);
        CHECK(decision.reason.find(row.reason) != std::string::npos);
    }
}

TEST_CASE("requests to an unproven release are counted whatever the draws are")
{
    const Policy policy;
    const Progress progress{1, 50, seconds(3), seconds(20), seconds(3)};
    for (const std::uint32_t instances : {1U, 3U, 12U}) {
        for (const std::int64_t requests : {1, 10, 1'000, 100'000}) {
            std::int64_t exposed = 0;
            for (std::uint32_t n = 0; n < instances; ++n) {
                std::int64_t next = 0;
                for (std::int64_t sent = 0; sent < requests; ++sent)
                    next += mayExpose(progress, sent - next, next, instances, policy, 0) ? 1 : 0;
                exposed += next;
            }
            CHECK(static_cast<double>(exposed)
                  <= 0.1 * static_cast<double>(requests * instances) + 50);
        }
    }
}

TEST_CASE("nothing unproven is sent to after the limit")
{
    const Policy policy;
    CHECK(!mayExpose({1, 50, seconds(20), seconds(20), seconds(20)}, 1'000, 0, 1, policy, 0));
    CHECK(!mayExpose({2, 500, seconds(20), seconds(20), seconds(5)}, 1'000, 0, 1, policy, 0));
    CHECK(mayExpose({3, 1000, seconds(21), seconds(20), seconds(5)}, 1'000, 0, 1, policy, 0.99));
    CHECK(!mayExpose({0, 0, seconds(1), seconds(20), seconds(1)}, 1'000, 0, 1, policy, 0));
}

TEST_CASE("the share goes to so few servers that each has its full load")
{
    const Supply supply{18, 18, 1'152, 1'152};
    CHECK(exposedServers(0, supply) == 0);
    CHECK(exposedServers(50, supply) == 1);
    CHECK(exposedServers(250, supply) == 5);
    CHECK(exposedServers(500, supply) == 9);
    CHECK(exposedServers(1000, supply) == 18);
    CHECK(exposedServers(250, {18, 2, 1'152, 128}) == 2);
    CHECK(exposedServers(50, {200, 200, 1'000, 1'000}) == 10);
    CHECK(exposedServers(1000, {0, 0, 0, 0}) == 0);
}

TEST_CASE("the servers that look bad are exposed last")
{
    Evidence evidence;
    CHECK(avoidedGroup(evidence) == serverGroupCount);
    evidence.groups = {{{100, 0}, {10, 3}, {0, 0}, {1'000, 20}}};
    CHECK(avoidedGroup(evidence) == 1);
}
