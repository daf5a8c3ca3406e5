// Maintains the tables of servers: lists, weights, and the outcomes of requests.

#include "servers.h"
#include "pacing.h"
#include "servertables.h"

#include "kumquathaven/deployment/rollout.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace kumquathaven::gateway {

namespace {

/// Prompt tokens a second that an engine is assumed to read until its speed is learned: in the
/// middle of what current engines do.
constexpr double initialPrefillSpeed = 50'000;
/// Maximum number of unreported store updates. Entries that are not reported expire at the other
/// instances.
constexpr std::size_t maxUnreportedStoreUpdates = 1'000;
constexpr std::size_t maxUnreportedObservations = 256;
/// How long a start that said that it leaves is remembered after it has left the list.
constexpr Duration leavingMemory = std::chrono::minutes(10);
/// How long a server that refused a request gets no others: about the time in which it drains a
/// queue or loads new weights. Then one request shows whether it still refuses.
constexpr Duration refusalPause = std::chrono::milliseconds(250);
/// How long an observation that a server accepts no connections counts. It is observed again within
/// this time if requests are sent there.
constexpr Duration unreachableExpiry = std::chrono::seconds(1);
/// Number of instances that must observe that a server is unreachable before it counts as such.
constexpr std::size_t minObservers = 2;
/// Maximum number of shared prompts that are tracked as being in the store or on the way there.
constexpr std::size_t maxStored = 20'000;

routing::Policy policyOf()
{
    routing::Policy policy;
    policy.initialPrefillSpeed = initialPrefillSpeed;
    // Without event streams from the engines, a block is assumed to stay for as long as engines of
    // this size keep what they use.
    policy.estimateHalfLife = std::chrono::seconds(20);
    return policy;
}

std::string observedVersionKey(const std::string &start, const std::string &model)
{
    return start + "/" + model;
}

/// Returns the weights version that a server has of a model according to the list, the catalogue
/// and its answers; zero if unknown.
std::uint64_t versionOf(const Servers &servers, const KnownServer &server, const std::string &start,
                        const std::string &model)
{
    std::uint64_t version = 0;
    const auto listed = server.listed.weights.find(model);
    if (listed != server.listed.weights.end())
        version = listed->second;
    if (servers.catalogue)
        version = deployment::knownWeightsVersion(*servers.catalogue, server.listed, model);
    const auto observed = servers.observedVersions.find(observedVersionKey(start, model));
    return observed == servers.observedVersions.end() ? version
                                                      : std::max(version, observed->second);
}

/// Updates the routing table's view of a server from its listing and its weights.
void refresh(Servers &servers, const std::string &start, KnownServer &server)
{
    routing::UpstreamView &view = servers.fleet.upstreams[server.slot];
    view.leaving =
        server.listed.isDraining || server.isMoved || servers.leavingSince.count(start) > 0;
    view.loading = false;
    if (server.listed.weights.empty())
        return;
    const std::string &model = server.listed.weights.begin()->first;
    view.weightsVersion = std::to_string(versionOf(servers, server, start, model));
    if (!servers.catalogue)
        return;
    const auto record = servers.catalogue->serverWeights.find(start + "/" + model);
    if (record != servers.catalogue->serverWeights.end())
        view.loading = record->second.isLoading;
}

void refreshAll(Servers &servers)
{
    for (auto &[start, server] : servers.known)
        refresh(servers, start, server);
}

/// Queues an observation for the other instances; it is dropped if too many are queued.
void queueObservation(Servers &servers, ServerObservation observation)
{
    if (servers.observations.size() < maxUnreportedObservations)
        servers.observations.push_back(std::move(observation));
}

/// Records that a server refused a request. Returns whether that is new.
bool recordRefusal(KnownServer &server, TimePoint now)
{
    const bool isNew = server.refusesUntil <= now;
    server.refusesUntil = now + refusalPause;
    return isNew;
}

/// Records that an instance observed a server that accepts no connections. Returns whether that is
/// new.
bool recordUnreachable(Servers &servers, KnownServer &server, const std::string &instance,
                       TimePoint now)
{
    TimePoint &observedAt = server.unreachableObservedAt[instance];
    const bool isNew = observedAt == TimePoint{} || now - observedAt >= unreachableExpiry;
    observedAt = now;
    const auto observers = std::count_if(server.unreachableObservedAt.begin(),
                                         server.unreachableObservedAt.end(), [&](const auto &it) {
                                             return now - it.second < unreachableExpiry;
                                         });
    if (static_cast<std::size_t>(observers) >= minObservers)
        routing::recordUnreachable(servers.fleet.upstreams[server.slot].health,
                                   servers.fleet.policy);
    return isNew;
}

/// Records the weights version that a server returned. Returns whether it is newer than the one
/// known before.
bool updateVersion(Servers &servers, const std::string &start, KnownServer &server,
                   const std::string &model, std::uint64_t version)
{
    if (server.listed.weights.count(model) == 0)
        return false;
    std::uint64_t &observed = servers.observedVersions[observedVersionKey(start, model)];
    if (version <= observed)
        return false;
    observed = version;
    refresh(servers, start, server);
    return true;
}

std::vector<const deployment::ListedServer *> listedServers(const Servers &servers)
{
    std::vector<const deployment::ListedServer *> list;
    for (const auto &it : servers.known)
        list.push_back(&it.second.listed);
    return list;
}

/// Marks a start as leaving. Returns whether that is new.
bool markLeaving(Servers &servers, const std::string &start, TimePoint now)
{
    if (!servers.leavingSince.try_emplace(start, now).second)
        return false;
    const auto it = servers.known.find(start);
    if (it != servers.known.end())
        refresh(servers, start, it->second);
    return true;
}

/// Forgets starts that said long ago that they leave and that are not listed any more.
void forgetDeparted(Servers &servers, TimePoint now)
{
    for (auto it = servers.leavingSince.begin(); it != servers.leavingSince.end();) {
        const bool isDeparted =
            servers.known.count(it->first) == 0 && now - it->second > leavingMemory;
        it = isDeparted ? servers.leavingSince.erase(it) : std::next(it);
    }
}

/// Counts how a request ended at a server.
void recordOutcome(Servers &servers, const std::string &start, KnownServer &server, AttemptEnd end,
                   TimePoint now)
{
    const bool isError =
        end == AttemptEnd::ServerError || end == AttemptEnd::Cut || end == AttemptEnd::Silent;
    if (!isError && end != AttemptEnd::Answered)
        return;
    const OutcomeCounts counts{isError ? 0 : 1, isError ? 1 : 0};
    addOutcomes(server.outcomes, counts, now);
    server.unreportedOutcomes.answers += counts.answers;
    server.unreportedOutcomes.errors += counts.errors;
    servers.changedOutcomes.insert(start);
}

/// Applies a change of a prompt in the store and queues it for the other instances.
void recordStoreUpdate(Servers &servers, const StoreUpdate &update, TimePoint now)
{
    applyStoreUpdate(servers, update, now);
    if (servers.unreportedStoreUpdates.size() < maxUnreportedStoreUpdates)
        servers.unreportedStoreUpdates.push_back(update);
}

} // namespace

