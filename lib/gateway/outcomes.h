// Tells servers that fail a part of their requests from what all instances see.
//
// A server may fail some requests and answer others, while its health check passes. Where there are
// many instances, each sees too few requests of one server to notice, and each of them would send
// some more. So instances count answers and errors together. The design covers services with few
// servers, of which only some may be left out at a time.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_OUTCOMES_H
#define KUMQUATHAVEN_LIB_GATEWAY_OUTCOMES_H

#include "kumquathaven/base/time.h"

#include <cstddef>
#include <cstdint>

namespace kumquathaven::gateway {

/// Numbers of requests to a server by how they ended.
struct OutcomeCounts
{
    std::int64_t answers = 0;
    std::int64_t errors = 0;
};

/// What all instances together saw of a server recently.
struct RecentOutcomes
{
    /// Exponentially decayed counts.
    double answers = 0;
    double errors = 0;
    TimePoint updatedAt{};
    /// Until this time the server counts as failing.
    TimePoint failingUntil{};
    /// Number of times in a row that it did.
    std::uint32_t failures = 0;
};

/// Adds requests that ended, here or at other instances.
void addOutcomes(RecentOutcomes &outcomes, const OutcomeCounts &counts, TimePoint now);

/// Returns whether a server fails so many of its requests that others should get them.
bool isFailing(const RecentOutcomes &outcomes, TimePoint now);

/// Returns how many out of \p servers may be left out because they fail.
std::size_t maxFailing(std::size_t servers);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_OUTCOMES_H
