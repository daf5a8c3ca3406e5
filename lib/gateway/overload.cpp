#include "overload.h"

#include <algorithm>
#include <cmath>

namespace kumquathaven::gateway {

namespace {

/// Half-life of the counts: long enough for some requests of each instance, and well below the time
/// that callers allow.
constexpr Duration countHalfLife = std::chrono::milliseconds(700);
/// Wait that is always tolerated, as a share of the objective. A prompt that takes up the whole
/// objective by itself may still wait half as long as the objective.
constexpr double minWaitShare = 0.5;
/// Minimum time after which a refused caller retries, since queues change within a few answers.
constexpr Duration minRetryDelay = std::chrono::milliseconds(200);
/// Maximum retry delay as a share of the caller's remaining time; the remainder is for the answer.
constexpr double maxRetryShare = 0.6;

} // namespace

void recordRequest(RefusalRate &rate, bool isRefused, TimePoint now)
{
    add(rate.offered, 1, now, countHalfLife);
    add(rate.refused, isRefused ? 1 : 0, now, countHalfLife);
}

double refusedShare(const RefusalRate &rate)
{
    // Both counts decay at the same rate, so that their ratio does not change with time.
    return rate.offered.sum > 0 ? rate.refused.sum / rate.offered.sum : 0;
}

Duration toleratedWait(Duration objective, Duration serviceTime)
{
    const auto minWait = std::chrono::duration_cast<Duration>(objective * minWaitShare);
    return std::max(minWait, objective - serviceTime);
}

Duration retryDelay(const RefusalRate &rate, Duration excess, Duration timeLeft, double draw)
{
    const Duration latest = std::chrono::duration_cast<Duration>(timeLeft * maxRetryShare);
    const Duration earliest = std::min(std::max(excess, minRetryDelay), latest);
    // The square root spreads callers over most of their time even if the share is small.
    const double share = std::sqrt(refusedShare(rate)) * draw;
    return earliest + std::chrono::duration_cast<Duration>((latest - earliest) * share);
}

} // namespace kumquathaven::gateway
