#include "fleet.h"

#include <cmath>

namespace kumquathaven::limits {

void drive(Fleet &fleet, const Load &load, TimePoint end)
{
    const double output = static_cast<double>(load.maxOutput) * (load.exact ? 1 : 0.25);
    const double mean = static_cast<double>(load.maxPrompt) / 2 + output;
    const double requestsPerSecond =
        load.tokensPerSecond / mean * (load.period == Duration{} ? 1 : 5);
    const double gap = -std::log(1 - fleet.random.uniform()) / requestsPerSecond;
    TimePoint next = fleet.now() + fromSeconds(gap);
    if (load.period != Duration{}) {
        const Duration phase = next.time_since_epoch() % load.period;
        if (phase > load.period / 5)
            next += load.period - phase;
    }
    if (next > end)
        return;
    fleet.at(next, [&fleet, load, end] {
        const std::size_t entries = fleet.entryCount();
        const auto phase = static_cast<std::size_t>(toSeconds(fleet.now() - TimePoint{}) / 5);
        std::size_t entry = fleet.random.below(entries);
        if (fleet.random.uniform() < 0.6)
            entry = (phase + load.bucket.size() + load.bucket.back()) % entries;
        for (std::size_t i = 0; i < entries && !fleet.isUp(entry); ++i)
            entry = (entry + 1) % entries;
        const std::uint64_t prompt = 1 + fleet.random.below(load.maxPrompt);
        const Cost cost{prompt, load.maxOutput};
        const std::uint64_t used = prompt + fleet.random.below(load.maxOutput / 2 + 1);
        const Duration length(
            fleet.random.below(static_cast<std::uint64_t>(load.maxLength.count())));
        fleet.request(entry, load.bucket, cost, load.exact ? cost.total() : used, length);
        drive(fleet, load, end);
    });
}

} // namespace kumquathaven::limits
