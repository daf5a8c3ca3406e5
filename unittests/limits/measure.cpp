// Compares the limits with the baselines of baselines.h, and measures their processor time and
// memory. Usage: limits_measure SEED CUSTOMERS ENTRIES SECONDS.

#include "fleet.h"

#include "kumquathaven/limits/baselines.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <malloc.h>

using namespace kumquathaven;
using namespace kumquathaven::limits;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration gossipInterval = milliseconds(100);
constexpr Duration oneWay = milliseconds(1);
/// One in this many customers requests more tokens than its rate, by greedyFactor.
constexpr std::size_t greedyOneIn = 5;
constexpr double greedyFactor = 10;
/// Customers over their rate send requests in bursts at this interval, and use all the tokens that
/// they reserve.
constexpr Duration greedyPeriod = seconds(5);

struct Figures
{
    double over = 0;
    std::uint64_t requestedInside = 0;
    std::uint64_t wrongful = 0;
    /// Tokens that the customers over their rate got, and that the reference bucket gave them.
    double greedyTokens = 0;
    double greedyReference = 0;
};

std::map<std::string, BucketLimits> makeLimits(std::size_t customers)
{
    std::map<std::string, BucketLimits> limits;
    for (std::size_t i = 0; i < customers; ++i) {
        const double rate = customers <= 5 ? 20000.0 / static_cast<double>(i + 1)
                                           : 8000.0 / static_cast<double>(1 + i % 8);
        limits["customer/" + std::to_string(i)] = {rate, 4 * rate + 8000};
    }
    return limits;
}

Figures figuresOf(const std::map<std::string, Tally> &tallies,
                  const std::map<std::string, BucketLimits> &limits)
{
    Figures figures;
    for (const auto &[bucket, tally] : tallies) {
        figures.over += maxExcessTokens(tally.spends, limits.at(bucket));
        if (tally.refusedByReference == 0) {
            figures.requestedInside += tally.requested;
            figures.wrongful += tally.refused;
        } else {
            figures.greedyTokens += tally.tokens;
            figures.greedyReference += tally.referenceTokens;
        }
    }
    return figures;
}

void print(const char *limiter, const Figures &figures, double messagesPerSecond)
{
    std::printf(
        "%-12s over %9.0f tokens   refused inside the rate %6llu of %8llu (%.3f%%)   over-rate "
        "customers got %.1f%%   %.0f messages/s\n",
        limiter, figures.over, static_cast<unsigned long long>(figures.wrongful),
        static_cast<unsigned long long>(figures.requestedInside),
        100.0 * static_cast<double>(figures.wrongful)
            / static_cast<double>(std::max<std::uint64_t>(1, figures.requestedInside)),
        100.0 * figures.greedyTokens / std::max(1.0, figures.greedyReference), messagesPerSecond);
}

/// Replays the fleet's arrivals against a baseline that decides on each instance alone.
template <typename BucketType, typename LimitsOf>
std::map<std::string, Tally> replay(const Fleet &fleet, std::size_t entries,
                                    const std::map<std::string, BucketLimits> &limits,
                                    LimitsOf limitsOf, bool isGossip)
{
    std::map<std::string, Tally> tallies = fleet.tallies;
    for (auto &[name, it] : tallies) {
        it.refused = 0;
        it.tokens = 0;
        it.spends.clear();
    }
    std::vector<std::map<std::string, BucketType>> nodes(entries);
    struct Refund
    {
        TimePoint at{};
        std::size_t entry = 0;
        std::string bucket;
        double tokens = 0;
    };
    const auto isLater = [](const Refund &a, const Refund &b) {
        return a.at > b.at;
    };
    std::vector<Refund> refunds;
    TimePoint gossipAt = fleet.arrivals.front().at;
    const auto refundUntil = [&](TimePoint until) {
        while (!refunds.empty() && refunds.front().at <= until) {
            std::pop_heap(refunds.begin(), refunds.end(), isLater);
            const Refund it = refunds.back();
            refunds.pop_back();
            giveBack(nodes[it.entry][it.bucket], limitsOf(limits.at(it.bucket)), it.tokens, it.at);
        }
    };
    for (const Arrival &it : fleet.arrivals) {
        while (isGossip && gossipAt + gossipInterval <= it.at) {
            gossipAt += gossipInterval;
            refundUntil(gossipAt);
            if constexpr (std::is_same_v<BucketType, GossipBucket>) {
                for (std::size_t from = 0; from < entries; ++from) {
                    for (auto &[name, bucket] : nodes[from]) {
                        const double unreported = takeUnreported(bucket);
                        for (std::size_t to = 0; unreported != 0 && to < entries; ++to) {
                            if (to != from)
                                applyDebits(nodes[to][name], limits.at(name), unreported,
                                            gossipAt + oneWay);
                        }
                    }
                }
            }
        }
        refundUntil(it.at);
        Tally &tally = tallies[it.bucket];
        const auto total = static_cast<double>(it.cost.total());
        const BucketLimits own = limitsOf(limits.at(it.bucket));
        if (!tryTake(nodes[it.entry][it.bucket], own, total, it.at)) {
            ++tally.refused;
            continue;
        }
        tally.tokens += static_cast<double>(it.used);
        tally.spends.push_back({it.at, static_cast<double>(it.used)});
        refunds.push_back(
            {it.at + it.length, it.entry, it.bucket, total - static_cast<double>(it.used)});
        std::push_heap(refunds.begin(), refunds.end(), isLater);
    }
    return tallies;
}

