// Parses the platform's list of entry instances and derives hints from it.
//
// The list may be out of date. A hint only keeps an entry from being named to callers. The entry's
// own state is authoritative, so a line of the list is ignored if the entry announced its state
// after the time of the line.

#ifndef KUMQUATHAVEN_LIB_CONTROL_PLATFORMLIST_H
#define KUMQUATHAVEN_LIB_CONTROL_PLATFORMLIST_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/base/time.h"
#include "kumquathaven/catalogue/change.h"
#include "kumquathaven/control/liveness.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace kumquathaven::control {

/// State of an instance according to the platform.
enum class ListedState { Live, Leaving, Gone };

/// One line of the list.
struct ListedInstance
{
    ListedState state = ListedState::Live;
    /// When the instance entered this state according to the platform, on this process's clock.
    TimePoint at;
    /// The same time in milliseconds since 1970 on the platform's clock.
    std::uint64_t since = 0;
};

/// A complete list, keyed by instance name.
struct PlatformList
{
    TimePoint writtenAt;
    std::map<std::string, ListedInstance> instances;
};

/// The present time on the wall clock, which the list uses, and on this process's monotonic clock.
struct ClockReading
{
    std::chrono::system_clock::time_point wall;
    TimePoint monotonic;
};

/// Maximum size of a list in bytes.
constexpr std::size_t maxPlatformListBytes = std::size_t{2} * 1024 * 1024;

/// Parses a list of JSON lines. The first line has "format", "version" and "writtenAt", each other
/// line "instance", "state" and "at"; times are in seconds since 1970. Fails with InvalidRequest,
/// naming the line, if a line is malformed or a time is more than 5 s in the future, or with
/// TooLarge if the list exceeds maxPlatformListBytes.
Result<PlatformList> parsePlatformList(std::string_view text, const std::string &name,
                                       const ClockReading &now);

/// Returns the changes that bring the hints in line with \p list; a null list removes all hints. A
/// new hint requires a line that is later than the state which the instance announced. A "gone"
/// line is ignored if there is a later heartbeat of the instance.
std::vector<catalogue::HintInstance> decideHints(const catalogue::Instances &instances,
                                                 const PlatformList *list,
                                                 const Liveness &liveness);

} // namespace kumquathaven::control

#endif // KUMQUATHAVEN_LIB_CONTROL_PLATFORMLIST_H