void recordPromptReader(Servers &servers, std::uint64_t lastBlock, const std::string &reader,
                        const std::string &store, TimePoint now)
{
    if (servers.stored.size() >= maxStored)
        servers.stored.clear();
    servers.stored[lastBlock] = {reader, store, now, false};
}

void setStoreReachable(Servers &servers, const std::string &address, bool isReachable)
{
    if (isReachable)
        servers.reachableStores.insert(address);
    else
        servers.reachableStores.erase(address);
    for (auto it = servers.stored.begin(); it != servers.stored.end();)
        it = it->second.store == address ? servers.stored.erase(it) : std::next(it);
}

void applyStoreUpdate(Servers &servers, const StoreUpdate &update, TimePoint now)
{
    const auto it = servers.stored.find(update.block);
    if (it == servers.stored.end())
        return;
    if (update.isStored)
        it->second = {it->second.reader, it->second.store, now, true};
    else if (!it->second.isStored)
        servers.stored.erase(it);
}

Servers::Servers()
    : fleet(policyOf())
{ }

void applyList(Servers &servers, const std::vector<deployment::ListedServer> &list, TimePoint now)
{
    std::set<std::string> present;
    // Servers that this instance finds when it starts may have run for long.
    const bool isFirstList = servers.listReadAt == TimePoint{};
    for (const deployment::ListedServer &it : list) {
        const std::string start = deployment::startIdOf(it);
        // Of two entries for one start only the first one counts.
        if (!present.insert(start).second)
            continue;
        KnownServer &server = servers.known[start];
        const bool isNew = server.listed.id.empty();
        server.listed = it;
        if (isNew) {
            server.slot = routing::addUpstream(servers.fleet, start, it.service, "0", now);
            for (const std::uint64_t key : {backlogKey(start), answersKey(start), errorsKey(start)})
                servers.startsByKey[key] = start;
            if (!isFirstList || it.remainingWarmup > Duration(0))
                beginPace(servers, server, now);
        }
        refresh(servers, start, server);
    }
    for (auto it = servers.known.begin(); it != servers.known.end();) {
        if (present.count(it->first) > 0) {
            ++it;
            continue;
        }
        routing::removeUpstream(servers.fleet, it->first);
        const auto first = servers.observedVersions.lower_bound(it->first + "/");
        const auto last = servers.observedVersions.lower_bound(it->first + "0");
        servers.observedVersions.erase(first, last);
        for (const std::uint64_t key :
             {backlogKey(it->first), answersKey(it->first), errorsKey(it->first)})
            servers.startsByKey.erase(key);
        servers.changedBacklogs.insert(it->first);
        it = servers.known.erase(it);
    }
    servers.listReadAt = now;
    applySupply(servers.releases, listedServers(servers));
    forgetDeparted(servers, now);
}

