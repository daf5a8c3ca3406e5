// Time as the deciding functions see it: an argument, never a call to a clock.

#ifndef KUMQUATHAVEN_BASE_TIME_H
#define KUMQUATHAVEN_BASE_TIME_H

#include <chrono>
#include <cstdint>
#include <ctime>

namespace kumquathaven {

/// Length of a span of time. Microseconds keep token timings exact enough and fit in 64 bits.
using Duration = std::chrono::microseconds;

/// A reading of a monotonic clock. Only differences within one process have a meaning.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Returns the present time, on a clock that also counts the time in which the machine was
/// suspended: a lease must not outlive a suspension unnoticed. Only duties call it; deciding
/// functions take the result as an argument.
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

/// Returns the duration closest to a number of seconds.
inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace kumquathaven

#endif // KUMQUATHAVEN_BASE_TIME_H
