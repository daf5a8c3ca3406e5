// Compares ways of choosing an engine on the same seeded arrivals, and prints a table.
//
//   routing-measure [--seed N] [--seconds N] [--load PERCENT]
//                   [--skip-baselines] [--counts-only] [--short-own] [--check]
//
// With --short-own a prompt's own part is 100 to 1,600 tokens and an engine caches 60 blocks.

#include "simulation.h"

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <string>

namespace {

constexpr std::array<double, 3> loads = {0.5, 0.8, 0.95};
constexpr int calibrations = 6;
constexpr double leastShareOfOracle = 0.95;

double milliseconds(kumquathaven::Duration d)
{
    return kumquathaven::toSeconds(d) * 1000;
}

void printRow(double load, measure::Way way, const measure::Figures &it)
{
    std::printf("| %.0f%% | %s | %llu | %.1f | %.0f | %.0f | %.2f | %.0f |\n", load * 100,
                std::string(kumquathaven::nameOf(measure::wayNames, way)).c_str(),
                static_cast<unsigned long long>(it.requests), it.hitRate * 100,
                milliseconds(it.firstTokenP50), milliseconds(it.firstTokenP99),
                100.0 * static_cast<double>(it.recomputedTokens)
                    / static_cast<double>(it.promptTokens),
                it.busy * 100);
    std::fflush(stdout);
}

/// Returns the arrivals under which the oracle keeps the engines busy for a share of the time.
std::vector<measure::Arrival> arrivalsForLoad(double load, measure::WorkloadConfig workload,
                                              const measure::FleetConfig &fleet)
{
    std::vector<measure::Arrival> arrivals;
    for (int n = 0; n < calibrations; ++n) {
        arrivals = makeArrivals(workload);
        const double busy = simulate(arrivals, measure::Way::Oracle, fleet).busy;
        if (busy > load - 0.01 && busy < load + 0.01)
            break;
        workload.requestsPerSecond *= load / busy;
    }
    std::fprintf(stderr, "%.0f%% load: %.1f requests a second\n", load * 100,
                 workload.requestsPerSecond);
    return arrivals;
}

/// Makes nearly the whole of a prompt shared, before caches that hold less of it.
void useShortOwn(measure::WorkloadConfig &workload, measure::FleetConfig &fleet)
{
    workload.leastOwnTokens = 100;
    workload.mostOwnTokens = 1600;
    fleet.cacheBlocks = 60;
}

bool isBaseline(measure::Way way)
{
    return way != measure::Way::ExpectedFirstToken && way != measure::Way::Oracle;
}

/// Returns whether the choice has its share of the oracle's hit rate and beats every baseline's
/// p99.
bool meetsAims(const std::map<measure::Way, measure::Figures> &all)
{
    const measure::Figures &ours = all.at(measure::Way::ExpectedFirstToken);
    bool isMet = ours.hitRate >= leastShareOfOracle * all.at(measure::Way::Oracle).hitRate;
    for (const auto &it : all)
        isMet = isMet && (!isBaseline(it.first) || ours.firstTokenP99 < it.second.firstTokenP99);
    std::printf("aims %s\n", isMet ? "met" : "missed");
    return isMet;
}

} // namespace

int main(int argc, char **argv)
{
    measure::WorkloadConfig workload;
    measure::FleetConfig fleet;
    bool baselines = true;
    bool check = false;
    double only = 0;
    for (int n = 1; n < argc; ++n) {
        if (std::strcmp(argv[n], "--skip-baselines") == 0)
            baselines = false;
        else if (std::strcmp(argv[n], "--seed") == 0 && n + 1 < argc)
            fleet.seed = workload.seed = std::strtoull(argv[++n], nullptr, 10);
        else if (std::strcmp(argv[n], "--check") == 0)
            check = true;
        else if (std::strcmp(argv[n], "--counts-only") == 0)
            fleet.reportsTokens = false;
        else if (std::strcmp(argv[n], "--short-own") == 0)
            useShortOwn(workload, fleet);
        else if (std::strcmp(argv[n], "--load") == 0 && n + 1 < argc)
            only = std::strtod(argv[++n], nullptr) / 100;
        else if (std::strcmp(argv[n], "--seconds") == 0 && n + 1 < argc)
            workload.length = std::chrono::seconds(std::strtol(argv[++n], nullptr, 10));
    }
    std::printf(
        "| load | way | requests | hit rate %% | p50 ms | p99 ms | recomputed though held %% "
        "| prefill busy %% |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const double load : loads) {
        if (only > 0 && std::abs(load - only) > 0.001)
            continue;
        const auto arrivals = arrivalsForLoad(load, workload, fleet);
        std::map<measure::Way, measure::Figures> all;
        for (const auto &it : measure::wayNames) {
            if (!baselines && isBaseline(it.first))
                continue;
            all[it.first] = simulate(arrivals, it.first, fleet);
            printRow(load, it.first, all[it.first]);
        }
        if (check && !meetsAims(all))
            return 1;
    }
    return 0;
}
