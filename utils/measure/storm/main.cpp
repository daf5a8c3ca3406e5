// Measures admission under retry storms against first come first served.
//
//   storm [SEED]            prints the tables
//   storm --check [SEED]    fails if an aim is missed

#include "simulation.h"

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>

namespace {

using namespace storm;
using kumquathaven::admission::Spread;

constexpr std::size_t baselineQueue = 2'000;
constexpr double leastShare = 0.95;
constexpr double mostQuickFactor = 1.2;

/// A way of queueing with its name in the tables.
struct Way
{
    const char *name;
    bool isAdmission;
    bool knowsRetries;
};

constexpr Way firstCome{"first come first served", false, false};
constexpr Way withoutRetries{"admission without retry knowledge", true, false};
constexpr Way admission{"admission", true, true};

std::vector<Customer> customers(double surge)
{
    return {{"a", 0.40, 1}, {"b", 0.25, 1}, {"c", 0.15, 1}, {"d", 0.12, surge}, {"e", 0.08, 1}};
}

Report runWay(const Way &way, const Scenario &scenario, Spread spread = Spread::ByIdentity)
{
    Policy policy;
    policy.spread = spread;
    const auto queue =
        way.isAdmission ? makeAdmission(policy, way.knowsRetries) : makeFirstCome(baselineQueue);
    return run(scenario, *queue);
}

void printHead()
{
    std::printf("| queue | retries | refused first attempts | worst customer's share | worst at "
                "its rate | goodput of "
                "first attempts | quick p50 s | quick p99 s | quick lost |\n"
                "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
}

void printRow(const char *name, const Report &report)
{
    std::printf("| %s | %.1f%% | %.2f%% | %.1f%% (%s) | %.1f%% | %.1f%% | %.3f | %.3f | %.2f%% |\n",
                name, 100 * report.retryPart, 100 * report.refusedFirst, 100 * report.worstShare,
                report.worstCustomer.c_str(), 100 * report.worstWithinRate, 100 * report.goodput,
                report.quickP50, report.quickP99, 100 * report.quickLost);
}

Scenario stormOf(double retryPart, double surge, std::uint64_t seed)
{
    Scenario scenario;
    scenario.customers = customers(surge);
    scenario.retryPart = retryPart;
    scenario.seed = seed;
    return scenario;
}

void printStorms(std::uint64_t seed, double surge, std::initializer_list<double> parts)
{
    printHead();
    for (const double part : parts) {
        const Scenario scenario = stormOf(part, surge, seed);
        for (const Way &way : {firstCome, withoutRetries, admission})
            printRow(way.name, runWay(way, scenario));
    }
}

Scenario outageOf(std::uint64_t seed)
{
    Scenario scenario = stormOf(0, 1, seed);
    scenario.outageAt = std::chrono::seconds(60);
    scenario.outage = std::chrono::seconds(45);
    scenario.followersOnly = true;
    return scenario;
}

void printSpreads(std::uint64_t seed)
{
    std::printf("| Retry-After | goodput | attempts for each piece of work | most arrivals in a "
                "second over the mean | quick lost |\n| --- | --- | --- | --- | --- |\n");
    const Scenario scenario = outageOf(seed);
    const std::pair<const char *, Spread> spreads[]{{"constant", Spread::Constant},
                                                    {"random", Spread::Random},
                                                    {"by identity", Spread::ByIdentity}};
    const auto row = [](const char *name, const Report &report) {
        std::printf("| %s | %.1f%% | %.2f | %.2f | %.2f%% |\n", name, 100 * report.goodput,
                    report.attempts, report.peak, 100 * report.quickLost);
    };
    row("first come first served, one second", runWay(firstCome, scenario));
    for (const auto &[name, spread] : spreads)
        row(name, runWay(admission, scenario, spread));
}

void printAll(std::uint64_t seed)
{
    std::printf("seed %llu\n\nRetry storms:\n\n", static_cast<unsigned long long>(seed));
    printStorms(seed, 1, {0.0, 0.5, 0.9, 0.95});
    std::printf("\nOne customer (d) at ten times its rate:\n\n");
    printStorms(seed, 10, {0.0, 0.9});
    std::printf("\nAn outage of 45 s:\n\n");
    printSpreads(seed);
}

/// Returns whether the aims hold, and prints each case. Under a surge the share that counts is that
/// of the customers that send at their rate. The value without the storm is that under the same
/// surge without retries.
bool check(std::uint64_t seed)
{
    bool good = true;
    const std::pair<double, double> cases[]{{0.5, 1}, {0.9, 1}, {0.95, 1}, {0.9, 10}};
    for (const auto &[part, surge] : cases) {
        const double quiet = runWay(admission, stormOf(0, surge, seed)).quickP99;
        const Report report = runWay(admission, stormOf(part, surge, seed));
        const bool isFair = report.worstWithinRate >= leastShare;
        const bool isQuick = report.quickP99 <= mostQuickFactor * quiet;
        std::printf("%s: retries %.0f%%, surge %.0f: worst share %.3f, quick p99 %.3f s (%.3f s "
                    "without the storm)\n",
                    isFair && isQuick ? "ok" : "FAILED", 100 * part, surge, report.worstWithinRate,
                    report.quickP99, quiet);
        good = good && isFair && isQuick;
    }
    return good;
}

} // namespace

int main(int argc, char **argv)
{
    const bool isCheck = argc > 1 && std::strcmp(argv[1], "--check") == 0;
    const int seedAt = isCheck ? 2 : 1;
    const std::uint64_t seed = argc > seedAt ? std::strtoull(argv[seedAt], nullptr, 10) : 1;
    if (isCheck)
        return check(seed) ? 0 : 1;
    printAll(seed);
    return 0;
}
