// The choice of a server for a request.

#include "enginechoice.h"
#include "overload.h"
#include "servers.h"
#include "servertables.h"

#include "kumquathaven/base/hash.h"

#include <algorithm>
#include <cmath>

namespace kumquathaven::gateway {

namespace {

/// Shared parts below this size are read faster than fetched.
constexpr std::uint64_t leastStoredTokens = 2'000;
/// Bytes a second that a store is taken to send, against the link that it names.
constexpr double storeLinkShare = 0.4;
constexpr double bitsOfByte = 8;
constexpr double bitsOfMegabit = 1e6;
/// A shared part counts as kept by the store for this long after it was sent there.
constexpr Duration storedFor = std::chrono::seconds(60);
/// A server that has not read a shared part after this time counts as not reading it.
constexpr Duration longestReading = std::chrono::seconds(8);
/// The part of the time to the deadline for which a request waits for a server that is reading its
/// shared part, rather than have it read twice. The rest is left for the answer.
constexpr double readerPatienceShare = 0.5;
/// Prompts that wait to be told to the other instances.
constexpr std::size_t maxNews = 1'000;
/// The part of the objective by which the first event may come later at the place of a large shared
/// part than elsewhere.
constexpr double placePatience = 0.25;

/// Returns the parts of a prompt; the rest of its tokens is a part of its own.
std::vector<routing::NamedPart> partsOf(const deployment::CallerHead &head)
{
    std::vector<routing::NamedPart> parts;
    std::uint64_t counted = 0;
    for (const deployment::PromptPart &it : head.prompt) {
        parts.push_back({it.id, static_cast<std::uint32_t>(it.tokens)});
        counted += it.tokens;
    }
    if (counted < head.promptTokens)
        parts.push_back({head.requestId, static_cast<std::uint32_t>(head.promptTokens - counted)});
    return parts;
}

/// Returns the tokens of all parts but the last, which no other request shares.
std::uint64_t sharedTokensOf(const deployment::CallerHead &head)
{
    std::uint64_t tokens = 0;
    for (std::size_t n = 0; n + 1 < head.prompt.size(); ++n)
        tokens += head.prompt[n].tokens;
    return tokens;
}

/// Returns the text under which engines look for cached parts. It holds the weights version, since
/// a store keeps parts of former versions, and the customer where parts must not be shared.
std::string scopeOf(const deployment::Customer *customer, const std::string &version)
{
    const bool isWalled = customer != nullptr && customer->isolated;
    return "v" + version + (isWalled ? "/" + customer->name : std::string());
}

routing::PrefixScope prefixScopeOf(const PickRequest &request, const std::string &version)
{
    const bool isWalled = request.customer != nullptr && request.customer->isolated;
    return {isWalled ? request.customer->name : std::string(), request.head->model, {}, version};
}

/// Returns the store for a prompt: all instances spread the prompts alike over the stores that can
/// be reached. Returns null if there is none.
const deployment::Service *storeFor(const Servers &servers, const PickRequest &request)
{
    if (request.head->prompt.empty())
        return nullptr;
    const std::string &key = request.head->prompt.front().id;
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

/// A candidate for a request.
struct Candidate
{
    const std::string *start = nullptr;
    const KnownServer *server = nullptr;
};

bool takesRequest(const Servers &servers, const PickRequest &request, const std::string &start,
                  const KnownServer &server)
{
    const routing::UpstreamView &view = servers.fleet.upstreams[server.slot];
    return !view.leaving && !view.loading && request.tried.count(start) == 0
        && routing::takesWork(view.health, deployment::isRepeatable(*request.route));
}

/// Returns the servers that may get the request; those that refuse only if there are no others.
std::vector<Candidate> candidatesOf(const Servers &servers, const PickRequest &request,
                                    const std::string &service, TimePoint now)
{
    std::vector<Candidate> candidates;
    std::vector<Candidate> refusing;
    for (const auto &[start, server] : servers.known) {
        if (server.listed.service != service || !takesRequest(servers, request, start, server))
            continue;
        (server.refusesUntil > now ? refusing : candidates).push_back({&start, &server});
    }
    return candidates.empty() ? refusing : candidates;
}

/// Returns the services of a route: the one that its weights draw for this request first.
std::vector<std::string> servicesOf(const PickRequest &request)
{
    std::uint64_t total = 0;
    for (const deployment::WeightedService &it : request.route->services)
        total += it.weight;
    std::vector<std::string> services;
    if (total == 0)
        return services;
    std::uint64_t draw = stableHash(request.head->requestId) % total;
    std::size_t first = 0;
    while (draw >= request.route->services[first].weight)
        draw -= request.route->services[first++].weight;
    services.push_back(request.route->services[first].service);
    for (std::size_t n = 0; n < request.route->services.size(); ++n) {
        if (n != first && request.route->services[n].weight > 0)
            services.push_back(request.route->services[n].service);
    }
    return services;
}

/// Chooses among plain servers the one whose work in proportion to its places is least.
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
                                 // Ties are broken anew for each request, so that instances do not
                                 // all begin alike.
                                 if (left != right)
                                     return left < right;
                                 return rendezvousRank(id, *a.start) > rendezvousRank(id, *b.start);
                             });
}

