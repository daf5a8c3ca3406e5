// Chooses a server for a request.

#include "candidates.h"
#include "enginechoice.h"
#include "overload.h"
#include "pacing.h"
#include "servers.h"
#include "servertables.h"

#include "kumquathaven/base/hash.h"

#include <algorithm>
#include <cmath>

namespace kumquathaven::gateway {

namespace {

/// A shared part that an engine reads in less time than this is neither placed nor stored: it costs
/// less than a step of the engine.
constexpr Duration minPlacedReadTime = std::chrono::milliseconds(2);
/// Maximum wait, as a share of the objective, at a server that was drawn for a request whose shared
/// part is not placed.
constexpr double maxDrawnWaitShare = 0.25;
/// A shared part is stored if it is read this many times more slowly than it is fetched over an
/// idle link. A fetch takes a fixed time besides the transfer.
constexpr double minStoreGain = 2;
constexpr Duration fetchOverhead = std::chrono::milliseconds(1);
/// A server is assumed to hold shared parts if it is expected to hold this share of their tokens.
constexpr double minCachedShare = 0.8;
/// Transfer rate that is expected of a store, as a share of the link speed in its settings, since
/// transfers wait for each other.
constexpr double storeLinkShare = 0.4;
constexpr double bitsPerByte = 8;
constexpr double bitsPerMegabit = 1e6;
/// How long a shared part is assumed to stay in the store after it was sent there.
constexpr Duration storedLifetime = std::chrono::seconds(60);
/// How long a server may take to read a shared part; after this time it counts as not reading it.
constexpr Duration maxReadTime = std::chrono::seconds(8);
/// Share of the time to the deadline for which a request waits for a server that is reading its
/// shared part, to avoid that the part is read twice. The remainder is left for the answer.
constexpr double maxReaderDelayShare = 0.5;
/// Maximum number of placed prompts that are queued for the other instances.
constexpr std::size_t maxUnreportedPrompts = 1'000;
/// A placement is not reported again within this time, which is short against the time for which
/// engines are assumed to keep a prompt.
constexpr Duration placementReportInterval = std::chrono::seconds(2);
/// Maximum additional time to the first event at the preferred server of a large shared part, as a
/// share of the objective.
constexpr double maxPlacementDelayShare = 0.25;

/// Returns the parts of a prompt that other requests share: all except the last.
std::vector<routing::NamedPart> sharedPartsOf(const deployment::CallerHead &head)
{
    std::vector<routing::NamedPart> parts;
    for (std::size_t n = 0; n + 1 < head.prompt.size(); ++n)
        parts.push_back({head.prompt[n].id, static_cast<std::uint32_t>(head.prompt[n].tokens)});
    return parts;
}

/// Returns the number of tokens in all parts except the last, which no other request shares.
std::uint64_t sharedTokensOf(const deployment::CallerHead &head)
{
    std::uint64_t tokens = 0;
    for (std::size_t n = 0; n + 1 < head.prompt.size(); ++n)
        tokens += head.prompt[n].tokens;
    return tokens;
}

/// Returns the number of tokens in the prompt: what the caller states, or what its parts have.
std::uint64_t promptTokensOf(const deployment::CallerHead &head)
{
    std::uint64_t tokens = 0;
    for (const deployment::PromptPart &it : head.prompt)
        tokens += it.tokens;
    return std::max(tokens, head.promptTokens);
}

/// Returns the id of the last shared part, which stands for it and all parts before it. The first
/// part alone may be common to most prompts.
const std::string &sharedIdOf(const deployment::CallerHead &head)
{
    static const std::string none;
    return head.prompt.size() < 2 ? none : head.prompt[head.prompt.size() - 2].id;
}

/// Returns the time in which an average engine reads the shared parts of a prompt.
Duration sharedReadTime(const Servers &servers, const PickRequest &request,
                        const routing::Request &out)
{
    double speed = 0;
    for (const routing::Slot it : out.candidates)
        speed +=
            routing::prefillSpeed(servers.fleet, it) / static_cast<double>(out.candidates.size());
    return fromSeconds(static_cast<double>(sharedTokensOf(*request.head)) / std::max(speed, 1.0));
}

/// Returns the tokens a second that the links of an engine and a store carry.
double linkSpeed(const deployment::EngineTraits &engine, const deployment::StoreTraits &store)
{
    const double bytes = std::max<double>(1.0, static_cast<double>(engine.tokenBytes));
    const double mbps = std::min(engine.linkMbps, store.linkMbps);
    return std::max(1.0, mbps * bitsPerMegabit / bitsPerByte / bytes);
}

/// Returns whether fetching the shared parts of a prompt is worth storing them.
bool isWorthStoring(const PickRequest &request, const deployment::Service *engine,
                    const deployment::Service *store, Duration readTime)
{
    if (store == nullptr || engine == nullptr || !engine->engine || readTime < minPlacedReadTime)
        return false;
    const auto tokens = static_cast<double>(sharedTokensOf(*request.head));
    const double fetchTime =
        toSeconds(fetchOverhead) + tokens / linkSpeed(*engine->engine, *store->store);
    return toSeconds(readTime) >= minStoreGain * fetchTime;
}

/// Returns the scope under which engines look up cached parts. It contains the weights version,
/// since a store also keeps parts of earlier versions.
std::string engineScopeOf(const PickRequest &request, const std::string &version)
{
    return "v" + version + request.cacheScope;
}

routing::PrefixScope prefixScopeOf(const PickRequest &request, const std::string &version)
{
    return {request.cacheScope, request.head->model, {}, version};
}

/// Returns the store for a prompt, or null if none can be reached. All instances distribute the
/// prompts over the reachable stores in the same way.
const deployment::Service *storeFor(const Servers &servers, const PickRequest &request)
{
    const std::string &key = sharedIdOf(*request.head);
    if (key.empty())
        return nullptr;
    const deployment::Service *store = nullptr;
    std::uint64_t highest = 0;
    for (const auto &it : request.plan->services) {
        if (!it.second.store || servers.reachableStores.count(it.second.store->address) == 0)
            continue;
        const std::uint64_t rank = rendezvousRank(key, it.second.store->address);
        if (store != nullptr && rank <= highest)
            continue;
        store = &it.second;
        highest = rank;
    }
    return store;
}

/// Chooses the server without an engine that has the least work in proportion to its slots.
const Candidate &leastBusy(const Servers &servers, const std::vector<Candidate> &candidates,
                           const PickRequest &request)
{
    const auto cost = [&](const Candidate &it) {
        const routing::UpstreamView &view = servers.fleet.upstreams[it.server->slot];
        const double slots = std::max(1U, it.server->listed.slots);
        return (it.server->running + 1) / slots * std::max(1.0, view.health.slowness);
    };
    const std::string &id = request.head->requestId;
    return *std::min_element(candidates.begin(), candidates.end(),
                             [&](const Candidate &a, const Candidate &b) {
                                 const double left = cost(a);
                                 const double right = cost(b);
                                 // Ties are broken by a hash of the request, so that instances do
                                 // not all start with the same server.
                                 if (left != right)
                                     return left < right;
                                 return rendezvousRank(id, *a.start) > rendezvousRank(id, *b.start);
                             });
}

Pick pickOf(const Servers &servers, const PickRequest &request, const Candidate &candidate,
            const deployment::Service *service)
{
    Pick result;
    result.start = *candidate.start;
    result.serverId = candidate.server->listed.id;
    result.address = candidate.server->listed.address;
    result.service = candidate.server->listed.service;
    result.slot = candidate.server->slot;
    result.maxConnections = service != nullptr ? service->maxConnections : 0;
    result.send = releaseSendOf(servers.releases, candidate.server->listed, *candidate.start,
                                request.route->name);
    return result;
}

const deployment::Service *serviceOf(const deployment::Plan &plan, const std::string &name)
{
    const auto it = plan.services.find(name);
    return it == plan.services.end() ? nullptr : &it->second;
}

routing::Request routingRequest(const Servers &servers, const PickRequest &request,
                                const std::vector<Candidate> &candidates, TimePoint now)
{
    routing::Request out;
    out.repeatable = deployment::isRepeatable(*request.route);
    out.priority = std::min<std::size_t>(request.route->priority, routing::priorityCount - 1);
    out.deadline = request.deadline;
    out.draw = stableHash(request.head->requestId);
    const std::vector<routing::NamedPart> parts = sharedPartsOf(*request.head);
    const std::uint64_t shared = sharedTokensOf(*request.head);
    const auto unique =
        static_cast<std::uint32_t>(std::max(shared, promptTokensOf(*request.head)) - shared);
    for (const Candidate &it : candidates) {
        const routing::UpstreamView &view = servers.fleet.upstreams[it.server->slot];
        out.candidates.push_back(it.server->slot);
        out.waitOverrides[it.server->slot] = expectedWait(servers, *it.server, now);
        if (!routing::chainFor(out, view))
            out.chains.push_back(routing::PrefixChain::ofParts(
                prefixScopeOf(request, view.weightsVersion), parts, unique, blockTokens));
    }
    return out;
}

/// Returns the hash that stands for all shared parts of a prompt, or zero if there are none.
std::uint64_t lastBlockOf(const routing::PrefixChain &chain)
{
    return chain.blocks().empty() ? 0 : static_cast<std::uint64_t>(chain.blocks().back());
}

/// Adds the prompt tokens that the store is estimated to have, and the servers that are reading the
/// prompt for the store.
void addStoreView(const Servers &servers, const PickRequest &request,
                  const deployment::Service *engine, const deployment::Service *store,
                  routing::Request &out, Placement &placement, TimePoint now)
{
    const std::uint64_t shared = sharedTokensOf(*request.head);
    routing::StoreView view;
    for (const routing::PrefixChain &chain : out.chains) {
        const auto last = lastBlockOf(chain);
        const auto storedPrompt = servers.stored.find(last);
        const bool isKnown = storedPrompt != servers.stored.end()
            && storedPrompt->second.store == store->store->address;
        const bool isInStore = isKnown && storedPrompt->second.isStored
            && now - storedPrompt->second.updatedAt < storedLifetime;
        const bool isBeingRead = isKnown && !storedPrompt->second.isStored
            && now - storedPrompt->second.updatedAt < maxReadTime;
        if (isBeingRead && servers.known.count(storedPrompt->second.reader) > 0)
            placement.readers.push_back(servers.known.at(storedPrompt->second.reader).slot);
        view.storedTokens.push_back(isInStore ? static_cast<double>(shared) : 0.0);
    }
    view.importTokensPerSecond = storeLinkShare * linkSpeed(*engine->engine, *store->store);
    out.store = std::move(view);
}

/// Returns whether it was recently reported that a server got a prompt.
bool isPlacementKnown(const Servers &servers, const routing::PrefixChain &chain, routing::Slot slot,
                      TimePoint now)
{
    if (chain.blocks().empty())
        return false;
    const routing::UpstreamView &view = servers.fleet.upstreams[slot];
    const auto &holders = servers.fleet.index.holders(chain.blocks().back());
    return std::any_of(holders.begin(), holders.end(), [&](const routing::BlockHolder &it) {
        return it.slot == slot && it.generation == view.generation
            && now - it.seenAt < placementReportInterval;
    });
}

/// Queues the placement of a shared prompt for the other instances.
void queuePlacedPrompt(Servers &servers, const PickRequest &request, const Pick &pick)
{
    if (servers.unreportedPrompts.size() >= maxUnreportedPrompts)
        return;
    const deployment::CallerHead &head = *request.head;
    servers.unreportedPrompts.push_back({pick.start,
                                         request.cacheScope,
                                         head.model,
                                         std::to_string(pick.weights.value_or(0)),
                                         {head.prompt.begin(), head.prompt.end() - 1},
                                         pick.saveTo});
}

/// Returns the excess wait at the chosen engine, or nothing if the objective tolerates the wait.
std::optional<ExcessWait> excessWaitOf(const PickRequest &request, const routing::Choice &choice)
{
    const Duration serviceTime = choice.expectedFirstToken - choice.expectedWait;
    const Duration maxWait = toleratedWait(request.route->objective, serviceTime);
    if (choice.expectedWait <= maxWait)
        return std::nullopt;
    return ExcessWait{choice.expectedWait - maxWait,
                      choice.upstream + ": " + routing::describe(choice)};
}

/// Chooses an engine. If \p excessWait is not null and the answer would be late, sets it and
/// returns nothing instead.
std::optional<Pick> pickEngine(Servers &servers, const PickRequest &request,
                               const std::vector<Candidate> &candidates,
                               const deployment::Service *service,
                               std::optional<ExcessWait> *excessWait, TimePoint now)
{
    routing::Request out = routingRequest(servers, request, candidates, now);
    const deployment::Service *store = storeFor(servers, request);
    Placement placement;
    const Duration readTime = sharedReadTime(servers, request, out);
    const bool isPlaced = readTime >= minPlacedReadTime;
    if (isWorthStoring(request, service, store, readTime))
        addStoreView(servers, request, service, store, out, placement, now);
    placement.maxReaderDelay =
        std::chrono::duration_cast<Duration>((request.deadline - now) * maxReaderDelayShare);
    placement.maxDrawnWait =
        std::chrono::duration_cast<Duration>(request.route->objective * maxDrawnWaitShare);
    if (isPlaced) {
        placement.key = sharedIdOf(*request.head);
        placement.maxDelay =
            std::chrono::duration_cast<Duration>(request.route->objective * maxPlacementDelayShare);
    }
    const auto choice = chooseEngine(servers, out, request.head->model, placement, now);
    if (!choice)
        return std::nullopt;
    if (excessWait != nullptr) {
        *excessWait = excessWaitOf(request, *choice);
        if (*excessWait)
            return std::nullopt;
    }
    const auto chosen =
        std::find_if(candidates.begin(), candidates.end(), [&](const Candidate &it) {
            return it.server->slot == choice->slot;
        });
    Pick result = pickOf(servers, request, *chosen, service);
    const bool isKnown = isPlacementKnown(servers, out.chains[choice->chain], choice->slot, now);
    recordWorkStart(servers, servers.known.at(result.start), now);
    result.ticket = routing::commit(servers.fleet, out, *choice, now);
    result.weights = versionNumber(choice->weightsVersion);
    result.cacheScope = engineScopeOf(request, choice->weightsVersion);
    result.expectedFirstToken = choice->expectedFirstToken;
    result.blocks = out.chains[choice->chain].blocks();
    result.reason = routing::describe(*choice) + "; weights=" + choice->weightsVersion;
    if (!request.head->prompt.empty())
        result.reason += "; parts=" + std::to_string(request.head->prompt.size())
            + "; prompt=" + sharedIdOf(*request.head);
    if (out.store && store != nullptr) {
        const routing::PrefixChain &chain = out.chains[choice->chain];
        const std::uint64_t lastBlock = lastBlockOf(chain);
        const bool isCached = choice->expectedCachedTokens
            >= minCachedShare * static_cast<double>(sharedTokensOf(*request.head));
        const bool isInStore = out.store->storedTokens[choice->chain] > 0;
        // The server may have evicted the prompt, and another instance may have saved it. Only what
        // the server lacks is fetched, and a prompt that is not in the store costs a millisecond.
        result.fetchFrom = store->store->address;
        const bool isBeingRead = placement.readers.end()
            != std::find(placement.readers.begin(), placement.readers.end(), choice->slot);
        if (!isCached && !isInStore && !isBeingRead && lastBlock != 0) {
            result.saveTo = store->store->address;
            result.savedBlock = lastBlock;
            // Recorded at once, so that following requests do not save it again.
            recordPromptReader(servers, result.savedBlock, result.start, result.saveTo, now);
        }
        if (!result.fetchFrom.empty() || !result.saveTo.empty())
            result.reason += std::string("; store=") + (result.fetchFrom.empty() ? "" : "fetch ")
                + (result.saveTo.empty() ? "" : "save");
    }
    if (isPlaced && (!isKnown || !result.saveTo.empty()))
        queuePlacedPrompt(servers, request, result);
    return result;
}

std::optional<Pick> pickPlain(Servers &servers, const PickRequest &request,
                              const std::vector<Candidate> &candidates,
                              const deployment::Service *service, TimePoint now)
{
    const Candidate &chosen = leastBusy(servers, candidates, request);
    Pick result = pickOf(servers, request, chosen, service);
    const routing::PrefixChain nothing(routing::PrefixScope{}, std::vector<routing::NamedPart>{},
                                       blockTokens);
    result.ticket =
        routing::recordSent(servers.fleet, result.slot, nothing, 1, request.route->objective, now);
    result.reason = "leastBusy; running=" + std::to_string(chosen.server->running);
    return result;
}

/// Removes servers that have just started or recovered and have as much work as they take at their
/// present pace, unless no other server is left.
void removePaced(Servers &servers, std::vector<Candidate> &candidates, const PickRequest &request,
                 bool isEngine)
{
    const auto takesMore = [&](const Candidate &it) {
        return !it.server->pace.isPaced
            || isWithinPace(servers, servers.known.at(*it.start), *request.route, isEngine);
    };
    const auto full = std::stable_partition(candidates.begin(), candidates.end(), takesMore);
    if (full == candidates.begin() || full == candidates.end())
        return;
    ++servers.heldBack;
    candidates.erase(full, candidates.end());
}

/// Chooses a server of the first service of the route that has one for the request. \p excessWait
/// is passed to pickEngine().
std::optional<Pick> pickService(Servers &servers, const PickRequest &request,
                                std::optional<ExcessWait> *excessWait, TimePoint now)
{
    routing::reviewHealth(servers.fleet, now);
    routing::updateSpeedSteps(servers.fleet, now);
    for (const std::string &name : servicesOf(request)) {
        const deployment::Service *service = serviceOf(*request.plan, name);
        const bool isEngine = service != nullptr && service->engine.has_value();
        for (std::vector<Candidate> it : candidatesOf(servers, request, name, now)) {
            removePaced(servers, it, request, isEngine);
            std::optional<Pick> result = isEngine
                ? pickEngine(servers, request, it, service, excessWait, now)
                : pickPlain(servers, request, it, service, now);
            if (!result)
                continue;
            ++servers.known.at(result->start).running;
            servers.changedBacklogs.insert(result->start);
            countSend(servers.releases, result->send);
            return result;
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<Pick> pick(Servers &servers, const PickRequest &request, TimePoint now)
{
    return pickService(servers, request, nullptr, now);
}

PickResult pickIfInTime(Servers &servers, const PickRequest &request, TimePoint now)
{
    PickResult result;
    result.pick = pickService(servers, request, &result.excessWait, now);
    if (result.pick)
        result.excessWait.reset();
    const std::vector<std::string> services = servicesOf(request);
    if (!services.empty())
        result.service = services.front();
    return result;
}

} // namespace kumquathaven::gateway