void applyCatalogue(Servers &servers, std::shared_ptr<const catalogue::Catalogue> catalogue)
{
    servers.catalogue = std::move(catalogue);
    refreshAll(servers);
}

std::vector<std::string> applyReleases(Servers &servers, std::uint64_t wallMs, TimePoint now)
{
    if (!servers.catalogue)
        return {};
    std::vector<std::string> changed =
        applyRollouts(servers.releases, servers.catalogue->rollouts, wallMs, now);
    if (!changed.empty())
        applySupply(servers.releases, listedServers(servers));
    return changed;
}

void applyPlacedPrompt(Servers &servers, const PlacedPrompt &prompt, TimePoint now)
{
    std::vector<routing::NamedPart> parts;
    for (const deployment::PromptPart &it : prompt.parts)
        parts.push_back({it.id, static_cast<std::uint32_t>(it.tokens)});
    const auto chain = routing::PrefixChain::ofParts(
        {prompt.cacheScope, prompt.model, {}, prompt.version}, parts, 0, blockTokens);
    if (chain.blocks().empty())
        return;
    if (!prompt.store.empty())
        recordPromptReader(servers, static_cast<std::uint64_t>(chain.blocks().back()), prompt.start,
                           prompt.store, now);
    const auto server = servers.known.find(prompt.start);
    if (server == servers.known.end())
        return;
    const routing::UpstreamView &view = servers.fleet.upstreams[server->second.slot];
    for (const routing::BlockHash it : chain.blocks())
        servers.fleet.index.addHolder(
            it, {server->second.slot, view.generation, view.streamRun, false, now});
}

void recordFirstToken(Servers &servers, const Pick &pick, TimePoint now)
{
    if (servers.known.count(pick.start) == 0)
        return;
    KnownServer &server = servers.known.at(pick.start);
    const routing::HealthState &health = servers.fleet.upstreams[pick.slot].health.state;
    const bool wasHealthy = health == routing::HealthState::Healthy;
    const double waiting = waitingWork(servers, server);
    recordPacedAnswer(servers, server, pick.ticket, now);
    routing::recordFirstToken(servers.fleet, pick.slot, pick.ticket, now);
    recordCompletedWork(servers, pick.start, server, waiting - waitingWork(servers, server), now);
    if (!wasHealthy && health == routing::HealthState::Healthy)
        beginPace(servers, server, now);
    servers.changedBacklogs.insert(pick.start);
    server.lastProgressAt = now;
    server.unreachableObservedAt.clear();
    if (pick.savedBlock != 0)
        recordStoreUpdate(servers, {pick.savedBlock, true}, now);
}

void recordPause(Servers &servers, const Pick &pick, Duration pause)
{
    const auto it = servers.known.find(pick.start);
    if (it == servers.known.end())
        return;
    routing::recordPause(servers.fleet.upstreams[pick.slot].engineSpeed, pause);
    routing::recordPause(it->second.unreportedPauses, pause);
    servers.changedPauses.insert(pick.start);
}

void applyPeerPace(Servers &servers, const ServerPace &engineSpeed)
{
    const auto it = servers.known.find(engineSpeed.start);
    if (it != servers.known.end())
        routing::recordReportedPause(servers.fleet.upstreams[it->second.slot].engineSpeed,
                                     engineSpeed.pause);
}

