#include "kumquathaven/routing/enginespeed.h"

#include "kumquathaven/routing/fleet.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

namespace kumquathaven::routing {

namespace {

/// A quarter of all pauses are shorter. Even an engine that reads prompts for nine tenths of its
/// time makes most of its pieces in the rest of it.
constexpr double calmQuantile = 0.25;
/// The median: some prompts wait for work that is not known here, of others an upstream holds more
/// than is known.
constexpr double rateQuantile = 0.5;
/// Shorter prompts say more about what each request costs besides its tokens.
constexpr double leastPrefillSample = 4'096;
/// Pauses from which a quarter is two samples, so that one that was measured wrongly does not
/// decide.
constexpr std::size_t leastSamples = 8;
/// Pauses that one told by another instance counts as. The speed is known once two were told, and
/// the last eight fill the ring, so that the third shortest of them decides.
constexpr std::size_t toldWeight = leastSamples / 2;
/// Time between reviews: some pieces of most engines.
constexpr Duration reviewInterval = std::chrono::milliseconds(250);
/// Steps of 19 %, above what measurements at different instances differ by.
constexpr double stepsOfDoubling = 4;
/// Four times faster or slower than the mean: hardware of one service hardly differs by more, and
/// an engine that fails is found by its health.
constexpr int mostSteps = 8;
/// A step is left when the speed is this many steps away from it: halfway to the next one, and half
/// as much again.
constexpr double leaveAt = 0.75;

/// Returns the mean speed of each model in pieces a second.
std::map<std::string, double> meanSpeeds(const Fleet &fleet)
{
    std::map<std::string, std::pair<double, double>> sums;
    for (const UpstreamView &it : fleet.upstreams) {
        const auto pause = it.present ? decodePause(it.engineSpeed) : std::nullopt;
        if (!pause)
            continue;
        auto &[speed, count] = sums[it.model];
        speed += 1 / *pause;
        count += 1;
    }
    std::map<std::string, double> means;
    for (const auto &[model, sum] : sums)
        means[model] = sum.first / sum.second;
    return means;
}

/// Returns the value that \p share of the filled part of a ring are below.
template <std::size_t size>
double quantileOf(std::array<float, size> ring, std::size_t samples, double share)
{
    const std::size_t n = std::min(samples, size);
    const auto at = static_cast<std::ptrdiff_t>(static_cast<double>(n) * share);
    std::nth_element(ring.begin(), ring.begin() + at,
                     ring.begin() + static_cast<std::ptrdiff_t>(n));
    return ring[static_cast<std::size_t>(at)];
}

} // namespace

void recordPause(EngineSpeed &engineSpeed, Duration pause)
{
    engineSpeed.seconds[engineSpeed.samples++ % engineSpeed.seconds.size()] =
        static_cast<float>(toSeconds(pause));
}

void recordReportedPause(EngineSpeed &engineSpeed, Duration pause)
{
    for (std::size_t n = 0; n < toldWeight; ++n)
        recordPause(engineSpeed, pause);
}

std::optional<double> decodePause(const EngineSpeed &engineSpeed)
{
    if (engineSpeed.samples < leastSamples)
        return std::nullopt;
    const double pause = quantileOf(engineSpeed.seconds, engineSpeed.samples, calmQuantile);
    return pause > 0 ? std::optional<double>(pause) : std::nullopt;
}

void updateSpeedSteps(Fleet &fleet, TimePoint now)
{
    if (now - fleet.speedStepsUpdatedAt < reviewInterval)
        return;
    fleet.speedStepsUpdatedAt = now;
    const std::map<std::string, double> means = meanSpeeds(fleet);
    fleet.meanPrefillSpeed = fleet.prefillRates.samples < leastSamples
        ? fleet.policy.initialPrefillSpeed
        : quantileOf(fleet.prefillRates.perSecond, fleet.prefillRates.samples, rateQuantile);
    for (UpstreamView &it : fleet.upstreams) {
        const auto pause = it.present ? decodePause(it.engineSpeed) : std::nullopt;
        if (!pause)
            continue;
        const double steps = std::log2(1 / *pause / means.at(it.model)) * stepsOfDoubling;
        if (!it.engineSpeed.speedStep || std::abs(steps - *it.engineSpeed.speedStep) > leaveAt)
            it.engineSpeed.speedStep =
                std::clamp(static_cast<int>(std::lround(steps)), -mostSteps, mostSteps);
    }
}

void recordPrefill(Fleet &fleet, const EngineSpeed &engineSpeed, double tokens, Duration took)
{
    if (!engineSpeed.speedStep || tokens < leastPrefillSample || took <= Duration(0))
        return;
    PrefillRates &rates = fleet.prefillRates;
    rates.perSecond[rates.samples++ % rates.perSecond.size()] =
        static_cast<float>(tokens / toSeconds(took) / relativeSpeed(engineSpeed));
}

double relativeSpeed(const EngineSpeed &engineSpeed)
{
    return std::exp2(engineSpeed.speedStep.value_or(0) / stepsOfDoubling);
}

} // namespace kumquathaven::routing
