// Types of time and the monotonic clock. Functions that make decisions take the time as an argument
// and never read a clock.

#ifndef KUMQUATHAVEN_BASE_TIME_H
#define KUMQUATHAVEN_BASE_TIME_H

#include <chrono>
#include <cstdint>
#include <ctime>

namespace kumquathaven {

/// A length of time. Microseconds are precise enough for token timings and fit in 64 bits.
using Duration = std::chrono::microseconds;

/// A reading of a monotonic clock. Only differences between readings of one process are meaningful.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Returns the present time on a monotonic clock that also advances while the machine is suspended,
/// so that a lease cannot silently outlive a suspension. Only duties call it; functions that make
/// decisions take the result as an argument.
inline TimePoint monotonicNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(now.tv_sec)
                                                          + std::chrono::nanoseconds(now.tv_nsec)));
}

/// Returns a duration in seconds as a floating-point number.
inline double toSeconds(Duration d)
{
    return std::chrono::duration<double>(d).count();
}

/// Returns a number of seconds as a duration, truncated to microseconds.
inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace kumquathaven

#endif // KUMQUATHAVEN_BASE_TIME_H
