// Whole roll-outs of releases: a bad one gets few requests and is taken back in time, and a good
// one completes although servers, instances and counts have trouble.

#include "common/foreachseed.h"
#include "release/history.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <functional>
#include <string>
#include <utility>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::release;

namespace {

using Row = std::pair<std::string, std::function<void(Load &)>>;

std::uint64_t seedCount()
{
    const char *text = std::getenv("KUMQUATHAVEN_RELEASE_SEEDS");
    return text != nullptr ? std::strtoull(text, nullptr, 10) : 3;
}

/// What the histories of one row with one number of instances showed, in the order of their seeds.
struct Played
{
    std::string name;
    std::size_t instances = 0;
    double limit = 0;
    std::vector<Result> results;
};

std::vector<Played> playAll(const std::vector<Row> &rows)
{
    std::vector<Played> all;
    std::vector<Load> loads;
    for (const auto &[name, change] : rows) {
        for (const std::size_t instances : {1, 30, 300}) {
            Load &load = loads.emplace_back();
            load.instances = instances;
            change(load);
            all.push_back({name, instances, load.limit, std::vector<Result>(seedCount())});
        }
    }
    const std::uint64_t count = seedCount();
    testing::forEachSeed(all.size() * count, [&](std::uint64_t n) {
        const std::uint64_t at = (n - 1) / count;
        const std::uint64_t seed = (n - 1) % count + 1;
        all[at].results[seed - 1] = playHistory(loads[at], seed);
    });
    return all;
}

} // namespace

TEST_CASE("a bad release gets few requests and is taken back in time")
{
    const std::vector<Row> rows = {
        {"fails 3 in a hundred",
         [](Load &it) {
             it.badFrom = 0;
             it.failing = 0.03;
         }},
        {"fails 10 in a hundred",
         [](Load &it) {
             it.badFrom = 0;
             it.failing = 0.1;
         }},
        {"fails 30 in a hundred",
         [](Load &it) {
             it.badFrom = 0;
             it.failing = 0.3;
         }},
        {"takes twice as long",
         [](Load &it) {
             it.badFrom = 0;
             it.slowPart = 1;
             it.slowFactor = 2;
         }},
        {"takes 8 times as long in part",
         [](Load &it) {
             it.badFrom = 0;
             it.slowPart = 0.3;
             it.slowFactor = 8;
         }},
        {"takes 4 times as long",
         [](Load &it) {
             it.badFrom = 0;
             it.slowPart = 1;
             it.slowFactor = 4;
         }},
        {"later",
         [](Load &it) {
             it.badFrom = 8;
             it.failing = 0.2;
         }},
        {"later and slowly",
         [](Load &it) {
             it.badFrom = 6;
             it.slowPart = 0.5;
             it.slowFactor = 4;
         }},
        {"under load only",
         [](Load &it) {
             it.badFrom = 0;
             it.failing = 0.2;
             it.isBadUnderLoadOnly = true;
             it.rate = 1'500;
         }},
        {"one route only",
         [](Load &it) {
             it.badFrom = 0;
             it.failing = 0.3;
             it.badRoute = 2;
         }},
        {"from the first raised share on",
         [](Load &it) {
             it.badFrom = 0;
             it.failing = 0.3;
             it.badShare = 250;
         }},
        {"slow from the first raised share on",
         [](Load &it) {
             it.badFrom = 0;
             it.slowPart = 1;
             it.slowFactor = 4;
             it.badShare = 250;
         }},
        {"crossed by crashes of both releases",
         [](Load &it) {
             it.badFrom = 0;
             it.failing = 0.2;
             it.crashRate = 0.01;
         }},
        {"crossed by failing servers of both releases",
         [](Load &it) {
             it.badFrom = 0;
             it.failing = 0.2;
             it.greyServers = 1;
         }},
        {"control is away",
         [](Load &it) {
             it.badFrom = 2;
             it.failing = 0.2;
             it.controlAwayFrom = 1.5;
             it.controlAwayEnd = 18;
         }},
        {"counts are lost for a while",
         [](Load &it) {
             it.badFrom = 3;
             it.failing = 0.2;
             it.gapFrom = 4;
             it.gapEnd = 7;
         }},
        {"much traffic",
         [](Load &it) {
             it.badFrom = 0;
             it.failing = 0.05;
             it.rate = 3'000;
         }},
        {"little traffic",
         [](Load &it) {
             it.badFrom = 0;
             it.failing = 0.3;
             it.rate = 5;
             it.limit = 60;
             it.routes = {1};
         }},
        {"a request a second",
         [](Load &it) {
             it.badFrom = 0;
             it.failing = 1;
             it.rate = 1;
             it.limit = 60;
             it.routes = {1};
         }},
        {"a limit of ten minutes",
         [](Load &it) {
             it.badFrom = 20;
             it.failing = 0.05;
             it.rate = 12;
             it.limit = 600;
         }},
        {"a short limit",
         [](Load &it) {
             it.badFrom = 0;
             it.failing = 0.1;
             it.limit = 5;
             it.evidenceAge = 0.2;
         }},
    };
    for (const Played &row : playAll(rows)) {
        CAPTURE(row.name);
        CAPTURE(row.instances);
        std::int64_t exposed = 0;
        std::int64_t sent = 0;
        double endAt = 0;
        for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
            const Result &result = row.results[seed - 1];
            CAPTURE(seed);
            CAPTURE(result.reason);
            CAPTURE(result.exposed);
            CAPTURE(result.sent);
            CAPTURE(result.endAt);
            CHECK(result.end == Action::RollBack);
            CHECK(result.isExposureBounded);
            CHECK(result.late == 0);
            exposed += result.exposed;
            sent += result.sent;
            endAt += result.endAt;
        }
        MESSAGE(row.name, ", ", row.instances, " instances: exposed ",
                100.0 * static_cast<double>(exposed) / static_cast<double>(sent),
                " in a hundred, end after ", endAt / static_cast<double>(seedCount()), " s");
    }
}

