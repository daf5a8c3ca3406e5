// Speeds of engines against each other, told from the pauses between the pieces of their answers.
//
// Answers the load of a service whose engines differ in speed: with prompts placed as if they were
// alike, the slow ones have queues while the fast ones rest. The time to a first token does not
// show the speed, since it holds whatever other instances sent there. Most pauses do: an engine
// makes nearly all of its pieces while it reads no prompt.

#ifndef KUMQUATHAVEN_ROUTING_ENGINESPEED_H
#define KUMQUATHAVEN_ROUTING_ENGINESPEED_H

#include "kumquathaven/base/time.h"

#include <array>
#include <cstddef>
#include <optional>

namespace kumquathaven::routing {

struct Fleet;

/// The last pauses of one upstream, as a ring.
struct EngineSpeed
{
    std::array<float, 32> seconds{};
    std::size_t samples = 0;
    /// The speed against the others' in steps of a fourth of a doubling; nothing while unknown.
    std::optional<int> speedStep;
};

/// Prompt tokens that upstreams computed in a second, each against the speed of its upstream, as a
/// ring.
struct PrefillRates
{
    std::array<float, 64> perSecond{};
    std::size_t samples = 0;
};

/// Takes note of a pause between two pieces of an answer.
void recordPause(EngineSpeed &engineSpeed, Duration pause);

/// Takes note of what decodePause() gave at another instance. It stands for several pauses.
void recordReportedPause(EngineSpeed &engineSpeed, Duration pause);

/// Returns the pause in which an upstream makes a piece while it reads no prompt, in seconds;
/// nothing before enough samples.
std::optional<double> decodePause(const EngineSpeed &engineSpeed);

/// Sets the speed steps of all upstreams of a model against the mean of their speeds. A step
/// changes only when a speed is well past the middle between two, so that instances mostly agree.
void updateSpeedSteps(Fleet &fleet, TimePoint now);

/// Takes note of the time from a send to the first token, in which an upstream computed \p tokens.
/// It is to have had no work before, as far as was known. Nothing changes while the speed of the
/// upstream is unknown.
void recordPrefill(Fleet &fleet, const EngineSpeed &engineSpeed, double tokens, Duration took);

/// Returns the speed of an upstream against the mean of its model: 1 while unknown.
double relativeSpeed(const EngineSpeed &engineSpeed);

} // namespace kumquathaven::routing

#endif // KUMQUATHAVEN_ROUTING_ENGINESPEED_H
