// Timeouts, intervals and sizes of the fleet-wide rate limits.

#ifndef KUMQUATHAVEN_LIMITS_CONFIG_H
#define KUMQUATHAVEN_LIMITS_CONFIG_H

#include "kumquathaven/base/time.h"

#include <cstdint>

namespace kumquathaven::limits {

/// Configuration of the fleet-wide limits. All times are far longer than a round trip between
/// instances and far shorter than callers wait for an answer.
struct Config
{
    /// How long a spender may spend granted tokens without another answer from the home.
    Duration sessionLife = std::chrono::seconds(2);
    /// How much longer than sessionLife a home waits before it counts the tokens as spent. It
    /// covers clock drift.
    Duration driftMargin = std::chrono::milliseconds(100);
    /// The maximum age of the freshness proof. An instance does not act as a home under an epoch
    /// whose proof is older.
    Duration freshnessBound = std::chrono::seconds(5);
    /// How long a request may wait for tokens before it is refused.
    Duration maxWait = std::chrono::milliseconds(500);
    /// How long a spender waits for an answer before it sends its request again. From the second
    /// unanswered request on it turns to the next member of the group.
    Duration answerTimeout = std::chrono::milliseconds(60);
    /// Time between a spender's reports of spent tokens while it expects to spend more.
    Duration reportInterval = std::chrono::milliseconds(500);
    /// Time between a spender's reports if it expects to spend nothing more, or if the home needs
    /// the report to refill the bucket.
    Duration promptReportInterval = std::chrono::milliseconds(100);
    /// A slice covers the use expected in this time. A spender holds no slice that would be smaller
    /// than an average request.
    Duration sliceHorizon = std::chrono::seconds(2);
    /// The minimum time for which a spender keeps a slice before it returns surplus tokens.
    Duration minSliceTime = std::chrono::milliseconds(200);
    /// A standby does not take over if its last message from the home is younger than this.
    Duration takeoverTimeout = std::chrono::milliseconds(60);
    /// Time after which a member of a group resends an unanswered message to another member.
    Duration resendInterval = std::chrono::milliseconds(30);
    /// The largest number of requests that may wait for tokens on one instance.
    std::uint32_t maxWaiting = 4096;
};

/// Rate of one bucket, in tokens per second, and its burst, in tokens.
struct BucketLimits
{
    double rate = 0;
    double burst = 0;
};

} // namespace kumquathaven::limits

#endif // KUMQUATHAVEN_LIMITS_CONFIG_H
