#include "kumquathaven/routing/enginespeed.h"

#include "kumquathaven/routing/fleet.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

namespace kumquathaven::routing {

namespace {

/// The quantile of the pauses that is taken as the pause between chunks while no prompt is
/// computed. Even an engine that computes prompts for nine tenths of its time generates most of its
/// chunks in the remaining tenth.
constexpr double decodeQuantile = 0.25;
/// The quantile of the prefill speeds that is taken as the mean speed. It is the median because
/// some samples are too low, since their prompts waited for requests unknown to this instance, and
/// others too high, since the upstream cached more of the prompt than this instance knew.
constexpr double rateQuantile = 0.5;
/// Prompt tokens from which a prefill counts as a sample. The time of shorter prompts is mostly the
/// fixed cost of a request.
constexpr double minPrefillSample = 4'096;
/// Samples from which a quantile is used. A quarter of eight is two samples, so that a single wrong
/// one does not decide.
constexpr std::size_t minQuantileSamples = 8;
/// The number of samples that a pause reported by another instance counts as. The speed is known
/// after two reports. The last eight reports fill the ring buffer, so that the third shortest of
/// them decides.
constexpr std::size_t reportedWeight = minQuantileSamples / 2;
/// Time between updates of the speed steps. Most engines generate several chunks in it.
constexpr Duration updateInterval = std::chrono::milliseconds(250);
/// Steps in a doubling of the speed. A step of 19 % exceeds the differences between the
/// measurements of different instances.
constexpr double stepsPerDoubling = 4;
/// Maximum distance from the mean in steps: four times faster or slower. The hardware of one
/// service hardly differs by more, and failing engines are detected by their health.
constexpr int maxSteps = 8;
/// Hysteresis: a step changes when the speed is this many steps away from it, which is halfway to
/// the next step and half as much again.
constexpr double changeThreshold = 0.75;

/// Returns the mean speed of each model's upstreams in chunks per second.
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

/// Returns the quantile \p share of the filled part of a ring buffer.
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
    for (std::size_t n = 0; n < reportedWeight; ++n)
        recordPause(engineSpeed, pause);
}

std::optional<double> decodePause(const EngineSpeed &engineSpeed)
{
    if (engineSpeed.samples < minQuantileSamples)
        return std::nullopt;
    const double pause = quantileOf(engineSpeed.seconds, engineSpeed.samples, decodeQuantile);
    return pause > 0 ? std::optional<double>(pause) : std::nullopt;
}

void updateSpeedSteps(Fleet &fleet, TimePoint now)
{
    if (now - fleet.speedStepsUpdatedAt < updateInterval)
        return;
    fleet.speedStepsUpdatedAt = now;
    const std::map<std::string, double> means = meanSpeeds(fleet);
    fleet.meanPrefillSpeed = fleet.prefillRates.samples < minQuantileSamples
        ? fleet.policy.initialPrefillSpeed
        : quantileOf(fleet.prefillRates.perSecond, fleet.prefillRates.samples, rateQuantile);
    for (UpstreamView &it : fleet.upstreams) {
        const auto pause = it.present ? decodePause(it.engineSpeed) : std::nullopt;
        if (!pause)
            continue;
        const double steps = std::log2(1 / *pause / means.at(it.model)) * stepsPerDoubling;
        if (!it.engineSpeed.speedStep
            || std::abs(steps - *it.engineSpeed.speedStep) > changeThreshold)
            it.engineSpeed.speedStep =
                std::clamp(static_cast<int>(std::lround(steps)), -maxSteps, maxSteps);
    }
}

void recordPrefill(Fleet &fleet, const EngineSpeed &engineSpeed, double tokens, Duration took)
{
    if (!engineSpeed.speedStep || tokens < minPrefillSample || took <= Duration(0))
        return;
    PrefillRates &rates = fleet.prefillRates;
    rates.perSecond[rates.samples++ % rates.perSecond.size()] =
        static_cast<float>(tokens / toSeconds(took) / relativeSpeed(engineSpeed));
}

double relativeSpeed(const EngineSpeed &engineSpeed)
{
    return std::exp2(engineSpeed.speedStep.value_or(0) / stepsPerDoubling);
}

} // namespace kumquathaven::routing
