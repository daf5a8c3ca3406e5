// Simpler ways to limit a fleet, kept to compare with: a fixed split and gossiped counters.

#ifndef KUMQUATHAVEN_LIMITS_BASELINES_H
#define KUMQUATHAVEN_LIMITS_BASELINES_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/limits/config.h"

namespace kumquathaven::limits {

/// A bucket on one instance, without any message.
struct LocalBucket
{
    double level = 0;
    TimePoint refilledAt{};
};

/// Takes tokens if the bucket has them.
bool tryTake(LocalBucket &bucket, const BucketLimits &limits, double tokens, TimePoint now);

/// Gives tokens back. A bucket never holds more than its burst.
void giveBack(LocalBucket &bucket, const BucketLimits &limits, double tokens, TimePoint now);

/// Returns one instance's part of a rate that is split evenly.
BucketLimits evenShare(const BucketLimits &limits, std::size_t instances);

/// One instance's belief about a bucket whose debits every instance tells all others.
struct GossipBucket
{
    LocalBucket estimate;
    /// Debits less refunds that the others have not been told.
    double unreported = 0;
};

/// Takes tokens by this instance's own estimate. Returns false, and takes none, if they lack.
bool tryTake(GossipBucket &bucket, const BucketLimits &limits, double tokens, TimePoint now);
/// Gives tokens back, to be told to the others like a debit.
void giveBack(GossipBucket &bucket, const BucketLimits &limits, double tokens, TimePoint now);

/// Returns what is to be told to the others, and counts it as told.
double takeUnreported(GossipBucket &bucket);

/// Takes what another instance told.
void applyDebits(GossipBucket &bucket, const BucketLimits &limits, double debits, TimePoint now);

} // namespace kumquathaven::limits

#endif // KUMQUATHAVEN_LIMITS_BASELINES_H
