// Prints what one decision costs, in time and memory, by the number of upstreams.

#include "kumquathaven/routing/choice.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <initializer_list>
#include <string>
#include <vector>

namespace routing = kumquathaven::routing;
using kumquathaven::TimePoint;

namespace {

constexpr std::uint32_t blockTokens = 4000;
constexpr std::size_t promptBlocks = 8;
constexpr int rounds = 2000;
constexpr std::size_t blocksOfEach = 80;

routing::PrefixChain chain(std::size_t n)
{
    const std::string customer = "customer" + std::to_string(n % 50);
    const std::string text(promptBlocks * blockTokens * 4 + 500, static_cast<char>('a' + n % 26));
    return {{customer, "m", {}, "1"}, text, blockTokens};
}

/// A fleet in which every upstream holds about as many blocks as its cache takes.
routing::Fleet fleetOf(std::size_t upstreams, const std::vector<routing::PrefixChain> &chains,
                       TimePoint now)
{
    routing::Policy policy;
    policy.maxBlocks = 1000000;
    routing::Fleet fleet(policy);
    fleet.entries = 8;
    for (std::size_t n = 0; n < upstreams; ++n) {
        const auto slot = addUpstream(fleet, "engine" + std::to_string(n), "m", "1", now);
        recordStreamOpened(fleet, slot, 1, now);
        std::uint64_t sequence = 1;
        for (std::size_t i = 0; i < blocksOfEach / promptBlocks; ++i)
            applyEvent(fleet, slot,
                       {1, sequence++, true, chains[(n * 7 + i) % chains.size()].blocks()}, now);
    }
    return fleet;
}

} // namespace

int main()
{
    std::vector<routing::PrefixChain> chains;
    for (std::size_t n = 0; n < 200; ++n)
        chains.push_back(chain(n));
    std::printf("| upstreams | p50 us | p99 us | index bytes | bytes of one decision |\n"
                "| --- | --- | --- | --- | --- |\n");
    const TimePoint now(std::chrono::hours(1));
    for (const std::size_t upstreams : {18, 100, 300, 1000}) {
        const routing::Fleet fleet = fleetOf(upstreams, chains, now);
        std::vector<double> took;
        for (int n = 0; n < rounds; ++n) {
            routing::Request request;
            request.chains.push_back(chains[static_cast<std::size_t>(n) % chains.size()]);
            for (routing::Slot slot = 0; slot < upstreams; ++slot)
                request.candidates.push_back(slot);
            const auto begin = std::chrono::steady_clock::now();
            const auto choice = choose(fleet, request, now);
            const auto end = std::chrono::steady_clock::now();
            if (choice)
                took.push_back(std::chrono::duration<double, std::micro>(end - begin).count());
        }
        std::sort(took.begin(), took.end());
        // Three tables over all upstreams and the list of candidates.
        const std::size_t scratch = upstreams * (2 * sizeof(double) + sizeof(std::size_t) + 80);
        std::printf("| %zu | %.1f | %.1f | %zu | %zu |\n", upstreams, took[took.size() / 2],
                    took[took.size() * 99 / 100], fleet.index.bytes(), scratch);
    }
    return 0;
}
