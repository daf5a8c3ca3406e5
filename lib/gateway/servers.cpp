// The tables of servers: lists, weights, and what became of requests.

#include "servers.h"
#include "servertables.h"

#include "kumquathaven/deployment/rollout.h"

#include <algorithm>
#include <iterator>

namespace kumquathaven::gateway {

namespace {

/// Prompt tokens a second that an engine reads until its speed is learned: in the middle of what
/// engines of today do.
constexpr double initialPrefillSpeed = 50'000;
/// Versions that are remembered of each model; older ones are out of use.
constexpr std::size_t maxNamed = 64;
/// Backlogs that others told are believed for so long: they are told again after half of it.
constexpr Duration believedFor = 2 * backlogInterval;
/// What waits to be told of prompts; others forget what they are not told of.
constexpr std::size_t maxStoreNews = 1'000;
constexpr std::size_t maxFindings = 256;
/// A server that refuses gets no requests for this time: about what it takes to drain a queue or to
/// take new weights. Then one request shows whether it still does.
constexpr Duration refusingPause = std::chrono::milliseconds(250);
/// A server that takes no connections is found again within this time if requests go there.
constexpr Duration unreachableLife = std::chrono::seconds(1);
/// Instances that have to find a server unreachable.
constexpr std::size_t leastFinders = 2;
/// Shared prompts that are remembered to be in the store.
constexpr std::size_t maxStored = 20'000;

/// The part of a backlog that counts as done at most while no first token shows it: a server that
/// shows none may be stuck.
constexpr double mostUnseen = 0.5;

routing::Policy policyOf()
{
    routing::Policy policy;
    policy.initialPrefillSpeed = initialPrefillSpeed;
    // Without event streams a block is believed to stay for as long as engines of this size keep
    // what they use.
    policy.estimateHalfLife = std::chrono::seconds(20);
    return policy;
}

std::string shownKey(const std::string &start, const std::string &model)
{
    return start + "/" + model;
}

/// Returns the version that a server has of a model, as far as is known.
std::uint64_t versionOf(const Servers &servers, const KnownServer &server, const std::string &start,
                        const std::string &model)
{
    std::uint64_t version = 0;
    const auto listed = server.listed.weights.find(model);
    if (listed != server.listed.weights.end())
        version = listed->second;
    if (servers.catalogue)
        version = deployment::weightsOf(*servers.catalogue, server.listed, model);
    const auto shown = servers.shown.find(shownKey(start, model));
    return shown == servers.shown.end() ? version : std::max(version, shown->second);
}

/// Brings the routing table's view of a server in line with what is known of its weights.
void refresh(Servers &servers, const std::string &start, KnownServer &server)
{
    routing::UpstreamView &view = servers.fleet.upstreams[server.slot];
    view.leaving = server.listed.isLeaving || server.isMoved;
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

/// Returns the prompt tokens that all instances wait for at a server.
double backlogOf(const Servers &servers, const KnownServer &server, TimePoint now)
{
    return routing::outstandingTokens(servers.fleet.upstreams[server.slot])
        + static_cast<double>(peerBacklog(server, now));
}

/// Remembers to tell the others of a finding.
void addFinding(Servers &servers, ServerFinding finding)
{
    if (servers.findings.size() < maxFindings)
        servers.findings.push_back(std::move(finding));
}

/// A server said that it does not run a request. Returns whether that is new.
bool noteRefusing(KnownServer &server, TimePoint now)
{
    const bool isNew = server.refusesUntil <= now;
    server.refusesUntil = now + refusingPause;
    return isNew;
}

/// An instance found that a server takes no connections. Returns whether that is new.
bool noteFinder(Servers &servers, KnownServer &server, const std::string &instance, TimePoint now)
{
    TimePoint &foundAt = server.unreachableFor[instance];
    const bool isNew = foundAt == TimePoint{} || now - foundAt >= unreachableLife;
    foundAt = now;
    const auto finders = std::count_if(server.unreachableFor.begin(), server.unreachableFor.end(),
                                       [&](const auto &it) {
                                           return now - it.second < unreachableLife;
                                       });
    if (static_cast<std::size_t>(finders) >= leastFinders)
        routing::recordUnreachable(servers.fleet.upstreams[server.slot].health,
                                   servers.fleet.policy);
    return isNew;
}

/// Returns whether the version was not known.
bool takeVersion(Servers &servers, const std::string &start, KnownServer &server,
                 const std::string &model, std::uint64_t version)
{
    if (server.listed.weights.count(model) == 0)
        return false;
    std::uint64_t &shown = servers.shown[shownKey(start, model)];
    if (version <= shown)
        return false;
    shown = version;
    refresh(servers, start, server);
    return true;
}

/// Takes note of what became of a prompt, and remembers to tell the others.
void addStoreNews(Servers &servers, const StoreNews &news, TimePoint now)
{
    noteStoreNews(servers, news, now);
    if (servers.storeNews.size() < maxStoreNews)
        servers.storeNews.push_back(news);
}

} // namespace

void markReading(Servers &servers, std::uint64_t lastBlock, const std::string &reader,
                 const std::string &store, TimePoint now)
{
    if (servers.stored.size() >= maxStored)
        servers.stored.clear();
    servers.stored[lastBlock] = {reader, store, now, false};
}

void noteStore(Servers &servers, const std::string &address, bool isReachable)
{
    if (isReachable)
        servers.reachableStores.insert(address);
    else
        servers.reachableStores.erase(address);
    for (auto it = servers.stored.begin(); it != servers.stored.end();)
        it = it->second.store == address ? servers.stored.erase(it) : std::next(it);
}

void noteStoreNews(Servers &servers, const StoreNews &news, TimePoint now)
{
    const auto it = servers.stored.find(news.block);
    if (it == servers.stored.end())
        return;
    if (news.isThere)
        it->second = {it->second.reader, it->second.store, now, true};
    else if (!it->second.isThere)
        servers.stored.erase(it);
}

Servers::Servers()
    : fleet(policyOf())
{ }

void takeList(Servers &servers, const std::vector<deployment::ListedServer> &list, TimePoint now)
{
    std::set<std::string> present;
    for (const deployment::ListedServer &it : list) {
        const std::string start = deployment::startOf(it);
        present.insert(start);
        KnownServer &server = servers.known[start];
        const bool isNew = server.listed.id.empty();
        server.listed = it;
        if (isNew)
            server.slot = routing::addUpstream(servers.fleet, start, it.service, "0", now);
        refresh(servers, start, server);
    }
    for (auto it = servers.known.begin(); it != servers.known.end();) {
        if (present.count(it->first) > 0) {
            ++it;
            continue;
        }
        routing::removeUpstream(servers.fleet, it->first);
        const auto first = servers.shown.lower_bound(it->first + "/");
        const auto last = servers.shown.lower_bound(it->first + "0");
        servers.shown.erase(first, last);
        it = servers.known.erase(it);
    }
    servers.listedAt = now;
}

void takeCatalogue(Servers &servers, std::shared_ptr<const catalogue::Catalogue> catalogue,
                   TimePoint now)
{
    for (const auto &[model, version] : catalogue->weights) {
        std::map<std::uint64_t, TimePoint> &named = servers.namedAt[model];
        // What was named before this instance knew any of them may be as old as it likes.
        named.emplace(version, now);
        if (named.size() > maxNamed)
            named.erase(named.begin());
    }
    servers.catalogue = std::move(catalogue);
    refreshAll(servers);
}

void notePlaced(Servers &servers, const PlacedPrompt &prompt, TimePoint now)
{
    std::vector<routing::NamedPart> parts;
    for (const deployment::PromptPart &it : prompt.parts)
        parts.push_back({it.id, static_cast<std::uint32_t>(it.tokens)});
    const routing::PrefixChain chain({prompt.customer, prompt.model, {}, prompt.version}, parts,
                                     blockTokens);
    if (chain.blocks().empty())
        return;
    if (!prompt.store.empty())
        markReading(servers, static_cast<std::uint64_t>(chain.blocks().back()), prompt.start,
                    prompt.store, now);
    const auto server = servers.known.find(prompt.start);
    if (server == servers.known.end())
        return;
    const routing::UpstreamView &view = servers.fleet.upstreams[server->second.slot];
    for (const routing::BlockHash it : chain.blocks())
        servers.fleet.index.addHolder(
            it, {server->second.slot, view.generation, view.streamRun, false, now});
}

Duration expectedWait(const Servers &servers, const KnownServer &server, TimePoint now)
{
    const double tokens = backlogOf(servers, server, now);
    const double speed = routing::prefillSpeed(servers.fleet, server.slot);
    const double done = toSeconds(now - server.progressAt) * speed;
    return fromSeconds((tokens - std::min(done, tokens * mostUnseen)) / speed);
}

void noteWork(const Servers &servers, KnownServer &server, TimePoint now)
{
    if (backlogOf(servers, server, now) <= 0)
        server.progressAt = now;
}

void noteBacklog(Servers &servers, const std::string &peer, const ServerBacklog &backlog,
                 TimePoint now)
{
    const auto server = servers.known.find(backlog.start);
    if (server == servers.known.end())
        return;
    noteWork(servers, server->second, now);
    const auto before = server->second.peers.find(peer);
    if (before != server->second.peers.end() && backlog.tokens < before->second.tokens)
        server->second.progressAt = now;
    if (backlog.tokens == 0)
        server->second.peers.erase(peer);
    else
        server->second.peers[peer] = {backlog.tokens, now};
}

std::uint64_t peerBacklog(const KnownServer &server, TimePoint now)
{
    std::uint64_t tokens = 0;
    for (const auto &[peer, it] : server.peers) {
        if (now - it.at < believedFor)
            tokens += it.tokens;
    }
    return tokens;
}

void recordFirstToken(Servers &servers, const Pick &pick, TimePoint now)
{
    if (servers.known.count(pick.start) == 0)
        return;
    routing::recordFirstToken(servers.fleet, pick.slot, pick.ticket, now);
    KnownServer &server = servers.known.at(pick.start);
    server.progressAt = now;
    server.unreachableFor.clear();
    if (pick.savedBlock != 0)
        addStoreNews(servers, {pick.savedBlock, true}, now);
}

void recordPause(Servers &servers, const Pick &pick, Duration pause)
{
    const auto it = servers.known.find(pick.start);
    if (it == servers.known.end())
        return;
    routing::recordPause(servers.fleet.upstreams[pick.slot].engineSpeed, pause);
    routing::recordPause(it->second.untoldPauses, pause);
}

void notePace(Servers &servers, const ServerPace &engineSpeed)
{
    const auto it = servers.known.find(engineSpeed.start);
    if (it != servers.known.end())
        routing::recordReportedPause(servers.fleet.upstreams[it->second.slot].engineSpeed,
                                     engineSpeed.pause);
}

void noteEnd(Servers &servers, const Pick &pick, SendEnd end, TimePoint now)
{
    // Without a first token nothing was read, and so nothing stored.
    if (pick.savedBlock != 0 && end != SendEnd::Answered)
        addStoreNews(servers, {pick.savedBlock, false}, now);
    const auto it = servers.known.find(pick.start);
    if (it == servers.known.end())
        return;
    it->second.running -= std::min(1U, it->second.running);
    const bool wasNotRead =
        end == SendEnd::Refused || end == SendEnd::Misdirected || end == SendEnd::NotConnected;
    for (const routing::BlockHash block : pick.blocks) {
        if (wasNotRead)
            servers.fleet.index.removeHolder(block, pick.slot);
    }
    switch (end) {
    case SendEnd::Answered:
    case SendEnd::Misdirected:
        routing::recordFinished(servers.fleet, pick.slot, pick.ticket, -1, now);
        break;
    case SendEnd::Refused:
        routing::recordFailed(servers.fleet, pick.slot, pick.ticket, routing::Failure::Refused,
                              now);
        if (noteRefusing(it->second, now))
            addFinding(servers, {pick.start, FindingKind::Refuses, {}, 0});
        break;
    case SendEnd::NotConnected:
        routing::recordFailed(servers.fleet, pick.slot, pick.ticket, routing::Failure::Connect,
                              now);
        if (noteFinder(servers, it->second, {}, now))
            addFinding(servers, {pick.start, FindingKind::Unreachable, {}, 0});
        break;
    case SendEnd::Cut:
        routing::recordFailed(servers.fleet, pick.slot, pick.ticket, routing::Failure::Cut, now);
        break;
    case SendEnd::Silent:
        routing::recordFailed(servers.fleet, pick.slot, pick.ticket, routing::Failure::Timeout,
                              now);
        break;
    case SendEnd::Abandoned:
        routing::recordGivenUp(servers.fleet, pick.slot, pick.ticket, now);
        break;
    }
}

void noteMoved(Servers &servers, const Pick &pick)
{
    const auto it = servers.known.find(pick.start);
    if (it == servers.known.end())
        return;
    it->second.isMoved = true;
    refresh(servers, it->first, it->second);
}

void noteWeights(Servers &servers, const Pick &pick, const std::string &model,
                 std::uint64_t version)
{
    const auto it = servers.known.find(pick.start);
    if (it != servers.known.end() && takeVersion(servers, it->first, it->second, model, version))
        addFinding(servers, {pick.start, FindingKind::Weights, model, version});
}

void noteFinding(Servers &servers, const std::string &peer, const ServerFinding &finding,
                 TimePoint now)
{
    const auto it = servers.known.find(finding.start);
    if (it == servers.known.end())
        return;
    switch (finding.kind) {
    case FindingKind::Refuses:
        noteRefusing(it->second, now);
        break;
    case FindingKind::Unreachable:
        noteFinder(servers, it->second, peer, now);
        break;
    case FindingKind::Weights:
        takeVersion(servers, it->first, it->second, finding.model, finding.version);
        break;
    }
}

std::size_t ejectedOf(const Servers &servers)
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
