// Finds the pace at which a server that has just started or recovered takes work.
//
// Such a server has no backlog, so that all instances prefer it at the same moment, before the
// first of them has seen how fast it answers. It is flooded if it is still slow, and left idle if
// it is given a fixed time to warm up. Here the work that may wait at the server is bounded by a
// window that doubles with each window of work that the server completes, whoever sent it, and that
// shrinks when answers are late or fail. A slow server thus gets more work only as fast as it
// answers.
//
// Work is counted in prompt tokens at engines, and in requests at other servers. The functions are
// pure: what was observed and the current time are arguments. The state is lost with its instance,
// which then takes the servers that it finds as having their full pace.

#ifndef KUMQUATHAVEN_PACE_PACE_H
#define KUMQUATHAVEN_PACE_PACE_H

#include "kumquathaven/base/time.h"

#include <cstdint>

namespace kumquathaven::pace {

/// The window of a server that begins, as a share of its full window. A server that is this much
/// slower than expected still answers the work in it within the tolerated wait.
constexpr double initialShare = 1.0 / 8;

/// State of one start of a server at one instance.
struct Pace
{
    /// Whether the window applies. A server that is not paced takes what other rules allow.
    bool isPaced = false;
    /// The window as a share of the full one, from initialShare to 1.
    double share = 1;
    /// Work completed since the window last changed, and the window in the same unit; zero until a
    /// request asked for it.
    double completed = 0;
    double window = 0;
    TimePoint begunAt{};
    /// For logs: how often the window doubled, and how often it shrank.
    std::uint32_t doublings = 0;
    std::uint32_t setbacks = 0;
};

/// Paces a server that has just started or recovered.
void begin(Pace &pace, TimePoint now);

/// Returns whether a request may be sent to a server at which \p waiting work of all instances
/// waits. \p fullWindow is the work that the server is expected to complete in the wait that the
/// request's objective tolerates. An idle server always takes a request.
bool mayTake(Pace &pace, double waiting, double fullWindow);

/// Records work that the server completed, for this instance or another one. Returns whether the
/// server has reached its full pace with it.
bool recordCompleted(Pace &pace, double work);

/// Records an answer to this instance that began after \p took, though \p expected was the time for
/// the work that waited there. Halves the window if that is late.
void recordAnswer(Pace &pace, Duration expected, Duration took);

/// Records that the server refused a request or failed under it. The window begins anew.
void recordFailure(Pace &pace);

} // namespace kumquathaven::pace

#endif // KUMQUATHAVEN_PACE_PACE_H
