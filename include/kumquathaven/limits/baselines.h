// Baseline rate limiters that the slices of spender.h are compared with: a fixed split of the rate
// between instances, and counters that instances gossip.

#ifndef KUMQUATHAVEN_LIMITS_BASELINES_H
#define KUMQUATHAVEN_LIMITS_BASELINES_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/limits/config.h"

namespace kumquathaven::limits {

/// A token bucket that one instance keeps without exchanging messages.
struct LocalBucket
{
    double level = 0;
    TimePoint refilledAt{};
};

/// Takes tokens from the bucket. Returns false, and takes none, if it holds too few.
bool tryTake(LocalBucket &bucket, const BucketLimits &limits, double tokens, TimePoint now);

/// Returns tokens to the bucket, which never holds more than its burst.
void giveBack(LocalBucket &bucket, const BucketLimits &limits, double tokens, TimePoint now);

/// Returns the rate and burst of one instance if both are split evenly between \p instances.
BucketLimits evenShare(const BucketLimits &limits, std::size_t instances);

/// One instance's estimate of a shared bucket. Every instance sends its debits to all others.
struct GossipBucket
{
    LocalBucket estimate;
    /// Debits minus refunds, in tokens, that have not been sent to the other instances.
    double unreported = 0;
};

/// Takes tokens if this instance's estimate allows it. Returns false, and takes none, otherwise.
bool tryTake(GossipBucket &bucket, const BucketLimits &limits, double tokens, TimePoint now);
/// Returns tokens to the bucket. The refund is reported to the other instances like a debit.
void giveBack(GossipBucket &bucket, const BucketLimits &limits, double tokens, TimePoint now);

/// Returns the debits minus refunds to send to the other instances, and marks them as reported.
double takeUnreported(GossipBucket &bucket);

/// Applies the debits minus refunds, in tokens, that another instance reported.
void applyDebits(GossipBucket &bucket, const BucketLimits &limits, double debits, TimePoint now);

} // namespace kumquathaven::limits

#endif // KUMQUATHAVEN_LIMITS_BASELINES_H