void compareLimiters(std::uint64_t seed, std::size_t customers, std::size_t entries, int length)
{
    const std::map<std::string, BucketLimits> limits = makeLimits(customers);
    Fleet fleet(seed, entries, limits, Config{});
    fleet.run(fleet.now() + seconds(20));
    std::size_t i = 0;
    for (const auto &[bucket, it] : limits) {
        const bool greedy = i++ % greedyOneIn == greedyOneIn - 1;
        drive(fleet,
              {bucket, it.rate * (greedy ? greedyFactor : 0.3 + 0.1 * static_cast<double>(i % 5)),
               1000, 500, seconds(4), greedy, greedy ? greedyPeriod : Duration{}},
              fleet.now() + seconds(length));
    }
    const std::uint64_t before = fleet.messages;
    const auto started = std::chrono::steady_clock::now();
    fleet.run(fleet.now() + seconds(length));
    const double elapsed =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
    const double messages = static_cast<double>(fleet.messages - before) / length;
    std::printf("%zu requests in %d s, %.1f us of processor time for each, everything included\n",
                fleet.arrivals.size(), length,
                1e6 * elapsed / static_cast<double>(fleet.arrivals.size()));
    print("slices", figuresOf(fleet.tallies, limits), messages);
    const auto part = [&](const BucketLimits &it) {
        return evenShare(it, entries);
    };
    print("fixed split",
          figuresOf(replay<LocalBucket>(fleet, entries, limits, part, false), limits), 0);
    const auto unchanged = [](const BucketLimits &it) {
        return it;
    };
    print("gossip",
          figuresOf(replay<GossipBucket>(fleet, entries, limits, unchanged, true), limits),
          static_cast<double>(entries * (entries - 1)) / toSeconds(gossipInterval));
}

/// Measures the time of reservations that need no tokens from another instance.
void timeDecisions()
{
    Node node = makeNode("entry0", 1, Config{});
    catalogue::Instances instances;
    instances.epoch = 1;
    instances.entries["entry0"].name = "entry0";
    instances.entries["entry0"].incarnation = 1;
    const auto shared = std::make_shared<const catalogue::Instances>(instances);
    const std::map<std::string, BucketLimits> limits = {{"customer/x", {1e9, 1e12}}};
    TimePoint now = TimePoint{} + seconds(100);
    Effects effects;
    for (int i = 0; i < 400; ++i) {
        now += milliseconds(50);
        configure(node, shared, limits, now, now, effects);
        tick(node, now, effects);
    }
    constexpr int count = 1000000;
    const std::vector<Draw> draws = {{"customer/x", limits.at("customer/x")}};
    std::uint64_t admitted = 0;
    const auto started = std::chrono::steady_clock::now();
    for (int i = 0; i < count; ++i) {
        now += Duration(10);
        effects.messages.clear();
        effects.resolutions.clear();
        const Decision decision = reserve(node, draws, {100, 100}, now, effects);
        admitted += decision.kind == Decision::Kind::Admitted ? 1 : 0;
        settle(node, decision.reservation, 150, now, effects);
        if (i % 500 != 0)
            continue;
        configure(node, shared, limits, now, now, effects);
        tick(node, now, effects);
    }
    const double elapsed =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
    std::printf("%.2f us for a reservation and its settlement; %.1f%% decided without a wait\n",
                1e6 * elapsed / count, 100.0 * static_cast<double>(admitted) / count);
}

/// Measures the memory of one node that keeps its part of the buckets and spends from all of them.
void measureMemory(std::size_t customers, std::size_t entries)
{
    const std::map<std::string, BucketLimits> limits = makeLimits(customers);
    Fleet fleet(1, entries, limits, Config{});
    fleet.run(fleet.now() + seconds(20));
    for (const auto &[bucket, it] : limits) {
        for (std::size_t entry = 0; entry < entries; ++entry)
            fleet.request(entry, bucket, {10, 10}, 15, seconds(60));
    }
    fleet.run(fleet.now() + seconds(2));
    const Node copied = fleet.node(0);
    const std::size_t before = mallinfo2().uordblks;
    const auto node = std::make_unique<Node>(copied);
    const std::size_t bytes = mallinfo2().uordblks - before;
    std::printf("%zu customers, %zu entries: %zu bytes a customer on one instance\n", customers,
                entries, bytes / customers);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 5) {
        std::fprintf(stderr, "usage: limits_measure SEED CUSTOMERS ENTRIES SECONDS\n");
        return 2;
    }
    const std::uint64_t seed = std::strtoull(argv[1], nullptr, 10);
    const std::size_t customers = std::strtoull(argv[2], nullptr, 10);
    const std::size_t entries = std::strtoull(argv[3], nullptr, 10);
    const int length = static_cast<int>(std::strtol(argv[4], nullptr, 10));
    compareLimiters(seed, customers, entries, length);
    timeDecisions();
    measureMemory(customers, entries);
    return 0;
}
