// Estimates the relative speeds of engines from the pauses between the chunks of their answers.
//
// If the engines of a service differ in speed and prompts are placed as if they did not, the slow
// engines build up queues while the fast ones idle. The time to the first token does not show an
// engine's speed, since it includes the wait for requests of other instances. Most pauses between
// chunks do show it: an engine generates nearly all of its chunks while it computes no prompt.

#ifndef KUMQUATHAVEN_ROUTING_ENGINESPEED_H
#define KUMQUATHAVEN_ROUTING_ENGINESPEED_H

#include "kumquathaven/base/time.h"

#include <array>
#include <cstddef>
#include <optional>

namespace kumquathaven::routing {

struct Fleet;

/// The most recent pauses of one upstream, and the speed that is derived from them.
struct EngineSpeed
{
    /// Ring buffer of pauses in seconds.
    std::array<float, 32> seconds{};
    /// The number of pauses recorded so far, including those overwritten.
    std::size_t samples = 0;
    /// The speed relative to the mean of the model's upstreams, in steps of a quarter of a
    /// doubling. Nothing while it is unknown.
    std::optional<int> speedStep;
};

/// The most recent prefill speeds of all upstreams, each divided by the relative speed of its
/// upstream.
struct PrefillRates
{
    /// Ring buffer of speeds in prompt tokens per second.
    std::array<float, 64> perSecond{};
    /// The number of speeds recorded so far, including those overwritten.
    std::size_t samples = 0;
};

/// Records a pause between two chunks of an answer.
void recordPause(EngineSpeed &engineSpeed, Duration pause);

/// Records the result of decodePause() that another instance reported. It counts as several pauses.
void recordReportedPause(EngineSpeed &engineSpeed, Duration pause);

/// Returns the time, in seconds, in which an upstream generates a chunk while it computes no
/// prompt. Returns nothing until there are enough samples.
std::optional<double> decodePause(const EngineSpeed &engineSpeed);

/// Updates the speed step of each upstream relative to the mean speed of its model's upstreams, and
/// Fleet::meanPrefillSpeed. A step changes only when the speed is well past the middle between two
/// steps (hysteresis), so that instances mostly agree on it. May be called at any rate; calls soon
/// after an update have no effect.
void updateSpeedSteps(Fleet &fleet, TimePoint now);

/// Records the time from the sending of a request to its first token, in which an upstream computed
/// \p tokens. The upstream must have had no earlier requests as far as this instance knows. Has no
/// effect while the relative speed of the upstream is unknown.
void recordPrefill(Fleet &fleet, const EngineSpeed &engineSpeed, double tokens, Duration took);

/// Returns the speed of an upstream relative to the mean of its model's upstreams; 1 while it is
/// unknown.
double relativeSpeed(const EngineSpeed &engineSpeed);

} // namespace kumquathaven::routing

#endif // KUMQUATHAVEN_ROUTING_ENGINESPEED_H
