// A small fleet of engines for the routing tests.

#ifndef KUMQUATHAVEN_UNITTESTS_ROUTING_FIXTURE_H
#define KUMQUATHAVEN_UNITTESTS_ROUTING_FIXTURE_H

#include "kumquathaven/routing/choice.h"

#include <string>

namespace routingtest {

using namespace kumquathaven;
using namespace kumquathaven::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t blockTokens = 4;
constexpr std::uint64_t incarnation = 77;

/// Returns a text of \p blocks complete blocks. Blocks with different numbers below 64 differ.
inline std::string text(std::size_t blocks, char first = 'a')
{
    std::string all;
    for (std::size_t n = 0; n < blocks; ++n)
        all += std::string(15, first) + static_cast<char>('0' + n % 64);
    return all;
}

/// Returns the chain of such a text for model "m".
inline PrefixChain chain(std::size_t blocks, const std::string &customer = "c",
                         const std::string &version = "1", char first = 'a')
{
    return {{customer, "m", {}, version}, text(blocks, first), blockTokens};
}

/// A fleet of \p n engines named e0, e1, ..., each with an open event stream and an empty queue.
/// Its clock is advanced by the tests.
struct Engines
{
    explicit Engines(std::size_t n, const Policy &policy = Policy())
        : fleet(policy)
    {
        for (std::size_t i = 0; i < n; ++i) {
            const Slot slot = addUpstream(fleet, "e" + std::to_string(i), "m", "1", now);
            recordStreamOpened(fleet, slot, incarnation, now);
            report(slot, 0);
        }
    }

    /// Applies a load report of the current time, from the incarnation \p from.
    void report(Slot slot, std::uint64_t waitingTokens, std::uint64_t from = incarnation)
    {
        LoadReport report;
        report.incarnation = from;
        report.measuredAt = now;
        report.waiting = waitingTokens > 0 ? 1 : 0;
        report.waitingTokens = waitingTokens;
        applyLoad(fleet, slot, report, now);
    }

    /// Applies a cache event.
    EventResult event(Slot slot, std::uint64_t sequence, bool stored, const PrefixChain &blocks,
                      std::uint64_t from = incarnation)
    {
        return applyEvent(fleet, slot, {from, sequence, stored, blocks.blocks()}, now);
    }

    /// Returns the prompt tokens that an engine is expected to cache.
    double cached(Slot slot, const PrefixChain &prompt) const
    {
        return expectedCachedTokens(fleet, prompt, now).at(slot);
    }

    /// Returns a request with every engine as a candidate.
    Request request(const PrefixChain &prompt) const
    {
        Request request;
        request.chains.push_back(prompt);
        for (Slot slot = 0; slot < fleet.upstreams.size(); ++slot)
            request.candidates.push_back(slot);
        return request;
    }

    TimePoint now{seconds(1000)};
    Fleet fleet;
};

} // namespace routingtest

#endif // KUMQUATHAVEN_UNITTESTS_ROUTING_FIXTURE_H
