#include "kumquathaven/limits/baselines.h"

#include <algorithm>

namespace kumquathaven::limits {

namespace {

void refillLocal(LocalBucket &bucket, const BucketLimits &limits, TimePoint now)
{
    const double elapsed =
        bucket.refilledAt == TimePoint{} ? 0 : toSeconds(now - bucket.refilledAt);
    if (bucket.refilledAt == TimePoint{})
        bucket.level = limits.burst;
    bucket.level = std::min(limits.burst, bucket.level + limits.rate * elapsed);
    bucket.refilledAt = now;
}

} // namespace

bool tryTake(LocalBucket &bucket, const BucketLimits &limits, double tokens, TimePoint now)
{
    refillLocal(bucket, limits, now);
    if (bucket.level < tokens)
        return false;
    bucket.level -= tokens;
    return true;
}

void giveBack(LocalBucket &bucket, const BucketLimits &limits, double tokens, TimePoint now)
{
    refillLocal(bucket, limits, now);
    bucket.level = std::min(limits.burst, bucket.level + tokens);
}

BucketLimits evenShare(const BucketLimits &limits, std::size_t instances)
{
    const auto parts = static_cast<double>(instances);
    return {limits.rate / parts, limits.burst / parts};
}

bool tryTake(GossipBucket &bucket, const BucketLimits &limits, double tokens, TimePoint now)
{
    if (!tryTake(bucket.estimate, limits, tokens, now))
        return false;
    bucket.unreported += tokens;
    return true;
}

void giveBack(GossipBucket &bucket, const BucketLimits &limits, double tokens, TimePoint now)
{
    giveBack(bucket.estimate, limits, tokens, now);
    bucket.unreported -= tokens;
}

double takeUnreported(GossipBucket &bucket)
{
    const double unreported = bucket.unreported;
    bucket.unreported = 0;
    return unreported;
}

void applyDebits(GossipBucket &bucket, const BucketLimits &limits, double debits, TimePoint now)
{
    giveBack(bucket.estimate, limits, -debits, now);
}

} // namespace kumquathaven::limits
