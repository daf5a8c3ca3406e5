#include "kumquathaven/overlay/uplink.h"

#include <algorithm>
#include <utility>

namespace kumquathaven::overlay {

namespace {

/// Returns the position of an instance among the candidates, or the number of candidates.
std::size_t indexOf(const Uplink &uplink, const std::string &name)
{
    const auto it = std::find(uplink.candidates.begin(), uplink.candidates.end(), name);
    return static_cast<std::size_t>(it - uplink.candidates.begin());
}

/// Returns the number of candidates that are worth connecting to: all, or those that are preferred
/// to the parent.
std::size_t usefulCandidates(const Uplink &uplink)
{
    return uplink.parent.empty() ? uplink.candidates.size() : indexOf(uplink, uplink.parent);
}

void loseParent(Uplink &uplink, UplinkStep &step, TimePoint now)
{
    step.disconnect.push_back(std::exchange(uplink.parent, {}));
    step.hasLostParent = true;
    uplink.nextIndex = 0;
    uplink.isRoundOver = false;
    uplink.retryAt = now;
}

/// Ends the attempt to connect to a candidate and turns to the next one.
void giveUpNext(Uplink &uplink, UplinkStep &step, TimePoint now)
{
    step.disconnect.push_back(std::exchange(uplink.next, {}));
    ++uplink.nextIndex;
    if (uplink.nextIndex < usefulCandidates(uplink))
        return;
    uplink.nextIndex = 0;
    uplink.isRoundOver = uplink.parent.empty();
    uplink.retryAt =
        now + (uplink.parent.empty() ? uplink.times.roundInterval : uplink.times.preferredInterval);
}

void connectNext(Uplink &uplink, UplinkStep &step, TimePoint now)
{
    const bool isDue =
        uplink.next.empty() && now >= uplink.retryAt && uplink.nextIndex < usefulCandidates(uplink);
    if (!isDue)
        return;
    uplink.next = uplink.candidates[uplink.nextIndex];
    uplink.nextSince = now;
    step.connect = uplink.next;
}

} // namespace

UplinkStep setCandidates(Uplink &uplink, std::vector<std::string> candidates, TimePoint now)
{
    UplinkStep step;
    if (candidates == uplink.candidates)
        return step;
    uplink.candidates = std::move(candidates);
    const bool isParentGone =
        !uplink.parent.empty() && indexOf(uplink, uplink.parent) == uplink.candidates.size();
    if (isParentGone)
        loseParent(uplink, step, now);
    if (!uplink.next.empty() && indexOf(uplink, uplink.next) == uplink.candidates.size())
        step.disconnect.push_back(std::exchange(uplink.next, {}));
    uplink.nextIndex = uplink.next.empty() ? 0 : indexOf(uplink, uplink.next);
    uplink.isRoundOver = false;
    uplink.retryAt = now;
    return step;
}

UplinkStep review(Uplink &uplink, TimePoint now)
{
    UplinkStep step;
    const bool wasPaused =
        uplink.reviewedAt != TimePoint{} && now - uplink.reviewedAt > uplink.times.pauseLimit;
    uplink.reviewedAt = now;
    if (wasPaused) {
        uplink.heardAt = std::max(uplink.heardAt, now - uplink.times.silenceTimeout / 2);
        uplink.nextSince = now;
    }
    if (!uplink.parent.empty() && now - uplink.heardAt > uplink.times.silenceTimeout)
        loseParent(uplink, step, now);
    if (!uplink.next.empty() && now - uplink.nextSince > uplink.times.connectTimeout)
        giveUpNext(uplink, step, now);
    connectNext(uplink, step, now);
    return step;
}

UplinkStep recordHeard(Uplink &uplink, const std::string &from, TimePoint now)
{
    UplinkStep step;
    if (from == uplink.parent)
        uplink.heardAt = now;
    if (from != uplink.next || from.empty())
        return step;
    if (!uplink.parent.empty()) {
        step.disconnect.push_back(uplink.parent);
        step.hasLostParent = true;
    }
    uplink.parent = std::exchange(uplink.next, {});
    uplink.heardAt = now;
    uplink.nextIndex = 0;
    uplink.isRoundOver = false;
    uplink.retryAt = now + uplink.times.preferredInterval;
    return step;
}

UplinkStep recordClosed(Uplink &uplink, const std::string &from, TimePoint now)
{
    UplinkStep step;
    if (from.empty())
        return step;
    if (from == uplink.parent)
        loseParent(uplink, step, now);
    else if (from == uplink.next)
        giveUpNext(uplink, step, now);
    return step;
}

bool isRoot(const Uplink &uplink)
{
    return uplink.parent.empty() && (uplink.candidates.empty() || uplink.isRoundOver);
}

} // namespace kumquathaven::overlay
