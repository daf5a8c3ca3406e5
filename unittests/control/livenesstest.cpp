// Tests the leases of entry instances and the reports of heartbeats.

#include "kumquathaven/control/liveness.h"

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::control;

TEST_CASE("an instance is declared dead a lease after its last heartbeat or the leader's start")
{
    const Duration lease = std::chrono::seconds(8);
    const TimePoint start(std::chrono::seconds(100));
    catalogue::Instances instances;
    instances.entries["a"].incarnation = 1;
    instances.entries["b"].incarnation = 1;
    const auto deadAt = [&](Liveness &liveness, TimePoint leaderSince, Duration after) {
        std::string names;
        for (const auto &it : liveness.expired(instances, leaderSince, lease, start + after))
            names += it.name;
        return names;
    };
    Liveness liveness;
    liveness.recordHeartbeat("a", 1, start);
    liveness.recordHeartbeat("b", 1, start + std::chrono::seconds(3));
    CHECK(deadAt(liveness, TimePoint{}, lease).empty());
    CHECK(deadAt(liveness, TimePoint{}, lease + Duration(1)) == "a");
    CHECK(deadAt(liveness, start + std::chrono::seconds(1), lease + Duration(1)).empty());
    CHECK(deadAt(liveness, TimePoint{}, lease + std::chrono::seconds(4)) == "ab");
    // The heartbeat of another incarnation does not extend the listed one's lease.
    liveness.recordHeartbeat("a", 2, start + std::chrono::seconds(12));
    CHECK(deadAt(liveness, TimePoint{}, std::chrono::seconds(12)) == "ab");
    // It does not mask the heartbeat of the listed incarnation either.
    liveness.recordHeartbeat("a", 1, start + std::chrono::seconds(12));
    liveness.recordHeartbeat("a", 2, start + std::chrono::seconds(13));
    CHECK(deadAt(liveness, TimePoint{}, std::chrono::seconds(13)) == "b");
}

TEST_CASE("a report names each instance once per new heartbeat")
{
    Liveness liveness;
    liveness.recordHeartbeat("a", 1, TimePoint(Duration(5)));
    const TimePoint now(Duration(9));
    CHECK(liveness.takeReport(now).size() == 1);
    CHECK(liveness.takeReport(now).empty());
    // A heartbeat that a relay delayed is older than the recorded one and is not reported.
    liveness.recordHeartbeat("a", 1, TimePoint(Duration(4)));
    CHECK(liveness.takeReport(now).empty());
    CHECK(liveness.lastHeartbeat("a", 1) == TimePoint(Duration(5)));
    liveness.recordHeartbeat("a", 1, TimePoint(Duration(6)));
    const auto report = liveness.takeReport(now);
    REQUIRE(report.size() == 1);
    CHECK(report[0].name == "a");
    CHECK(report[0].incarnation == 1);
    CHECK(report[0].age == Duration(3));
}