Pick pickOf(const Candidate &candidate, const deployment::Service *service)
{
    Pick result;
    result.start = *candidate.start;
    result.serverId = candidate.server->listed.id;
    result.address = candidate.server->listed.address;
    result.service = candidate.server->listed.service;
    result.slot = candidate.server->slot;
    result.maxConnections = service != nullptr ? service->maxConnections : 0;
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
    const std::vector<routing::NamedPart> parts = partsOf(*request.head);
    for (const Candidate &it : candidates) {
        const routing::UpstreamView &view = servers.fleet.upstreams[it.server->slot];
        out.candidates.push_back(it.server->slot);
        out.waitOverrides[it.server->slot] = expectedWait(servers, *it.server, now);
        if (!routing::chainFor(out, view))
            out.chains.emplace_back(prefixScopeOf(request, view.weightsVersion), parts,
                                    blockTokens);
    }
    return out;
}

/// Adds what the store is believed to keep of the prompt, and which servers are reading it for the
/// store.
void addStore(const Servers &servers, const PickRequest &request, const deployment::Service *engine,
              const deployment::Service *store, routing::Request &out, Placement &placement,
              TimePoint now)
{
    const std::uint64_t shared = sharedTokensOf(*request.head);
    const bool isOfUse =
        store != nullptr && engine != nullptr && engine->engine && shared >= leastStoredTokens;
    if (!isOfUse)
        return;
    routing::StoreView view;
    for (const routing::PrefixChain &chain : out.chains) {
        const std::size_t blocks =
            std::min<std::size_t>(shared / blockTokens, chain.blocks().size());
        const auto last = blocks == 0 ? 0 : static_cast<std::uint64_t>(chain.blocks()[blocks - 1]);
        const auto kept = servers.stored.find(last);
        const bool isKnown =
            kept != servers.stored.end() && kept->second.store == store->store->address;
        const bool isKept = isKnown && kept->second.isThere && now - kept->second.at < storedFor;
        const bool isRead =
            isKnown && !kept->second.isThere && now - kept->second.at < longestReading;
        if (isRead && servers.known.count(kept->second.reader) > 0)
            placement.readers.push_back(servers.known.at(kept->second.reader).slot);
        view.storedTokens.push_back(isKept ? static_cast<double>(blocks * blockTokens) : 0.0);
    }
    const double bytes = std::max<double>(1.0, static_cast<double>(engine->engine->tokenBytes));
    const double mbps = std::min(engine->engine->linkMbps, store->store->linkMbps);
    view.importTokensPerSecond = storeLinkShare * mbps * bitsOfMegabit / bitsOfByte / bytes;
    out.store = std::move(view);
}

/// Remembers to tell the others where a shared prompt was sent.
void addNews(Servers &servers, const PickRequest &request, const Pick &pick)
{
    if (servers.news.size() >= maxNews)
        return;
    const deployment::CallerHead &head = *request.head;
    const bool isWalled = request.customer != nullptr && request.customer->isolated;
    servers.news.push_back({pick.start,
                            isWalled ? request.customer->name : std::string(),
                            head.model,
                            std::to_string(pick.weights.value_or(0)),
                            {head.prompt.begin(), head.prompt.end() - 1},
                            pick.saveTo});
}

/// Returns the wait at the chosen engine if it is longer than the objective bears.
std::optional<ExcessWait> excessWaitOf(const PickRequest &request, const routing::Choice &choice)
{
    const Duration serviceTime = choice.expectedFirstToken - choice.expectedWait;
    const Duration bearable = bearableWait(request.route->objective, serviceTime);
    if (choice.expectedWait <= bearable)
        return std::nullopt;
    return ExcessWait{choice.expectedWait - bearable,
                      choice.upstream + ": " + routing::describe(choice)};
}

