#include "engineplay.h"

#include <doctest/doctest.h>

using namespace gatewaytest;

TEST_CASE("callers wait less where instances tell each other the work that they send")
{
    const Late told = lateOf({}, {1});
    Conduct silent;
    silent.ofBacklogs = false;
    const Late untold = lateOf(silent, {1});
    MESSAGE("late long: ", told.longOnes, " of ", told.ofLong, ", untold ", untold.longOnes,
            "; late short: ", told.shortOnes, " of ", told.ofShort, ", untold ", untold.shortOnes);
    CHECK(told.longOnes < untold.longOnes);
    CHECK(told.shortOnes < untold.shortOnes);
}

TEST_CASE("callers wait less where speeds of unlike engines are told from their pauses")
{
    const std::vector<double> speeds = {0.6, 1.0, 1.6};
    const Late told = lateOf({}, speeds);
    Conduct blind;
    blind.ofPauses = false;
    const Late untold = lateOf(blind, speeds);
    MESSAGE("late long: ", told.longOnes, " of ", told.ofLong, ", untold ", untold.longOnes,
            "; late short: ", told.shortOnes, " of ", told.ofShort, ", untold ", untold.shortOnes);
    CHECK(told.longOnes < untold.longOnes);
    CHECK(told.shortOnes < untold.shortOnes);
}

TEST_CASE("a pause that another instance saw tells a speed once two of them agree")
{
    Servers servers;
    const TimePoint begun = TimePoint(std::chrono::hours(1));
    std::vector<deployment::ListedServer> list(2);
    list[0].id = "slow";
    list[1].id = "fast";
    for (deployment::ListedServer &it : list)
        it.service = "engines";
    takeList(servers, list, begun);
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
    News news;
    for (const std::string &it : starts)
        news.paces.push_back({it, pauseOf(it)});
    news.paces.push_back({"unknown", milliseconds(5)});
    takeNewsOf(servers, "one", news, begun);
    routing::updateSpeedSteps(servers.fleet, begun + std::chrono::seconds(1));
    CHECK(speed("fast") == speed("slow"));
    takeNewsOf(servers, "two", news, begun);
    routing::updateSpeedSteps(servers.fleet, begun + std::chrono::seconds(2));
    CHECK(speed("fast") > 1.5 * speed("slow"));
    // What others told is not told on.
    CHECK(takeNews(servers, begun + std::chrono::seconds(3)).paces.empty());
}

TEST_CASE("backlogs that are not told again are forgotten, and those of the last word count")
{
    Servers servers;
    deployment::ListedServer listed;
    listed.id = "a";
    listed.service = "engines";
    listed.weights["m"] = 1;
    const TimePoint begun = TimePoint(std::chrono::hours(1));
    takeList(servers, {listed}, begun);
    const KnownServer &server = servers.known.begin()->second;
    const std::string start = servers.known.begin()->first;
    noteBacklog(servers, "one", {start, 4'000}, begun);
    noteBacklog(servers, "two", {start, 10'000}, begun);
    noteBacklog(servers, "two", {start, 3'000}, begun + milliseconds(50));
    noteBacklog(servers, "two", {"unknown", 3'000}, begun + milliseconds(50));
    CHECK(peerBacklog(server, begun + milliseconds(100)) == 7'000);
    noteBacklog(servers, "one", {start, 0}, begun + milliseconds(100));
    CHECK(peerBacklog(server, begun + milliseconds(100)) == 3'000);
    CHECK(peerBacklog(server, begun + std::chrono::seconds(10)) == 0);
}
