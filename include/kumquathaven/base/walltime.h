// The wall clock, for times that processes on different instances compare.

#ifndef KUMQUATHAVEN_BASE_WALLTIME_H
#define KUMQUATHAVEN_BASE_WALLTIME_H

#include <chrono>
#include <cstdint>

namespace kumquathaven {

/// Returns the wall-clock time in milliseconds since 1970. Only duties call it; functions that make
/// decisions take the result as an argument.
inline std::uint64_t wallMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace kumquathaven

#endif // KUMQUATHAVEN_BASE_WALLTIME_H
