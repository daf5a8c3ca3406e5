#include "overload.h"

#include <algorithm>
#include <cmath>

namespace kumquathaven::gateway {

namespace {

/// Half-life of the counts: some requests of each instance, and well below the time that callers
/// have.
constexpr Duration countHalfLife = std::chrono::milliseconds(700);
/// The wait that is always bearable, as a part of the objective. A prompt that takes all of it by
/// itself still gets half of what others may wait.
constexpr double minWaitShare = 0.5;
/// A refused caller comes back after at least this time, since queues change within some answers.
constexpr Duration minRetryDelay = std::chrono::milliseconds(200);
/// The latest return, as a part of the time that the caller has left: the rest is for its answer.
constexpr double maxRetryShare = 0.6;

} // namespace

void recordRequest(RefusalRate &rate, bool isRefused, TimePoint now)
{
    add(rate.offered, 1, now, countHalfLife);
    add(rate.refused, isRefused ? 1 : 0, now, countHalfLife);
}

double refusedShare(const RefusalRate &rate)
{
    // Both decay alike, so that their ratio does not change with time.
    return rate.offered.sum > 0 ? rate.refused.sum / rate.offered.sum : 0;
}

Duration toleratedWait(Duration objective, Duration ownTime)
{
    const auto minWait = std::chrono::duration_cast<Duration>(objective * minWaitShare);
    return std::max(minWait, objective - ownTime);
}

Duration retryDelay(const RefusalRate &rate, Duration excess, Duration timeLeft, double draw)
{
    const Duration latest = std::chrono::duration_cast<Duration>(timeLeft * maxRetryShare);
    const Duration earliest = std::min(std::max(excess, minRetryDelay), latest);
    // The square root spreads callers over most of their time already at small shares.
    const double share = std::sqrt(refusedShare(rate)) * draw;
    return earliest + std::chrono::duration_cast<Duration>((latest - earliest) * share);
}

} // namespace kumquathaven::gateway
