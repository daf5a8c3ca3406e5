#include "kumquathaven/deployment/rollout.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace kumquathaven::deployment {

namespace {

/// One in this many servers may be taken out of service at a time, so that the others can handle
/// its requests. A server loads only after its running requests have ended, so that fewer servers
/// load at the same moment.
constexpr std::size_t serversPerLoad = 3;

const catalogue::ServerWeights *recordOf(const catalogue::Catalogue &catalogue,
                                         const ListedServer &server, const std::string &model)
{
    const auto it = catalogue.serverWeights.find(startIdOf(server) + "/" + model);
    return it == catalogue.serverWeights.end() ? nullptr : &it->second;
}

std::uint64_t versionIn(const std::map<std::string, std::uint64_t> &weights,
                        const std::string &model)
{
    const auto it = weights.find(model);
    return it == weights.end() ? 0 : it->second;
}

/// Drops the rollouts of departed servers and expired retry delays, and lists the departed servers
/// whose records are to be removed from the catalogue.
void removeDeparted(Rollout &rollout, const std::vector<ListedServer> &servers,
                    const catalogue::Catalogue &catalogue, RolloutStep &step, TimePoint now)
{
    std::set<std::string> present;
    for (const ListedServer &it : servers)
        present.insert(startIdOf(it));
    for (auto it = rollout.servers.begin(); it != rollout.servers.end();)
        it = present.count(it->first) == 0 ? rollout.servers.erase(it) : std::next(it);
    for (auto it = rollout.pausedUntil.begin(); it != rollout.pausedUntil.end();)
        it = it->second <= now ? rollout.pausedUntil.erase(it) : std::next(it);
    std::set<std::string> departed;
    for (const auto &it : catalogue.serverWeights) {
        if (present.count(it.second.server) == 0)
            departed.insert(it.second.server);
    }
    step.departed.assign(departed.begin(), departed.end());
}

/// Ends a rollout, after which requests may be sent to the server again.
void endRollout(ServerRollout &it, const std::string &start, std::uint64_t version,
                RolloutStep &step, TimePoint now)
{
    it.endVersion = version;
    it.endProposedAt = now;
    step.records.push_back({start, it.model, version, false});
}

/// Returns whether the catalogue has the end of a rollout, and proposes it again if that takes
/// long.
bool isEndRecorded(ServerRollout &it, const ListedServer &server,
                   const catalogue::Catalogue &catalogue, RolloutStep &step,
                   const RolloutTimes &times, TimePoint now)
{
    const catalogue::ServerWeights *record = recordOf(catalogue, server, it.model);
    if (record != nullptr && !record->isLoading && record->version >= *it.endVersion)
        return true;
    if (now - it.endProposedAt >= times.recordInterval)
        endRollout(it, startIdOf(server), *it.endVersion, step, now);
    return false;
}

/// Takes the next step of a rollout in progress on a server.
void continueRollout(Rollout &rollout, ServerRollout &it, const ListedServer &server,
                     RolloutStep &step, const RolloutTimes &times, TimePoint now)
{
    const std::string start = startIdOf(server);
    const std::uint64_t reported = it.report ? versionIn(it.report->weights, it.model) : 0;
    if (it.report && !it.report->isBusy && reported >= it.version) {
        endRollout(it, start, reported, step, now);
        return;
    }
    if (now - it.startedAt > times.loadTimeout) {
        // The server has the version that it was last known to have.
        endRollout(it, start, std::max(reported, versionIn(server.weights, it.model)), step, now);
        rollout.pausedUntil[start] = now + times.retryDelay;
        return;
    }
    if (it.isCallPending || now < it.nextCallAt)
        return;
    it.isCallPending = true;
    RolloutCall call{RolloutCall::Kind::Report, server, it.model, it.version, std::nullopt};
    if (it.report && !it.report->isBusy && !it.isOrdered) {
        call.kind = RolloutCall::Kind::Order;
        call.expectedOrders = it.report->orders;
        it.isOrdered = true;
        it.orderedAt = now;
    }
    step.calls.push_back(std::move(call));
}

/// A model and the newest announced version of its weights.
struct Target
{
    const std::string &model;
    std::uint64_t version;
};

/// Starts a rollout on a server that is recorded as loading.
void startRollout(Rollout &rollout, const ListedServer &server, const Target &target,
                  RolloutStep &step, const RolloutTimes &times, TimePoint now)
{
    ServerRollout &started = rollout.servers[startIdOf(server)];
    started.model = target.model;
    started.version = target.version;
    started.startedAt = now;
    started.nextCallAt = now + times.noticeDelay;
    started.isCallPending = true;
    step.calls.push_back({RolloutCall::Kind::Report, server, target.model, target.version, {}});
}

/// Records a server with outdated weights as loading and starts a rollout on it.
void begin(Rollout &rollout, const ListedServer &server, const catalogue::Catalogue &catalogue,
           const Target &target, RolloutStep &step, const RolloutTimes &times, TimePoint now)
{
    step.records.push_back({startIdOf(server), target.model,
                            knownWeightsVersion(catalogue, server, target.model), true});
    startRollout(rollout, server, target, step, times, now);
}

/// What a model's rollout does next on one server.
enum class ServerState {
    /// Nothing: the server has the newest weights, leaves, or is paused, or another model of it is
    /// rolled out.
    Idle,
    /// A rollout of this holder is in progress.
    Loading,
    /// The rollout has ended, and the catalogue does not have its end yet.
    Ended,
    /// The server is recorded as loading, and no rollout of this holder accounts for that.
    Orphaned,
    Outdated,
};

ServerState stateOf(const Rollout &rollout, const ListedServer &server,
                    const catalogue::Catalogue &catalogue, const Target &target)
{
    const std::string start = startIdOf(server);
    const auto started = rollout.servers.find(start);
    if (started != rollout.servers.end()) {
        if (started->second.model != target.model)
            return ServerState::Idle;
        return started->second.endVersion ? ServerState::Ended : ServerState::Loading;
    }
    if (server.isDraining || rollout.pausedUntil.count(start) > 0)
        return ServerState::Idle;
    const catalogue::ServerWeights *record = recordOf(catalogue, server, target.model);
    if (record != nullptr && record->isLoading)
        return ServerState::Orphaned;
    const bool isOutdated = knownWeightsVersion(catalogue, server, target.model) < target.version;
    return isOutdated ? ServerState::Outdated : ServerState::Idle;
}

/// Takes the next step of the rollouts of one model.
void advanceModel(Rollout &rollout, const std::vector<ListedServer> &servers,
                  const catalogue::Catalogue &catalogue, const Target &target, RolloutStep &step,
                  const RolloutTimes &times, TimePoint now)
{
    std::size_t holders = 0;
    std::size_t loading = 0;
    std::vector<const ListedServer *> outdated;
    for (const ListedServer &it : servers) {
        if (it.weights.count(target.model) == 0)
            continue;
        ++holders;
        const auto started = rollout.servers.find(startIdOf(it));
        switch (stateOf(rollout, it, catalogue, target)) {
        case ServerState::Idle:
            break;
        case ServerState::Loading:
            ++loading;
            continueRollout(rollout, started->second, it, step, times, now);
            break;
        case ServerState::Ended:
            if (isEndRecorded(started->second, it, catalogue, step, times, now))
                rollout.servers.erase(started);
            break;
        case ServerState::Orphaned:
            // The server gets no requests already, so that it does not wait for its turn.
            ++loading;
            startRollout(rollout, it, target, step, times, now);
            break;
        case ServerState::Outdated:
            outdated.push_back(&it);
            break;
        }
    }
    // The servers with the oldest weights go first, since these weights are the first that may no
    // longer be used.
    std::stable_sort(outdated.begin(), outdated.end(),
                     [&](const ListedServer *a, const ListedServer *b) {
                         return knownWeightsVersion(catalogue, *a, target.model)
                             < knownWeightsVersion(catalogue, *b, target.model);
                     });
    const std::size_t maxLoadingServers = maxLoading(holders);
    for (const ListedServer *it : outdated) {
        if (loading++ >= maxLoadingServers)
            break;
        begin(rollout, *it, catalogue, target, step, times, now);
    }
}

} // namespace

