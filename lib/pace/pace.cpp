#include "kumquathaven/pace/pace.h"

#include <algorithm>

namespace kumquathaven::pace {

namespace {

constexpr double growth = 2;
/// An answer is late if it takes this many times longer than expected, and longer by the margin.
/// Other instances may have sent work that this one did not know of yet.
constexpr double lateFactor = 2;
constexpr Duration lateMargin = std::chrono::milliseconds(50);

void setShare(Pace &pace, double share)
{
    pace.window *= share / pace.share;
    pace.share = share;
    pace.completed = 0;
}

} // namespace

void begin(Pace &pace, TimePoint now)
{
    pace = {};
    pace.isPaced = true;
    pace.share = initialShare;
    pace.begunAt = now;
}

bool mayTake(Pace &pace, double waiting, double fullWindow)
{
    if (!pace.isPaced)
        return true;
    const double window = fullWindow * pace.share;
    // Requests differ in the wait that they tolerate. The least tolerant ones set the pace.
    pace.window = pace.window > 0 ? std::min(pace.window, window) : window;
    return waiting <= 0 || waiting < window;
}

bool recordCompleted(Pace &pace, double work)
{
    if (!pace.isPaced)
        return false;
    pace.completed += work;
    // Without a window there was no request to this server that could wait.
    if (pace.window <= 0 || pace.completed < pace.window)
        return false;
    if (pace.share >= 1) {
        pace.isPaced = false;
        return true;
    }
    ++pace.doublings;
    setShare(pace, std::min(1.0, pace.share * growth));
    return false;
}

void recordAnswer(Pace &pace, Duration expected, Duration took)
{
    const bool isLate =
        toSeconds(took) > lateFactor * toSeconds(expected) && took > expected + lateMargin;
    if (!pace.isPaced || !isLate)
        return;
    ++pace.setbacks;
    setShare(pace, std::max(initialShare, pace.share / growth));
}

void recordFailure(Pace &pace)
{
    if (!pace.isPaced)
        return;
    ++pace.setbacks;
    setShare(pace, initialShare);
}

} // namespace kumquathaven::pace
