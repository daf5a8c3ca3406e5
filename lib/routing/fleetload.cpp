// Loads, speeds and request outcomes of a fleet.

#include "kumquathaven/routing/firsttoken.h"

#include <algorithm>
#include <cmath>

namespace kumquathaven::routing {

namespace {

/// Weight of the newest sample in moving averages.
constexpr double newestWeight = 0.1;
/// An upstream counts as idle for a request if the tokens queued ahead of it are at most this share
/// of the request's own missing tokens.
constexpr double idleShare = 0.1;
/// Time constant over which the rate of tokens sent to an upstream is averaged.
constexpr Duration sentRateTime = std::chrono::seconds(2);

Outstanding *find(UpstreamView &view, std::uint64_t ticket)
{
    for (Outstanding &it : view.outstanding) {
        if (it.ticket == ticket)
            return &it;
    }
    return nullptr;
}

void erase(UpstreamView &view, std::uint64_t ticket)
{
    const auto it = std::find_if(view.outstanding.begin(), view.outstanding.end(),
                                 [&](const Outstanding &other) {
                                     return other.ticket == ticket;
                                 });
    if (it == view.outstanding.end())
        return;
    if (it->trial)
        view.health.trialUnderWay = false;
    view.outstanding.erase(it);
}

/// Returns the rate of tokens sent to an upstream, decayed to \p now.
double decayedRate(const UpstreamView &view, TimePoint now)
{
    const double age = toSeconds(now - view.sentRateAt) / toSeconds(sentRateTime);
    return view.sentRate * std::exp(-std::max(age, 0.0));
}

/// Updates the prefill speed with the time that the upstream took for all tokens up to a first
/// token. Errors in the estimate of those tokens distort the speed too, where they do least harm.
void updateSpeed(Fleet &fleet, UpstreamView &view, const Outstanding &request, TimePoint now)
{
    const double work = request.aheadTokens + request.missingTokens;
    if (work < fleet.policy.minSpeedSample)
        return;
    if (request.aheadTokens <= idleShare * request.missingTokens)
        recordPrefill(fleet, view.engineSpeed, request.missingTokens, now - request.sentAt);
    const double took = std::max(toSeconds(now - request.sentAt), 0.0001);
    // Long samples weigh more than short ones, most of whose time is overhead.
    const double kept = 1 - fleet.policy.speedWeight;
    view.computedTokens = view.computedTokens * kept + work;
    view.computingSeconds = view.computingSeconds * kept + took;
}

/// Returns the estimated missing tokens of a waiting request: the mean of the upstream's requests,
/// combined with the mean of the fleet's as long as the upstream has few.
double expectedMissing(const Fleet &fleet, const UpstreamView &view)
{
    constexpr double fleetSamples = 5;
    const double fleetMean =
        fleet.meanMissing > 0 ? fleet.meanMissing : fleet.policy.initialMissing;
    const double ownSamples = std::min<double>(view.missingSamples, fleetSamples * 4);
    return (ownSamples * view.meanMissing + fleetSamples * fleetMean) / (ownSamples + fleetSamples);
}

void updateMeanMissing(double &mean, double missing, std::uint32_t samples)
{
    mean += std::max(newestWeight, 1.0 / (samples + 1.0)) * (missing - mean);
}

/// Records that the upstream caches the complete prompt. If it has an event stream, the blocks
/// count as confirmed, since a removal will be reported.
void recordCachedPrompt(Fleet &fleet, Slot slot, const Outstanding &request, TimePoint now)
{
    const UpstreamView &view = fleet.upstreams[slot];
    const bool reported = view.streaming && view.knowledge != CacheKnowledge::Never;
    for (const BlockHash it : request.blocks)
        fleet.index.addHolder(it, {slot, view.generation, view.streamRun, reported, now});
}

} // namespace

const Outstanding *outstandingFor(const UpstreamView &view, std::uint64_t ticket)
{
    const auto it = std::find_if(view.outstanding.begin(), view.outstanding.end(),
                                 [&](const Outstanding &other) {
                                     return other.ticket == ticket;
                                 });
    return it == view.outstanding.end() ? nullptr : &*it;
}

double prefillSpeed(const Fleet &fleet, Slot slot)
{
    // The initial speed counts as one sample of one second.
    const UpstreamView &view = fleet.upstreams[slot];
    if (view.engineSpeed.speedStep)
        return fleet.meanPrefillSpeed * relativeSpeed(view.engineSpeed);
    return (view.computedTokens + fleet.policy.initialPrefillSpeed) / (view.computingSeconds + 1);
}

double outstandingTokens(const UpstreamView &view)
{
    double tokens = 0;
    for (const Outstanding &it : view.outstanding) {
        if (!it.hasFirstToken)
            tokens += it.missingTokens;
    }
    return tokens;
}

double evictionShare(const Fleet &fleet, Slot slot)
{
    const UpstreamView &view = fleet.upstreams[slot];
    return view.stored > 0 ? std::min(1.0, view.removed / view.stored) : 0.0;
}

void applyLoad(Fleet &fleet, Slot slot, const LoadReport &report, TimePoint now)
{
    recordIncarnation(fleet, slot, report.incarnation, now);
    UpstreamView &view = fleet.upstreams[slot];
    view.health.polled = true;
    if (report.measuredAt >= view.load.measuredAt)
        view.load = report;
}

Queue expectedQueue(const Fleet &fleet, Slot slot, TimePoint now)
{
    const UpstreamView &view = fleet.upstreams[slot];
    const double speed = prefillSpeed(fleet, slot);
    const double missing = std::max(1.0, expectedMissing(fleet, view));
    const TimePoint reportedAt = view.load.measuredAt;
    // Other entries have a similar view and tend to send to the same upstreams.
    const double othersFactor = fleet.policy.otherEntriesWeight * (fleet.entries - 1);
    const double drainRate = speed - decayedRate(view, now) * othersFactor;
    double work = view.load.waitingTokens ? static_cast<double>(*view.load.waitingTokens)
                                          : view.load.waiting * missing;
    TimePoint at = reportedAt == TimePoint{} ? now : reportedAt;
    for (const Outstanding &it : view.outstanding) {
        if (it.sentAt <= reportedAt || it.hasFirstToken)
            continue;
        work = std::max(0.0, work - toSeconds(it.sentAt - at) * drainRate) + it.missingTokens;
        at = std::max(at, it.sentAt);
    }
    work = std::max(0.0, work - toSeconds(now - at) * drainRate);
    return {work, fromSeconds(work / speed), work / missing};
}

std::uint64_t recordSent(Fleet &fleet, Slot slot, const PrefixChain &chain,
                         std::uint32_t missingTokens, Duration expectedFirstToken, TimePoint now)
{
    UpstreamView &view = fleet.upstreams[slot];
    const std::uint64_t ticket = fleet.nextTicket++;
    view.sentRate = decayedRate(view, now) + missingTokens / toSeconds(sentRateTime);
    view.sentRateAt = now;
    Outstanding request;
    request.ticket = ticket;
    request.sentAt = now;
    request.promptTokens = chain.promptTokens();
    request.blocks = chain.blocks();
    request.missingTokens = missingTokens;
    request.expectedFirstToken = expectedFirstToken;
    request.aheadTokens = expectedQueue(fleet, slot, now).tokens;
    updateMeanMissing(view.meanMissing, missingTokens, view.missingSamples++);
    updateMeanMissing(fleet.meanMissing, missingTokens, fleet.nextTicket > 10 ? 10 : 1);
    request.trial = view.health.state == HealthState::HalfOpen;
    if (request.trial)
        view.health.trialUnderWay = true;
    if (view.outstanding.size() >= fleet.policy.maxOutstanding)
        erase(view, view.outstanding.front().ticket);
    view.outstanding.push_back(request);
    for (const BlockHash it : chain.blocks()) {
        const auto &holders = fleet.index.holders(it);
        const bool confirmed =
            std::any_of(holders.begin(), holders.end(), [&](const BlockHolder &b) {
                return b.slot == slot && b.generation == view.generation
                    && b.streamRun == view.streamRun && b.confirmed;
            });
        if (!confirmed)
            fleet.index.addHolder(
                it, {slot, view.generation, view.streamRun, false, now + expectedFirstToken});
    }
    return ticket;
}

void recordCompleteAnswer(Fleet &fleet, Slot slot, std::uint64_t ticket, TimePoint now)
{
    UpstreamView &view = fleet.upstreams[slot];
    Outstanding *request = find(view, ticket);
    if (request == nullptr || request->hasFirstToken)
        return;
    request->hasFirstToken = true;
    view.firstTokenAt = now;
    recordCachedPrompt(fleet, slot, *request, now);
    recordSuccess(view.health, request->expectedFirstToken, request->expectedFirstToken,
                  fleet.policy, now);
}

void recordFirstToken(Fleet &fleet, Slot slot, std::uint64_t ticket, TimePoint now)
{
    UpstreamView &view = fleet.upstreams[slot];
    Outstanding *request = find(view, ticket);
    if (request == nullptr || request->hasFirstToken)
        return;
    request->hasFirstToken = true;
    view.firstTokenAt = now;
    updateWaitEstimate(fleet, view, *request, now);
    updateSpeed(fleet, view, *request, now);
    recordCachedPrompt(fleet, slot, *request, now);
    recordSuccess(view.health, request->expectedFirstToken, now - request->sentAt, fleet.policy,
                  now);
}

void recordFinished(Fleet &fleet, Slot slot, std::uint64_t ticket, std::int64_t cachedTokens,
                    TimePoint now)
{
    UpstreamView &view = fleet.upstreams[slot];
    const Outstanding *request = find(view, ticket);
    if (request == nullptr)
        return;
    recordAlive(view.health, now);
    if (cachedTokens >= 0) {
        ++fleet.answers;
        fleet.cachedTokens += static_cast<std::uint64_t>(cachedTokens);
        fleet.promptTokens += request->promptTokens;
    }
    erase(view, ticket);
}

void recordGivenUp(Fleet &fleet, Slot slot, std::uint64_t ticket, TimePoint now)
{
    UpstreamView &view = fleet.upstreams[slot];
    const Outstanding *request = find(view, ticket);
    if (request == nullptr)
        return;
    const bool isStuck = !request->hasFirstToken && view.firstTokenAt <= request->sentAt;
    if (!request->hasFirstToken)
        updateWaitEstimate(fleet, view, *request, now);
    if (isStuck)
        recordFailure(view.health, Failure::Timeout, fleet.policy, now);
    erase(view, ticket);
}

void recordFailed(Fleet &fleet, Slot slot, std::uint64_t ticket, Failure failure, TimePoint now)
{
    UpstreamView &view = fleet.upstreams[slot];
    // A request to an earlier generation says nothing about the current one.
    if (find(view, ticket) == nullptr)
        return;
    recordFailure(view.health, failure, fleet.policy, now);
    erase(view, ticket);
}

void reviewHealth(Fleet &fleet, TimePoint now)
{
    std::map<std::string, std::uint32_t> present;
    std::map<std::string, std::uint32_t> outliers;
    for (const UpstreamView &it : fleet.upstreams) {
        if (!it.present)
            continue;
        ++present[it.model];
        if (it.health.state != HealthState::Healthy && !meansDead(it.health.reason))
            ++outliers[it.model];
    }
    for (UpstreamView &it : fleet.upstreams) {
        if (!it.present)
            continue;
        reopen(it.health, now);
        const EjectionReason due = ejectionDue(it.health, fleet.policy, now);
        if (due == EjectionReason::None || it.health.state == HealthState::Ejected)
            continue;
        if (it.health.state == HealthState::HalfOpen && !meansDead(due))
            continue;
        const double share = (outliers[it.model] + 1.0) / present[it.model];
        if (!meansDead(due) && share > fleet.policy.maxEjectedShare)
            continue;
        if (!meansDead(due))
            ++outliers[it.model];
        eject(it.health, due, fleet.policy, now);
    }
}

void earnRetry(Fleet &fleet)
{
    fleet.retries = std::min(fleet.retries + fleet.policy.retryShare, fleet.policy.retryReserve);
}

bool spendRetry(Fleet &fleet)
{
    if (fleet.retries < 1)
        return false;
    fleet.retries -= 1;
    return true;
}

} // namespace kumquathaven::routing