std::size_t maxLoading(std::size_t servers)
{
    return std::max<std::size_t>(1, servers / serversPerLoad);
}

std::uint64_t knownWeightsVersion(const catalogue::Catalogue &catalogue, const ListedServer &server,
                                  const std::string &model)
{
    const catalogue::ServerWeights *record = recordOf(catalogue, server, model);
    const std::uint64_t listed = versionIn(server.weights, model);
    return record && !record->isLoading ? std::max(record->version, listed) : listed;
}

RolloutStep nextStep(Rollout &rollout, const std::vector<ListedServer> &servers,
                     const catalogue::Catalogue &catalogue, const RolloutTimes &times,
                     TimePoint now)
{
    RolloutStep step;
    removeDeparted(rollout, servers, catalogue, step, now);
    for (const auto &it : catalogue.weights)
        advanceModel(rollout, servers, catalogue, {it.first, it.second}, step, times, now);
    return step;
}

void handleAnswer(Rollout &rollout, const RolloutAnswer &answer, const RolloutTimes &times,
                  TimePoint now)
{
    const auto found = rollout.servers.find(answer.start);
    if (found == rollout.servers.end())
        return;
    ServerRollout &it = found->second;
    it.isCallPending = false;
    if (answer.report)
        it.report = answer.report;
    it.nextCallAt = std::max(it.nextCallAt, now + times.reportInterval);
    if (answer.kind == RolloutCall::Kind::Report) {
        // The order follows the first report as soon as the entries have received the announcement.
        if (answer.report && !it.isOrdered)
            it.nextCallAt = std::min(it.nextCallAt, it.startedAt + times.noticeDelay);
        // Reports lag, so that only a report received after orderTimeout shows that the order was
        // lost.
        if (it.isOrdered && now - it.orderedAt > times.orderTimeout && answer.report
            && !answer.report->isBusy && versionIn(answer.report->weights, it.model) < it.version)
            it.isOrdered = false;
        return;
    }
    const bool isRefused = answer.order
        && (*answer.order == OrderAnswer::Busy || *answer.order == OrderAnswer::Refused);
    // Reports from before the order say nothing about it. If the order was refused, another one is
    // in progress or the number of accepted orders has changed.
    it.report.reset();
    if (isRefused)
        it.isOrdered = false;
}

} // namespace kumquathaven::deployment
