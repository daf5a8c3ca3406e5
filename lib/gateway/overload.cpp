#include "overload.h"

#include <algorithm>
#include <cmath>

namespace kumquathaven::gateway {

namespace {

/// Half-life of the counts: some requests of each instance, and well below the time that callers
/// have.
constexpr Duration countsHalfLife = std::chrono::milliseconds(700);
/// The wait that is always bearable, as a part of the objective. A prompt that takes all of it by
/// itself still gets half of what others may wait.
constexpr double leastBearable = 0.5;
/// A refused caller comes back after at least this time, since queues change within some answers.
constexpr Duration leastPause = std::chrono::milliseconds(200);
/// The latest return, as a part of the time that the caller has left: the rest is for its answer.
constexpr double latestReturn = 0.6;

} // namespace

void noteOffer(RefusalRate &rate, bool isRefused, TimePoint now)
{
    add(rate.offered, 1, now, countsHalfLife);
    add(rate.refused, isRefused ? 1 : 0, now, countsHalfLife);
}

double refusedShare(const RefusalRate &rate)
{
    // Both decay alike, so that their ratio does not change with time.
    return rate.offered.sum > 0 ? rate.refused.sum / rate.offered.sum : 0;
}

Duration bearableWait(Duration objective, Duration serviceTime)
{
    const auto least = std::chrono::duration_cast<Duration>(objective * leastBearable);
    return std::max(least, objective - serviceTime);
}

Duration comeBackAfter(const RefusalRate &rate, Duration excess, Duration timeLeft, double draw)
{
    const Duration latest = std::chrono::duration_cast<Duration>(timeLeft * latestReturn);
    const Duration soonest = std::min(std::max(excess, leastPause), latest);
    // The square root spreads callers over most of their time already at small shares.
    const double part = std::sqrt(refusedShare(rate)) * draw;
    return soonest + std::chrono::duration_cast<Duration>((latest - soonest) * part);
}

} // namespace kumquathaven::gateway