// A good release that is taken back costs a second order, so one in a hundred is accepted.
TEST_CASE("a good release completes in time although both releases have trouble")
{
    const std::vector<Row> rows = {
        {"no trouble", [](Load &) {}},
        {"servers of both crash",
         [](Load &it) {
             it.crashRate = 0.02;
         }},
        {"a failing server of both",
         [](Load &it) {
             it.greyServers = 1;
         }},
        {"two failing servers of both",
         [](Load &it) {
             it.greyServers = 2;
         }},
        {"a common share of errors",
         [](Load &it) {
             it.commonErrors = 0.05;
         }},
        {"a burst at the small share",
         [](Load &it) {
             it.burstFrom = 4;
         }},
        {"a burst at raised shares",
         [](Load &it) {
             it.burstFrom = 13;
         }},
        {"a burst with errors",
         [](Load &it) {
             it.burstFrom = 14;
             it.burstErrors = 0.05;
         }},
        {"killed instances",
         [](Load &it) {
             it.killAt = 9;
             it.killed = it.instances / 2;
         }},
        {"counts are lost for a while",
         [](Load &it) {
             it.gapFrom = 12;
             it.gapEnd = 14;
         }},
        {"late servers",
         [](Load &it) {
             it.firstServers = 2;
             it.othersAt = 8;
         }},
        {"old counts",
         [](Load &it) {
             it.evidenceAge = 1;
         }},
        {"control is away",
         [](Load &it) {
             it.controlAwayFrom = 12;
             it.controlAwayEnd = 14;
         }},
        {"a limit of 12 s",
         [](Load &it) {
             it.limit = 12;
         }},
        {"a short limit",
         [](Load &it) {
             it.limit = 5;
             it.evidenceAge = 0.2;
             it.feedDelay = 0.2;
         }},
        {"much traffic",
         [](Load &it) {
             it.rate = 3'000;
         }},
        {"a request a second",
         [](Load &it) {
             it.rate = 1;
             it.limit = 60;
             it.routes = {1};
         }},
    };
    for (const Played &row : playAll(rows)) {
        CAPTURE(row.name);
        CAPTURE(row.instances);
        double endAt = 0;
        std::uint64_t falseAlarms = 0;
        for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
            const Result &result = row.results[seed - 1];
            endAt += result.endAt;
            if (result.end == Action::Complete && result.endAt <= row.limit)
                continue;
            ++falseAlarms;
            MESSAGE("not complete: seed ", seed, ", ", result.reason);
        }
        CHECK(falseAlarms * 100 <= seedCount());
        MESSAGE(row.name, ", ", row.instances, " instances: end after ",
                endAt / static_cast<double>(seedCount()), " s");
    }
}
