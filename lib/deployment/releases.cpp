#include "kumquathaven/deployment/releases.h"

#include <algorithm>

namespace kumquathaven::deployment {

namespace {

using std::chrono::milliseconds;

/// A proposal that is not in the catalogue after this time may be lost and is made again.
constexpr Duration proposalInterval = milliseconds(500);
/// Age of the evidence if no report has arrived.
constexpr Duration noReport = std::chrono::hours(1);
constexpr std::size_t maxReasonBytes = 1000;

void raise(std::int64_t &count, std::int64_t reported)
{
    count = std::max(count, reported);
}

void raise(release::Counts &counts, const release::Counts &reported)
{
    raise(counts.sent, reported.sent);
    raise(counts.failed, reported.failed);
    raise(counts.cut, reported.cut);
    for (std::size_t n = 0; n < counts.delays.size(); ++n)
        raise(counts.delays[n], reported.delays[n]);
}

std::uint64_t toMilliseconds(Duration time)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(time).count());
}

catalogue::RolloutState stateAfter(release::Action action)
{
    switch (action) {
    case release::Action::Complete:
        return catalogue::RolloutState::Complete;
    case release::Action::RollBack:
        return catalogue::RolloutState::RolledBack;
    case release::Action::Hold:
    case release::Action::Advance:
        break;
    }
    return catalogue::RolloutState::Running;
}

} // namespace

release::Supply supplyOf(const std::vector<ListedServer> &servers, const std::string &service,
                         const std::string &release)
{
    release::Supply supply;
    for (const ListedServer &it : servers) {
        if (it.service != service || it.isDraining)
            continue;
        const bool isNext = it.release == release;
        ++(isNext ? supply.nextServers : supply.presentServers);
        (isNext ? supply.nextSlots : supply.presentSlots) += it.slots;
    }
    return supply;
}

release::Supply supplyOf(const catalogue::Catalogue &catalogue, const std::string &route,
                         const std::string &release)
{
    release::Supply supply;
    const auto found = catalogue.routes.find(route);
    if (found == catalogue.routes.end())
        return supply;
    const catalogue::Route &it = found->second;
    for (const auto &[name, upstream] : catalogue.upstreams) {
        const bool isNamed =
            std::find(it.upstreams.begin(), it.upstreams.end(), name) != it.upstreams.end();
        const bool isOfModel = it.upstreams.empty() && !it.model.empty()
            && upstream.kind == catalogue::UpstreamKind::Engine && upstream.model == it.model;
        if ((!isNamed && !isOfModel) || upstream.state == catalogue::UpstreamState::Leaving)
            continue;
        const bool isNext = upstream.release == release;
        ++(isNext ? supply.nextServers : supply.presentServers);
        ++(isNext ? supply.nextSlots : supply.presentSlots);
    }
    return supply;
}

bool runsAlready(const std::vector<ListedServer> &servers, const std::string &service,
                 const std::string &release)
{
    bool isListed = false;
    for (const ListedServer &it : servers) {
        if (it.service != service)
            continue;
        if (it.release != release)
            return false;
        isListed = true;
    }
    return isListed;
}

void observe(RolloutMemory &memory, const catalogue::ServiceRollout &rollout, std::uint64_t wallNow,
             TimePoint now)
{
    if (memory.number != rollout.number) {
        memory = {};
        memory.number = rollout.number;
        memory.seenAt = now;
        memory.stepSeenAt = now;
        // A member that was up has seen the order at once, and then the clocks tell nothing. One
        // that starts later subtracts the error that they may have.
        // An order without a time tells nothing either.
        const bool isPast = rollout.orderedAtMs != 0 && wallNow > rollout.orderedAtMs;
        const std::uint64_t ago = isPast ? wallNow - rollout.orderedAtMs : 0;
        const auto limit = static_cast<std::int64_t>(rollout.limitMs);
        const Duration passed = milliseconds(
            static_cast<std::int64_t>(std::min<std::uint64_t>(ago, catalogue::maxRolloutLimitMs)));
        memory.before =
            std::clamp<Duration>(passed - maxClockError, Duration(0), milliseconds(limit));
    }
    if (memory.step != rollout.step) {
        memory.step = rollout.step;
        memory.stepSeenAt = now;
    }
}

void take(RolloutMemory &memory, const release::Evidence &report, TimePoint now)
{
    release::Evidence &evidence = memory.evidence;
    for (const auto &[route, counts] : report.routes) {
        release::RouteCounts &known = evidence.routes[route];
        raise(known.present, counts.present);
        raise(known.next, counts.next);
    }
    for (std::size_t n = 0; n < evidence.groups.size(); ++n) {
        raise(evidence.groups[n].answered, report.groups[n].answered);
        raise(evidence.groups[n].failed, report.groups[n].failed);
    }
    evidence.runningAtPresent = report.runningAtPresent;
    evidence.instances = report.instances;
    evidence.instancesServing = report.instancesServing;
    memory.reportedAt = now;
}

Duration elapsedOf(const RolloutMemory &memory, const catalogue::ServiceRollout &rollout,
                   TimePoint now)
{
    const Duration sinceOrder = memory.before + (now - memory.seenAt);
    const Duration sinceStep =
        milliseconds(static_cast<std::int64_t>(rollout.elapsedMs)) + (now - memory.stepSeenAt);
    return std::max(sinceOrder, sinceStep);
}

RolloutDecision nextStep(RolloutMemory &memory, const catalogue::ServiceRollout &rollout,
                         const release::Supply &supply, const release::Policy &policy,
                         TimePoint now)
{
    RolloutDecision result;
    release::Progress &progress = result.progress;
    progress.step = rollout.step;
    progress.sharePerMille = rollout.sharePerMille;
    progress.limit = milliseconds(static_cast<std::int64_t>(rollout.limitMs));
    progress.elapsed = elapsedOf(memory, rollout, now);
    progress.inStep = now - memory.stepSeenAt;
    const Duration age = memory.reportedAt ? now - *memory.reportedAt : noReport;
    result.decision = decide(progress, memory.evidence, age, supply, policy);
    const release::Action action = result.decision.action;
    if (action == release::Action::Hold)
        return result;
    const bool isPending = memory.proposed == action && now - memory.proposedAt < proposalInterval;
    if (isPending && memory.proposedAt >= memory.stepSeenAt)
        return result;
    memory.proposed = action;
    memory.proposedAt = now;
    result.step = catalogue::RecordRolloutStep{rollout.service,
                                               rollout.number,
                                               rollout.step,
                                               stateAfter(action),
                                               result.decision.sharePerMille,
                                               toMilliseconds(progress.elapsed),
                                               result.decision.reason.substr(0, maxReasonBytes)};
    return result;
}

} // namespace kumquathaven::deployment
