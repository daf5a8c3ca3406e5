// Times and sizes of the fleet-wide limits.

#ifndef KUMQUATHAVEN_LIMITS_CONFIG_H
#define KUMQUATHAVEN_LIMITS_CONFIG_H

#include "kumquathaven/base/time.h"

#include <cstdint>

namespace kumquathaven::limits {

/// All times are far above the round trip between instances and far below what a caller waits.
struct Config
{
    /// How long granted tokens may be spent without another answer from the home.
    Duration sessionLife = std::chrono::seconds(2);
    /// What a home waits beyond that before it counts the tokens as spent, for clock drift.
    Duration driftMargin = std::chrono::milliseconds(100);
    /// The bound on the age of the freshness proof, under which an epoch may be acted upon.
    Duration freshnessBound = std::chrono::seconds(5);
    /// How long a request may wait for tokens before it is refused.
    Duration maxWait = std::chrono::milliseconds(500);
    /// When a spender turns from a silent home to the next member of the group.
    Duration answerTimeout = std::chrono::milliseconds(60);
    /// Time between reports of what was spent, while more is expected to be.
    Duration reportInterval = std::chrono::milliseconds(500);
    /// The same if nothing more is expected, or if the home waits for the report.
    Duration promptReportInterval = std::chrono::milliseconds(100);
    /// A slice covers the use expected in this time. One that is smaller than a request is not
    /// held.
    Duration sliceHorizon = std::chrono::seconds(2);
    /// How long a slice is kept at least.
    Duration minSliceTime = std::chrono::milliseconds(200);
    /// A standby that heard from the home more recently does not take over.
    Duration takeoverTimeout = std::chrono::milliseconds(60);
    /// When an unanswered message between members of a group is sent again.
    Duration resendInterval = std::chrono::milliseconds(30);
    /// Requests of one instance that may wait for tokens.
    std::uint32_t maxWaiting = 4096;
};

/// Rate and burst of one bucket, in tokens.
struct BucketLimits
{
    double rate = 0;
    double burst = 0;
};

} // namespace kumquathaven::limits

#endif // KUMQUATHAVEN_LIMITS_CONFIG_H
