#include "releases.h"

#include "servers.h"

#include "kumquathaven/base/hash.h"

#include <algorithm>

namespace kumquathaven::gateway {

namespace {

using catalogue::RolloutState;

/// How long counts are kept after the end of a rollout, for answers that are still to come.
constexpr Duration countsLifetime = std::chrono::seconds(10);
constexpr std::uint32_t fullShare = 1000;
constexpr std::uint32_t noRoute = UINT32_MAX;
/// Counters of a route and side: sent, failed, cut, and one for each bucket of delays.
constexpr std::uint32_t firstDelayCounter = 3;
constexpr std::uint32_t routeCounterCount = firstDelayCounter + release::delayBucketCount;
/// Counters of a whole rollout: requests that run, and answers and errors of each group.
constexpr std::uint32_t rolloutCounterCount = 1 + 2 * release::serverGroupCount;
/// An attempt that this instance ended without an answer tells something of the delay only after
/// this share of the objective.
constexpr double tellingShare = 0.5;
constexpr std::uint64_t drawSeed = 0x7265'6c65'6173'65;
constexpr std::uint64_t keySeed = 0x726f'6c6c'6f75'74;

std::int64_t &counterOf(release::Counts &counts, std::uint32_t n)
{
    switch (n) {
    case 0:
        return counts.sent;
    case 1:
        return counts.failed;
    case 2:
        return counts.cut;
    default:
        return counts.delays[n - firstDelayCounter];
    }
}

std::int64_t &counterOf(release::Evidence &evidence, std::uint32_t n)
{
    if (n == 0)
        return evidence.runningAtPresent;
    release::GroupCounts &group = evidence.groups[(n - 1) / 2];
    return n % 2 == 1 ? group.answered : group.failed;
}

release::Counts &countsOf(release::Evidence &evidence, const std::string &route, ReleaseSide side)
{
    release::RouteCounts &counts = evidence.routes[route];
    return side == ReleaseSide::Next ? counts.next : counts.present;
}

std::uint64_t keyOf(std::uint64_t rollout, const std::string &route, ReleaseSide side,
                    std::uint32_t counter)
{
    const std::string text = std::to_string(rollout) + '/' + std::to_string(counter) + '/'
        + std::string(nameOf(releaseSideNames, side)) + '/' + route;
    return stableHash(text, keySeed);
}

/// Returns whether the counts of a rollout are still of use.
bool isCounted(const KnownRollout &rollout, TimePoint now)
{
    return rollout.order.state == RolloutState::Running
        || (rollout.endedAt != TimePoint{} && now - rollout.endedAt < countsLifetime);
}

KnownRollout *findNumber(Releases &releases, std::uint64_t number)
{
    for (auto &it : releases.rollouts) {
        if (it.second.order.number == number)
            return &it.second;
    }
    return nullptr;
}

KnownRollout newRollout(const catalogue::ServiceRollout &order, const KnownRollout *last,
                        std::uint64_t wallMs, TimePoint now)
{
    KnownRollout rollout;
    rollout.order = order;
    rollout.learnedAt = now;
    rollout.stepAt = now;
    const std::uint64_t elapsedMs = wallMs > order.orderedAtMs ? wallMs - order.orderedAtMs : 0;
    rollout.elapsedBefore = std::chrono::milliseconds(std::min(elapsedMs, order.limitMs));
    if (last != nullptr) {
        rollout.withdrawn = last->withdrawn;
        if (last->order.state == RolloutState::RolledBack)
            rollout.withdrawn.insert(last->order.release);
        rollout.withdrawn.erase(order.release);
    }
    return rollout;
}

release::Progress progressOf(const KnownRollout &rollout, TimePoint now)
{
    release::Progress progress;
    progress.step = rollout.order.step;
    progress.sharePerMille = rollout.order.sharePerMille;
    progress.elapsed = rollout.elapsedBefore + (now - rollout.learnedAt);
    progress.limit = std::chrono::milliseconds(rollout.order.limitMs);
    progress.inStep = now - rollout.stepAt;
    return progress;
}

std::int64_t runningAtPresent(const Releases &releases, const KnownRollout &rollout)
{
    std::int64_t sum = 0;
    for (const auto &[place, requests] : releases.running) {
        if (place.first == rollout.order.service && place.second != rollout.order.release)
            sum += requests;
    }
    return sum;
}

/// Returns the position of a place in the order in which servers are exposed: those of the avoided
/// group come last, so that other servers tell whether the release or one server fails.
std::uint32_t exposurePosition(const KnownRollout &rollout, std::uint32_t place)
{
    constexpr auto groups = static_cast<std::uint32_t>(release::serverGroupCount);
    const auto avoided = static_cast<std::uint32_t>(rollout.avoidedGroup);
    if (avoided >= groups)
        return place;
    const auto avoidedBefore = [avoided](std::uint32_t end) {
        return end > avoided ? (end - avoided - 1) / groups + 1 : 0;
    };
    const auto servers = static_cast<std::uint32_t>(rollout.places.size());
    return place % groups == avoided ? servers - avoidedBefore(servers) + avoidedBefore(place)
                                     : place - avoidedBefore(place);
}

enum class SendResult { Nothing, Good, Error, Cut };

SendResult resultOf(const ReleaseSendEnd &send)
{
    switch (send.end) {
    case AttemptEnd::Answered:
        // A kept connection that had closed says nothing about the release.
        return send.hasAnswer ? SendResult::Good : SendResult::Nothing;
    case AttemptEnd::ServerError:
    case AttemptEnd::Silent:
        return SendResult::Error;
    case AttemptEnd::Cut:
        return send.isMalformed || send.isDeadlinePassed ? SendResult::Error : SendResult::Cut;
    case AttemptEnd::Abandoned:
        break;
    case AttemptEnd::Refused:
    case AttemptEnd::Misdirected:
    case AttemptEnd::NotConnected:
        return SendResult::Nothing;
    }
    if (send.hasAnswer)
        return SendResult::Good;
    if (send.isDeadlinePassed && send.delay >= send.objective)
        return SendResult::Error;
    // Counted with the time that it took so far, or slow answers would be missed that are not
    // waited for.
    const bool tells = toSeconds(send.delay) >= tellingShare * toSeconds(send.objective);
    return tells ? SendResult::Good : SendResult::Nothing;
}

} // namespace

std::vector<std::string>
applyRollouts(Releases &releases, const std::map<std::string, catalogue::ServiceRollout> &rollouts,
              std::uint64_t wallMs, TimePoint now)
{
    std::vector<std::string> changed;
    for (const auto &[service, order] : rollouts) {
        const auto known = releases.rollouts.find(service);
        const bool isKnown = known != releases.rollouts.end();
        if (isKnown && order.number < known->second.order.number)
            continue;
        if (!isKnown || order.number > known->second.order.number) {
            KnownRollout rollout =
                newRollout(order, isKnown ? &known->second : nullptr, wallMs, now);
            releases.rollouts[service] = std::move(rollout);
        } else if (order.step > known->second.order.step
                   || order.state != known->second.order.state) {
            KnownRollout &rollout = known->second;
            if (rollout.order.state == RolloutState::Running && order.state != rollout.order.state)
                rollout.endedAt = now;
            rollout.order = order;
            rollout.stepAt = now;
        } else {
            continue;
        }
        changed.push_back(service);
    }
    return changed;
}

void applySupply(Releases &releases, const std::vector<const deployment::ListedServer *> &servers)
{
    for (auto &[service, rollout] : releases.rollouts) {
        rollout.supply = {};
        rollout.maxSlots = 0;
        std::vector<std::pair<std::uint64_t, std::string>> ranks;
        const std::string number = std::to_string(rollout.order.number);
        const bool isReplacing =
            rollout.order.state == RolloutState::Running || !rollout.knowsReplaced;
        for (const deployment::ListedServer *it : servers) {
            if (it->service != service)
                continue;
            const bool isNext = it->release == rollout.order.release;
            rollout.knowsReplaced = true;
            if (!isNext && isReplacing)
                rollout.replaced.insert(it->release);
            if (it->isDraining)
                continue;
            ++(isNext ? rollout.supply.nextServers : rollout.supply.presentServers);
            (isNext ? rollout.supply.nextSlots : rollout.supply.presentSlots) += it->slots;
            if (!isNext)
                continue;
            const std::string start = deployment::startIdOf(*it);
            ranks.emplace_back(rendezvousRank(number, start), start);
            rollout.maxSlots = std::max(rollout.maxSlots, it->slots);
        }
        std::sort(ranks.begin(), ranks.end(), std::greater<>());
        rollout.places.clear();
        for (std::uint32_t n = 0; n < ranks.size(); ++n)
            rollout.places[ranks[n].second] = n;
        rollout.exposedServers =
            release::exposedServers(rollout.order.sharePerMille, rollout.supply);
    }
}

std::vector<std::optional<ReleaseSide>> sidesFor(const Releases &releases,
                                                 const std::string &service,
                                                 const ReleaseRequest &request, TimePoint now)
{
    const auto it = releases.rollouts.find(service);
    if (it == releases.rollouts.end())
        return {std::nullopt};
    const KnownRollout &rollout = it->second;
    if (rollout.order.state == RolloutState::Complete)
        return {ReleaseSide::Next};
    const bool isOpen = rollout.order.state == RolloutState::Running
        && rollout.order.sharePerMille > 0 && rollout.fault.empty() && !request.failedAtNext;
    if (!isOpen)
        return {ReleaseSide::Present};
    const double draw = hashToUnitInterval(stableHash(request.requestId, drawSeed));
    if (!release::mayExpose(progressOf(rollout, now), rollout.reachedPresent, rollout.sentNext,
                            releases.instances, releases.policy, draw))
        return {ReleaseSide::Present};
    return {ReleaseSide::Next, ReleaseSide::Present};
}

bool isOnSide(const Releases &releases, const deployment::ListedServer &server,
              const std::string &start, ReleaseSide side)
{
    const KnownRollout &rollout = releases.rollouts.at(server.service);
    const bool isNext = server.release == rollout.order.release;
    if (side == ReleaseSide::Present)
        return !isNext && rollout.withdrawn.count(server.release) == 0;
    if (rollout.order.state == RolloutState::Complete)
        return isNext || rollout.replaced.count(server.release) == 0
            || rollout.supply.nextServers == 0;
    if (!isNext || rollout.order.sharePerMille >= fullShare)
        return isNext;
    const auto place = rollout.places.find(start);
    return place != rollout.places.end()
        && exposurePosition(rollout, place->second) < rollout.exposedServers;
}

ReleaseSend releaseSendOf(const Releases &releases, const deployment::ListedServer &server,
                          const std::string &start, const std::string &route)
{
    ReleaseSend send;
    send.service = server.service;
    send.release = server.release;
    send.route = route;
    const auto it = releases.rollouts.find(server.service);
    if (it == releases.rollouts.end() || it->second.order.state != RolloutState::Running)
        return send;
    send.rollout = it->second.order.number;
    if (server.release == it->second.order.release)
        send.side = ReleaseSide::Next;
    const auto place = it->second.places.find(start);
    if (place != it->second.places.end())
        send.group = place->second % release::serverGroupCount;
    return send;
}

void countSend(Releases &releases, const ReleaseSend &send)
{
    ++releases.running[{send.service, send.release}];
    KnownRollout *rollout = send.rollout == 0 ? nullptr : findNumber(releases, send.rollout);
    if (rollout == nullptr)
        return;
    ++countsOf(rollout->own, send.route, send.side).sent;
    ++(send.side == ReleaseSide::Next ? rollout->sentNext : rollout->reachedPresent);
    rollout->hasNewCounts = true;
}

bool countSendEnd(Releases &releases, const ReleaseSend &send, const ReleaseSendEnd &end)
{
    const auto running = releases.running.find({send.service, send.release});
    if (running != releases.running.end() && --running->second <= 0)
        releases.running.erase(running);
    KnownRollout *rollout = send.rollout == 0 ? nullptr : findNumber(releases, send.rollout);
    if (rollout == nullptr)
        return false;
    const bool hasReached = end.end != AttemptEnd::NotConnected && end.end != AttemptEnd::Refused
        && end.end != AttemptEnd::Misdirected;
    if (!hasReached && send.side == ReleaseSide::Present)
        --rollout->reachedPresent;
    const SendResult result = resultOf(end);
    if (result == SendResult::Nothing)
        return false;
    rollout->hasNewCounts = true;
    const bool hasFailed = result != SendResult::Good;
    release::Counts &counts = countsOf(rollout->own, send.route, send.side);
    if (hasFailed)
        ++counts.failed;
    else
        ++counts.delays[release::delayBucketOf(end.delay)];
    if (result == SendResult::Cut)
        ++counts.cut;
    if (send.side != ReleaseSide::Next)
        return false;
    if (result != SendResult::Cut) {
        release::GroupCounts &group = rollout->own.groups[send.group];
        ++group.answered;
        group.failed += hasFailed ? 1 : 0;
    }
    return hasFailed;
}

bool updateCounters(Releases &releases, const deployment::Plan &plan, TimePoint now)
{
    std::set<std::uint64_t> counted;
    for (auto &it : releases.rollouts) {
        KnownRollout &rollout = it.second;
        if (isCounted(rollout, now)) {
            counted.insert(rollout.order.number);
        } else {
            rollout.own = {};
            rollout.others = {};
        }
    }
    if (counted == releases.countedRollouts && plan.version == releases.countedPlan)
        return false;
    releases.countedRollouts = counted;
    releases.countedPlan = plan.version;
    releases.counters.clear();
    releases.routes.clear();
    for (const deployment::Route &route : plan.routes)
        releases.routes.push_back(route.name);
    for (const auto &[service, rollout] : releases.rollouts) {
        const std::uint64_t number = rollout.order.number;
        if (counted.count(number) == 0)
            continue;
        for (std::uint32_t n = 0; n < rolloutCounterCount; ++n)
            releases.counters[keyOf(number, {}, ReleaseSide::Present, n)] = {
                number, noRoute, ReleaseSide::Present, n};
        for (std::uint32_t route = 0; route < plan.routes.size(); ++route) {
            const auto &services = plan.routes[route].services;
            const bool isServed =
                std::any_of(services.begin(), services.end(), [name = service](const auto &s) {
                    return s.service == name;
                });
            if (!isServed)
                continue;
            for (const ReleaseSide side : {ReleaseSide::Present, ReleaseSide::Next}) {
                for (std::uint32_t n = 0; n < routeCounterCount; ++n)
                    releases.counters[keyOf(number, releases.routes[route], side, n)] = {
                        number, route, side, n};
            }
        }
    }
    return true;
}

std::unordered_map<std::uint64_t, std::int64_t> ownCounters(const Releases &releases)
{
    std::unordered_map<std::uint64_t, std::int64_t> values;
    for (const auto &[service, rollout] : releases.rollouts) {
        const std::uint64_t number = rollout.order.number;
        if (releases.countedRollouts.count(number) == 0)
            continue;
        release::Evidence own = rollout.own;
        own.runningAtPresent = runningAtPresent(releases, rollout);
        for (std::uint32_t n = 0; n < rolloutCounterCount; ++n)
            values[keyOf(number, {}, ReleaseSide::Present, n)] = counterOf(own, n);
        for (auto &[route, counts] : own.routes) {
            for (std::uint32_t n = 0; n < routeCounterCount; ++n) {
                values[keyOf(number, route, ReleaseSide::Present, n)] =
                    counterOf(counts.present, n);
                values[keyOf(number, route, ReleaseSide::Next, n)] = counterOf(counts.next, n);
            }
        }
    }
    return values;
}

bool setCounterOfOthers(Releases &releases, std::uint64_t key, std::int64_t value)
{
    const auto it = releases.counters.find(key);
    if (it == releases.counters.end())
        return false;
    const CounterPlace &place = it->second;
    KnownRollout *rollout = findNumber(releases, place.rollout);
    if (rollout == nullptr)
        return false;
    const std::int64_t valid = std::max<std::int64_t>(0, value);
    if (place.route == noRoute)
        counterOf(rollout->others, place.counter) = valid;
    else
        counterOf(countsOf(rollout->others, releases.routes[place.route], place.side),
                  place.counter) = valid;
    rollout->hasNewCounts = true;
    return true;
}

release::Evidence evidenceOf(const Releases &releases, const KnownRollout &rollout)
{
    release::Evidence sum = rollout.own;
    sum.runningAtPresent = runningAtPresent(releases, rollout);
    release::Evidence others = rollout.others;
    for (std::uint32_t n = 0; n < rolloutCounterCount; ++n)
        counterOf(sum, n) += counterOf(others, n);
    for (auto &[route, counts] : others.routes) {
        release::RouteCounts &total = sum.routes[route];
        for (std::uint32_t n = 0; n < routeCounterCount; ++n) {
            counterOf(total.present, n) += counterOf(counts.present, n);
            counterOf(total.next, n) += counterOf(counts.next, n);
        }
    }
    sum.instancesServing = releases.instances;
    return sum;
}

std::vector<std::string> applyBrakes(Releases &releases)
{
    std::vector<std::string> services;
    for (auto &[service, rollout] : releases.rollouts) {
        const bool isDue = std::exchange(rollout.hasNewCounts, false)
            && rollout.order.state == RolloutState::Running && rollout.fault.empty();
        if (!isDue)
            continue;
        release::Policy policy = releases.policy;
        if (rollout.maxSlots > 0)
            policy.requestsPerServer = rollout.maxSlots;
        const release::Evidence evidence = evidenceOf(releases, rollout);
        rollout.avoidedGroup = release::avoidedGroup(evidence);
        rollout.fault = release::faultOf(evidence, policy);
        if (!rollout.fault.empty())
            services.push_back(service);
    }
    return services;
}

} // namespace kumquathaven::gateway
