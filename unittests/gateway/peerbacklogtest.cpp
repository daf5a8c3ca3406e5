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
    applyPeerUpdate(servers, "one", update, startedAt);
    routing::updateSpeedSteps(servers.fleet, startedAt + std::chrono::seconds(1));
    CHECK(speed("fast") == speed("slow"));
    applyPeerUpdate(servers, "two", update, startedAt);
    routing::updateSpeedSteps(servers.fleet, startedAt + std::chrono::seconds(2));
    CHECK(speed("fast") > 1.5 * speed("slow"));
    // Received pauses are not reported again.
    CHECK(takeUpdate(servers, startedAt + std::chrono::seconds(3)).paces.empty());
}

TEST_CASE("the latest backlog report counts, and a report that is not repeated expires")
{
    Servers servers;
    deployment::ListedServer listed;
    listed.id = "a";
    listed.service = "engines";
    listed.weights["m"] = 1;
    const TimePoint startedAt = TimePoint(std::chrono::hours(1));
    applyList(servers, {listed}, startedAt);
    const KnownServer &server = servers.known.begin()->second;
    const std::string start = servers.known.begin()->first;
    applyPeerBacklog(servers, "one", {start, 4'000}, startedAt);
    applyPeerBacklog(servers, "two", {start, 10'000}, startedAt);
    applyPeerBacklog(servers, "two", {start, 3'000}, startedAt + milliseconds(50));
    applyPeerBacklog(servers, "two", {"unknown", 3'000}, startedAt + milliseconds(50));
    CHECK(peerBacklog(server, startedAt + milliseconds(100)) == 7'000);
    applyPeerBacklog(servers, "one", {start, 0}, startedAt + milliseconds(100));
    CHECK(peerBacklog(server, startedAt + milliseconds(100)) == 3'000);
    CHECK(peerBacklog(server, startedAt + std::chrono::seconds(10)) == 0);
}
