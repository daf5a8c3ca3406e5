#include "kumquathaven/routing/firsttoken.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace kumquathaven::routing {

namespace {

/// Returns the seconds since the request was sent, less its service time.
double waitedSeconds(const Outstanding &request, TimePoint now)
{
    return std::max(0.0, toSeconds(now - request.sentAt - request.serviceTime));
}

/// Returns a wait estimate in seconds, decayed to \p now.
double decayedSeconds(const Policy &policy, const WaitEstimate &wait, TimePoint now)
{
    const double halfLives = toSeconds(now - wait.recordedAt) / toSeconds(policy.waitHalfLife);
    return wait.seconds * std::exp2(-std::max(halfLives, 0.0));
}

/// Returns whether a load report that is newer than the wait estimate shows an empty queue, for all
/// priorities.
bool isSuperseded(const UpstreamView &view, const WaitEstimate &wait)
{
    return view.load.measuredAt > wait.recordedAt && view.load.waiting == 0;
}

double estimatedSeconds(const Fleet &fleet, const UpstreamView &view, std::size_t priority,
                        TimePoint now)
{
    const WaitEstimate &wait = view.waitEstimates[priority];
    return isSuperseded(view, wait) ? 0 : decayedSeconds(fleet.policy, wait, now);
}

} // namespace

Duration serviceTime(const Fleet &fleet, Slot slot, std::uint32_t promptTokens,
                     std::uint32_t completeAnswerTokens)
{
    const double speed = std::max(prefillSpeed(fleet, slot), fleet.policy.minPrefillSpeed);
    return fromSeconds(promptTokens / speed) + fleet.policy.tokenAllowance * completeAnswerTokens;
}

Duration observedWait(const Fleet &fleet, Slot slot, std::size_t priority, TimePoint now)
{
    assert(priority < priorityCount && "priority must be below priorityCount");
    const UpstreamView &view = fleet.upstreams[slot];
    double maximum = 0;
    for (std::size_t n = 0; n <= priority; ++n)
        maximum = std::max(maximum, estimatedSeconds(fleet, view, n, now));
    for (const Outstanding &it : view.outstanding) {
        if (!it.hasFirstToken && it.priority <= priority)
            maximum = std::max(maximum, waitedSeconds(it, now));
    }
    return fromSeconds(maximum);
}

Duration minObservedWait(const Fleet &fleet, const std::vector<Slot> &slots, std::size_t priority,
                         bool repeatable, TimePoint now)
{
    std::optional<Duration> minimum;
    for (const Slot it : slots) {
        const UpstreamView &view = fleet.upstreams[it];
        if (!view.present || view.leaving || view.loading || !takesWork(view.health, repeatable))
            continue;
        const Duration wait = observedWait(fleet, it, priority, now);
        minimum = minimum ? std::min(*minimum, wait) : wait;
    }
    return minimum.value_or(Duration(0));
}

std::optional<TimePoint> giveUpAt(const Fleet &fleet, Slot slot, std::uint64_t ticket,
                                  std::optional<TimePoint> deadline)
{
    const Outstanding *request = outstandingFor(fleet.upstreams[slot], ticket);
    if (request == nullptr || !deadline)
        return std::nullopt;
    return *deadline + request->serviceTime;
}

bool isOverdue(const Fleet &fleet, Slot slot, std::uint64_t ticket,
               std::optional<TimePoint> deadline, TimePoint now)
{
    const UpstreamView &view = fleet.upstreams[slot];
    const Outstanding *request = outstandingFor(view, ticket);
    if (request == nullptr || request->hasFirstToken)
        return false;
    if (view.health.state == HealthState::Ejected && meansDead(view.health.reason))
        return true;
    if (!deadline)
        return false;
    const double allowed = toSeconds(*deadline - request->sentAt) * fleet.policy.moveAfterShare;
    return waitedSeconds(*request, now) > std::max(0.0, allowed);
}

bool canMeetDeadlineElsewhere(const Fleet &fleet, const Request &request, TimePoint now)
{
    return std::any_of(request.candidates.begin(), request.candidates.end(), [&](Slot slot) {
        if (!isEligible(fleet, request, slot))
            return false;
        if (!request.deadline)
            return true;
        const auto chain = chainFor(request, fleet.upstreams[slot]);
        const Duration wait = std::max(expectedQueue(fleet, slot, now).wait,
                                       observedWait(fleet, slot, request.priority, now));
        const Duration compute = serviceTime(fleet, slot, request.chains[*chain].promptTokens(), 0);
        return now + wait + compute <= *request.deadline;
    });
}

void updateWaitEstimate(const Fleet &fleet, UpstreamView &view, const Outstanding &request,
                        TimePoint now)
{
    WaitEstimate &wait = view.waitEstimates[request.priority];
    const double previous = decayedSeconds(fleet.policy, wait, now);
    const double factor = request.hasFirstToken ? 1 : fleet.policy.endedWaitFactor;
    const double sample = waitedSeconds(request, now) * factor;
    // A longer wait replaces the estimate at once. Shorter waits lower it step by step, and those
    // of requests that were given up do not lower it at all.
    if (sample > previous)
        wait = {sample, now};
    else if (request.hasFirstToken)
        wait = {(previous + sample) / 2, now};
}

} // namespace kumquathaven::routing
