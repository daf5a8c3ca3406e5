#include "kumquathaven/feed/feedtimes.h"

#include <algorithm>

namespace kumquathaven::feed {

namespace {

// Shares of the platform's inForceTime.
constexpr double memberTimeoutShare = 0.35;
constexpr double attemptDelayShare = 0.05;
constexpr double followedGraceShare = 0.15;
constexpr double settleShare = 0.25;

/// Bounds a time by a share of inForceTime.
void bound(Duration &time, const settings::Settings &settings, double share)
{
    const Duration most =
        std::chrono::duration_cast<Duration>(settings.platform->inForceTime * share);
    time = std::min(time, most);
}

} // namespace

SubscriberTimes subscriberTimes(const settings::Settings &settings)
{
    SubscriberTimes times;
    if (!settings.platform)
        return times;
    bound(times.memberTimeout, settings, memberTimeoutShare);
    times.recentWeights = std::max(times.recentWeights, 2 * settings.platform->weightsTime);
    times.proofInterval = std::min(times.proofInterval, times.memberTimeout / 3);
    return times;
}

SearchTimes searchTimes(const settings::Settings &settings)
{
    SearchTimes times;
    if (!settings.platform)
        return times;
    bound(times.attemptDelay, settings, attemptDelayShare);
    bound(times.followedGrace, settings, followedGraceShare);
    bound(times.settleTime, settings, settleShare);
    // The proof of a member that is given up is older than half of the timeout.
    times.maxProofAge = std::min(times.maxProofAge, subscriberTimes(settings).memberTimeout / 2);
    return times;
}

} // namespace kumquathaven::feed