/// Sets \p excessWait, if it is not null, instead of sending what would be late.
std::optional<Pick> pickEngine(Servers &servers, const PickRequest &request,
                               const std::vector<Candidate> &candidates,
                               const deployment::Service *service,
                               std::optional<ExcessWait> *excessWait, TimePoint now)
{
    routing::Request out = routingRequest(servers, request, candidates, now);
    const deployment::Service *store = storeFor(servers, request);
    Placement placement;
    addStore(servers, request, service, store, out, placement, now);
    placement.readerPatience =
        std::chrono::duration_cast<Duration>((request.deadline - now) * readerPatienceShare);
    if (sharedTokensOf(*request.head) >= leastStoredTokens) {
        placement.key = request.head->prompt.front().id;
        placement.patience =
            std::chrono::duration_cast<Duration>(request.route->objective * placePatience);
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
    Pick result = pickOf(*chosen, service);
    noteWork(servers, servers.known.at(result.start), now);
    result.ticket = routing::commit(servers.fleet, out, *choice, now);
    result.weights = versionNumber(choice->weightsVersion);
    result.cacheScope = scopeOf(request.customer, choice->weightsVersion);
    result.expectedFirstToken = choice->expectedFirstToken;
    result.blocks = out.chains[choice->chain].blocks();
    result.reason = routing::describe(*choice) + "; weights=" + choice->weightsVersion;
    if (!request.head->prompt.empty())
        result.reason += "; prompt=" + request.head->prompt.front().id;
    const std::uint64_t shared = sharedTokensOf(*request.head);
    if (out.store && store != nullptr) {
        const bool isHeld = choice->expectedCachedTokens + blockTokens >= shared;
        const bool isKept = out.store->storedTokens[choice->chain] > 0;
        // Another instance may have had it stored; a fetch of what is not there takes a
        // millisecond.
        if (!isHeld)
            result.fetchFrom = store->store->address;
        const auto &blocks = out.chains[choice->chain].blocks();
        const std::size_t n = std::min<std::size_t>(shared / blockTokens, blocks.size());
        const bool isRead = placement.readers.end()
            != std::find(placement.readers.begin(), placement.readers.end(), choice->slot);
        if (!isHeld && !isKept && !isRead && n > 0) {
            result.saveTo = store->store->address;
            result.savedBlock = static_cast<std::uint64_t>(blocks[n - 1]);
            // Requests that follow at once do not have it stored again.
            markReading(servers, result.savedBlock, result.start, result.saveTo, now);
        }
        if (!result.fetchFrom.empty() || !result.saveTo.empty())
            result.reason += std::string("; store=") + (result.fetchFrom.empty() ? "" : "fetch ")
                + (result.saveTo.empty() ? "" : "save");
    }
    if (shared >= leastStoredTokens)
        addNews(servers, request, result);
    return result;
}

std::optional<Pick> pickPlain(Servers &servers, const PickRequest &request,
                              const std::vector<Candidate> &candidates,
                              const deployment::Service *service, TimePoint now)
{
    const Candidate &chosen = leastBusy(servers, candidates, request);
    Pick result = pickOf(chosen, service);
    const routing::PrefixChain nothing(routing::PrefixScope{}, std::vector<routing::NamedPart>{},
                                       blockTokens);
    result.ticket =
        routing::recordSent(servers.fleet, result.slot, nothing, 1, request.route->objective, now);
    result.reason = "leastBusy; running=" + std::to_string(chosen.server->running);
    return result;
}

/// Goes through the services of the route. \p excessWait as for pickEngine().
std::optional<Pick> pickService(Servers &servers, const PickRequest &request,
                                std::optional<ExcessWait> *excessWait, TimePoint now)
{
    routing::reviewHealth(servers.fleet, now);
    routing::updateSpeedSteps(servers.fleet, now);
    for (const std::string &name : servicesOf(request)) {
        const std::vector<Candidate> candidates = candidatesOf(servers, request, name, now);
        if (candidates.empty())
            continue;
        const deployment::Service *service = serviceOf(*request.plan, name);
        const bool isEngine = service != nullptr && service->engine.has_value();
        std::optional<Pick> result = isEngine
            ? pickEngine(servers, request, candidates, service, excessWait, now)
            : pickPlain(servers, request, candidates, service, now);
        if (!result)
            continue;
        ++servers.known.at(result->start).running;
        return result;
    }
    return std::nullopt;
}

} // namespace

std::optional<Pick> pick(Servers &servers, const PickRequest &request, TimePoint now)
{
    return pickService(servers, request, nullptr, now);
}

Offer offer(Servers &servers, const PickRequest &request, TimePoint now)
{
    Offer result;
    result.pick = pickService(servers, request, &result.excessWait, now);
    if (result.pick)
        result.excessWait.reset();
    const std::vector<std::string> services = servicesOf(request);
    if (!services.empty())
        result.service = services.front();
    return result;
}

bool canPick(const Servers &servers, const PickRequest &request, TimePoint now)
{
    for (const std::string &name : servicesOf(request)) {
        if (!candidatesOf(servers, request, name, now).empty())
            return true;
    }
    return false;
}

} // namespace kumquathaven::gateway