void recordAttemptEnd(Servers &servers, const Pick &pick, AttemptEnd end, TimePoint now)
{
    // Without a first token the prompt was not read, and so not stored.
    if (pick.savedBlock != 0 && end != AttemptEnd::Answered)
        recordStoreUpdate(servers, {pick.savedBlock, false}, now);
    const auto it = servers.known.find(pick.start);
    if (it == servers.known.end())
        return;
    it->second.running -= std::min(1U, it->second.running);
    servers.changedBacklogs.insert(pick.start);
    recordOutcome(servers, it->first, it->second, end, now);
    const bool hasFailed = end == AttemptEnd::Refused || end == AttemptEnd::ServerError
        || end == AttemptEnd::Cut || end == AttemptEnd::Silent;
    if (hasFailed)
        pace::recordFailure(it->second.pace);
    const bool wasNotRead = end == AttemptEnd::Refused || end == AttemptEnd::Misdirected
        || end == AttemptEnd::NotConnected;
    for (const routing::BlockHash block : pick.blocks) {
        if (wasNotRead)
            servers.fleet.index.removeHolder(block, pick.slot);
    }
    switch (end) {
    case AttemptEnd::Answered:
    case AttemptEnd::Misdirected:
        routing::recordFinished(servers.fleet, pick.slot, pick.ticket, -1, now);
        break;
    case AttemptEnd::Refused:
        routing::recordFailed(servers.fleet, pick.slot, pick.ticket, routing::Failure::Refused,
                              now);
        if (recordRefusal(it->second, now))
            queueObservation(servers, {pick.start, ObservationKind::Refuses, {}, 0});
        break;
    case AttemptEnd::NotConnected:
        routing::recordFailed(servers.fleet, pick.slot, pick.ticket, routing::Failure::Connect,
                              now);
        if (recordUnreachable(servers, it->second, {}, now))
            queueObservation(servers, {pick.start, ObservationKind::Unreachable, {}, 0});
        break;
    case AttemptEnd::ServerError:
    case AttemptEnd::Cut:
        routing::recordFailed(servers.fleet, pick.slot, pick.ticket, routing::Failure::Cut, now);
        break;
    case AttemptEnd::Silent:
        routing::recordFailed(servers.fleet, pick.slot, pick.ticket, routing::Failure::Timeout,
                              now);
        break;
    case AttemptEnd::Abandoned:
        routing::recordGivenUp(servers.fleet, pick.slot, pick.ticket, now);
        break;
    }
}

void recordMoved(Servers &servers, const Pick &pick)
{
    const auto it = servers.known.find(pick.start);
    if (it == servers.known.end())
        return;
    it->second.isMoved = true;
    refresh(servers, it->first, it->second);
}

void recordLeaving(Servers &servers, const Pick &pick, TimePoint now)
{
    if (markLeaving(servers, pick.start, now))
        queueObservation(servers, {pick.start, ObservationKind::Leaving, {}, 0});
}

bool isLeaving(const Servers &servers, const std::string &start)
{
    const auto it = servers.known.find(start);
    return servers.leavingSince.count(start) > 0
        || (it != servers.known.end() && it->second.listed.isDraining);
}

void recordPauseRequest(Servers &servers, const Pick &pick, Duration pause, TimePoint now)
{
    const auto it = servers.known.find(pick.start);
    if (it != servers.known.end())
        it->second.pausedUntil = std::max(it->second.pausedUntil, now + pause);
}

void recordWeights(Servers &servers, const Pick &pick, const std::string &model,
                   std::uint64_t version)
{
    const auto it = servers.known.find(pick.start);
    if (it != servers.known.end() && updateVersion(servers, it->first, it->second, model, version))
        queueObservation(servers, {pick.start, ObservationKind::Weights, model, version});
}

void applyObservation(Servers &servers, const std::string &peer,
                      const ServerObservation &observation, TimePoint now)
{
    if (observation.kind == ObservationKind::Leaving)
        markLeaving(servers, observation.start, now);
    const auto it = servers.known.find(observation.start);
    if (it == servers.known.end())
        return;
    switch (observation.kind) {
    case ObservationKind::Refuses:
        recordRefusal(it->second, now);
        break;
    case ObservationKind::Unreachable:
        recordUnreachable(servers, it->second, peer, now);
        break;
    case ObservationKind::Weights:
        updateVersion(servers, it->first, it->second, observation.model, observation.version);
        break;
    case ObservationKind::Leaving:
        break;
    }
}

std::size_t ejectedCount(const Servers &servers)
{
    return static_cast<std::size_t>(
        std::count_if(servers.known.begin(), servers.known.end(), [&](const auto &it) {
            return servers.fleet.upstreams[it.second.slot].health.state
                != routing::HealthState::Healthy;
        }));
}

std::set<std::string> startsOf(const Servers &servers)
{
    std::set<std::string> starts;
    for (const auto &it : servers.known)
        starts.insert(it.first);
    return starts;
}

} // namespace kumquathaven::gateway
