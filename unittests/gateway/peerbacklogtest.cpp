#include "enginefixture.h"
#include "enginesimulation.h"

#include <doctest/doctest.h>

using namespace gatewaytest;

TEST_CASE("sharing backlogs between instances reduces late answers")
{
    const LateCounts withReports = simulate({}, {1});
    SimulationConfig noBacklogs;
    noBacklogs.sharesBacklogs = false;
    const LateCounts withoutReports = simulate(noBacklogs, {1});
    MESSAGE("late long: ", withReports.lateLong, " of ", withReports.totalLong,
            ", without reports ", withoutReports.lateLong, "; late short: ", withReports.lateShort,
            " of ", withReports.totalShort, ", without reports ", withoutReports.lateShort);
    CHECK(withReports.lateLong < withoutReports.lateLong);
    CHECK(withReports.lateShort < withoutReports.lateShort);
}

TEST_CASE("engine speeds that are estimated from chunk pauses reduce late answers")
{
    const std::vector<double> speeds = {0.6, 1.0, 1.6};
    const LateCounts withReports = simulate({}, speeds);
    SimulationConfig noPauses;
    noPauses.measuresPauses = false;
    const LateCounts withoutReports = simulate(noPauses, speeds);
    MESSAGE("late long: ", withReports.lateLong, " of ", withReports.totalLong,
            ", without reports ", withoutReports.lateLong, "; late short: ", withReports.lateShort,
            " of ", withReports.totalShort, ", without reports ", withoutReports.lateShort);
    CHECK(withReports.lateLong < withoutReports.lateLong);
    CHECK(withReports.lateShort < withoutReports.lateShort);
}

TEST_CASE("pauses reported by two instances determine the speed of a server")
{
    Servers servers;
    const TimePoint startedAt = TimePoint(std::chrono::hours(1));
    std::vector<deployment::ListedServer> list(2);
    list[0].id = "slow";
    list[1].id = "fast";
    for (deployment::ListedServer &it : list)
        it.service = "engines";
    applyList(servers, list, startedAt);
    const auto speed = [&](const std::string &id) {
        for (const auto &[start, it] : servers.known) {
            if (it.listed.id == id)
                return routing::relativeSpeed(servers.fleet.upstreams[it.slot].engineSpeed);
        }
        return 0.0;
    };
    std::vector<std::string> starts;
    for (const auto &it : servers.known)
        starts.push_back(it.first);
    const auto pauseOf = [&](const std::string &start) {
        return servers.known.at(start).listed.id == "fast" ? milliseconds(10) : milliseconds(20);
    };
    PeerUpdate update;
    for (const std::string &it : starts)
        update.paces.push_back({it, pauseOf(it)});
    update.paces.push_back({"unknown", milliseconds(5)});
    update.instance = "one";
    applyPeerUpdate(servers, update, startedAt);
    routing::updateSpeedSteps(servers.fleet, startedAt + std::chrono::seconds(1));
    CHECK(speed("fast") == speed("slow"));
    update.instance = "two";
    applyPeerUpdate(servers, update, startedAt);
    routing::updateSpeedSteps(servers.fleet, startedAt + std::chrono::seconds(2));
    CHECK(speed("fast") > 1.5 * speed("slow"));
    // Received pauses are not reported again.
    CHECK(takeUpdate(servers, "self").paces.empty());
}

TEST_CASE("the backlog of all other instances together counts towards the wait at a server")
{
    EngineFixture fixture;
    Servers servers;
    fixture.list(servers, 2, 1, at(0));
    const auto first = pick(servers, fixture.request(at(1)), at(1));
    REQUIRE(first);
    recordAttemptEnd(servers, *first, AttemptEnd::Answered, at(2));
    CHECK(setBacklogOfOthers(servers, backlogKey(first->start), 500'000, {}, at(3)));
    const KnownServer &server = servers.known.at(first->start);
    CHECK(server.backlogOfOthers == 500'000);
    fixture.head.requestId = "r2";
    CHECK(pick(servers, fixture.request(at(4)), at(4))->start != first->start);
    // A server that makes progress has a part of its backlog done.
    CHECK(setBacklogOfOthers(servers, backlogKey(first->start), 400'000, at(50), at(60)));
    CHECK(server.lastProgressAt == at(50));
    CHECK(setBacklogOfOthers(servers, backlogKey(first->start), -1, {}, at(70)));
    CHECK(server.backlogOfOthers == 0);
    CHECK_FALSE(setBacklogOfOthers(servers, backlogKey("unknown"), 5, {}, at(70)));
}

TEST_CASE("a backlog is reported when it changes, and as zero once its server has left the list")
{
    EngineFixture fixture;
    Servers servers;
    fixture.list(servers, 1, 1, at(0));
    CHECK(takeChangedBacklogs(servers).empty());
    const auto sent = pick(servers, fixture.request(at(1)), at(1));
    REQUIRE(sent);
    CHECK(takeChangedBacklogs(servers).at(sent->start) >= 16'000);
    CHECK(takeChangedBacklogs(servers).empty());
    recordFirstToken(servers, *sent, at(300));
    CHECK(takeChangedBacklogs(servers).at(sent->start) == 0);
    pick(servers, fixture.request(at(301)), at(301));
    applyList(servers, {}, at(400));
    CHECK(takeChangedBacklogs(servers).at(sent->start) == 0);
}
