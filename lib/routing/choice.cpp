#include "kumquathaven/routing/choice.h"

#include "kumquathaven/base/hash.h"
#include "kumquathaven/routing/firsttoken.h"

#include <algorithm>
#include <cmath>

namespace kumquathaven::routing {

namespace {

/// An eligible upstream with the expected times and cost of the request there.
struct Candidate
{
    Slot slot = 0;
    /// Index of the chain in the request.
    std::size_t chain = 0;
    /// Prompt tokens expected to be cached, and to be imported from the store.
    double cached = 0;
    double imported = 0;
    /// Expected wait in seconds.
    double wait = 0;
    /// Requests in the queue.
    double queued = 0;
    /// Expected seconds to import or compute the missing tokens, and until the first token.
    double compute = 0;
    double firstToken = 0;
    /// The wait plus the time to compute, weighted with what it costs other requests, in seconds.
    double cost = 0;
};

double promptOf(const Request &request, const Candidate &candidate)
{
    return request.chains[candidate.chain].promptTokens();
}

bool canImport(const StoreView &store, Slot slot)
{
    const auto &without = store.withoutImport;
    return std::find(without.begin(), without.end(), slot) == without.end();
}

/// Returns the seconds until \p missing tokens are in the cache. Blocks are imported from the store
/// if the store permits that and it is faster than computing them.
double estimateFillTime(const StoreView &store, double missing, double speed, Candidate &candidate)
{
    const double compute = missing / speed;
    const double stored = store.storedTokens[candidate.chain];
    if (stored <= candidate.cached || !canImport(store, candidate.slot))
        return compute;
    const double imported = std::min(stored - candidate.cached, missing - 1);
    const double transfer =
        toSeconds(store.overhead) + imported / std::max(store.importTokensPerSecond, 1.0);
    const double maximum =
        std::min(store.importShare * imported / speed, toSeconds(store.maxImportTime));
    if (transfer >= maximum)
        return compute;
    candidate.imported = imported;
    return transfer + (missing - imported) / speed;
}

/// Sets the expected times and the cost of a candidate. \p meanSpeed is the mean prefill speed of
/// all candidates in tokens per second.
void estimateCost(const Fleet &fleet, const Request &request, double meanSpeed,
                  Candidate &candidate)
{
    const double speed = prefillSpeed(fleet, candidate.slot);
    const double missing = std::max(1.0, promptOf(request, candidate) - candidate.cached);
    const double compute = request.store
        ? estimateFillTime(*request.store, missing, speed, candidate)
        : missing / speed;
    const Policy &policy = fleet.policy;
    candidate.compute = compute;
    candidate.firstToken = candidate.wait + compute;
    candidate.cost = candidate.wait
        + compute * (policy.recomputeWeight + policy.queueWeight * candidate.queued)
        + policy.evictionWeight * evictionShare(fleet, candidate.slot) * missing / meanSpeed;
}

Duration waitOf(const Request &request, Slot slot, const Queue &queue)
{
    const auto it = request.waitOverrides.find(slot);
    return it == request.waitOverrides.end() ? queue.wait : it->second;
}

std::vector<Candidate> eligibleCandidates(const Fleet &fleet, const Request &request, TimePoint now)
{
    std::vector<std::vector<double>> cached;
    for (const PrefixChain &it : request.chains)
        cached.push_back(expectedCachedTokens(fleet, it, now));
    double meanSpeed = 0;
    for (const Slot it : request.candidates)
        meanSpeed += prefillSpeed(fleet, it) / static_cast<double>(request.candidates.size());
    std::vector<Candidate> all;
    all.reserve(request.candidates.size());
    for (const Slot slot : request.candidates) {
        if (!isEligible(fleet, request, slot))
            continue;
        Candidate candidate;
        candidate.slot = slot;
        candidate.chain = *chainFor(request, fleet.upstreams[slot]);
        candidate.cached = cached[candidate.chain][slot];
        const Queue queue = expectedQueue(fleet, slot, now);
        candidate.wait = toSeconds(waitOf(request, slot, queue));
        candidate.queued = queue.requests;
        estimateCost(fleet, request, meanSpeed, candidate);
        all.push_back(candidate);
    }
    return all;
}

double meanSpeedOf(const Fleet &fleet, const std::vector<Candidate> &all)
{
    double sum = 0;
    for (const Candidate &it : all)
        sum += prefillSpeed(fleet, it.slot);
    return sum / static_cast<double>(all.size());
}

/// Returns the block whose hash places a prompt: the first one whose requests, from all entries
/// together, do not overload one upstream. All prompts that share the block are placed on the same
/// upstream. A prefix that is too hot for one upstream is divided, since prompts with it are placed
/// by longer prefixes.
std::optional<BlockHash> placingBlock(const Fleet &fleet, const PrefixChain &chain,
                                      double meanSpeed, TimePoint now)
{
    if (chain.blocks().empty())
        return std::nullopt;
    const double missing = fleet.policy.initialMissing;
    const double limit = fleet.policy.placeLoad * meanSpeed / (missing * fleet.entries);
    for (const BlockHash it : chain.blocks()) {
        if (fleet.index.useRate(it, now) <= limit)
            return it;
    }
    return chain.blocks().back();
}

/// Returns the difference in cached tokens above which an upstream counts as caching less of the
/// prompt than another one.
double tolerance(const Request &request, const Candidate &candidate)
{
    return request.chains[candidate.chain].blockTokens() / 2.0;
}

/// Returns the upstream on which rendezvous hashing places the prompt, among those that cost little
/// more than \p best. Entries whose views differ slightly choose the same one.
const Candidate &placedCandidate(const Fleet &fleet, const Request &request,
                                 const std::vector<Candidate> &all, const Candidate &best,
                                 TimePoint now)
{
    const double meanSpeed = meanSpeedOf(fleet, all);
    const auto block = placingBlock(fleet, request.chains[best.chain], meanSpeed, now);
    const std::optional<std::uint64_t> key =
        block ? static_cast<std::uint64_t>(*block) : request.draw;
    if (!key)
        return best;
    const double limit = best.cost
        + promptOf(request, best) / meanSpeed * fleet.policy.placementSlack
        + toSeconds(fleet.policy.placementSlackTime);
    const Candidate *first = &best;
    double highest = -1;
    for (const Candidate &it : all) {
        if (it.cost > limit || it.chain != best.chain)
            continue;
        // Placement is for prefixes that no upstream caches. It must not cause an import of blocks
        // that the best candidate already caches.
        if (it.imported > best.imported + tolerance(request, it))
            continue;
        const double rank = placementRank(fleet, *key, it.slot);
        if (rank > highest) {
            highest = rank;
            first = &it;
        }
    }
    return *first;
}

/// Removes the candidates that neither cache nor import about as much of the prompt as any other
/// one caches.
void removeNonHolders(const Request &request, std::vector<Candidate> &all, double maxCached)
{
    const auto cachesLess = [&](const Candidate &it) {
        return it.cached + it.imported + tolerance(request, it) < maxCached;
    };
    all.erase(std::remove_if(all.begin(), all.end(), cachesLess), all.end());
}

/// Removes the candidates whose observed wait exceeds the request's deadline, unless all do.
void removeLateCandidates(const Fleet &fleet, const Request &request, std::vector<Candidate> &all,
                          TimePoint now)
{
    if (!request.deadline)
        return;
    const auto isLate = [&](const Candidate &it) {
        return now + observedWait(fleet, it.slot, request.priority, now) > *request.deadline;
    };
    if (!std::all_of(all.begin(), all.end(), isLate))
        all.erase(std::remove_if(all.begin(), all.end(), isLate), all.end());
}

double maxCachedOf(const std::vector<Candidate> &all)
{
    double maximum = 0;
    for (const Candidate &it : all)
        maximum = std::max(maximum, it.cached);
    return maximum;
}

/// Adds to each candidate the price of computing tokens that another upstream caches. The price
/// rises with the overdraft of the fleet's budget for such tokens, so that the busiest holders are
/// relieved first and the tail of the wait times stays short.
void addSpreadPrice(const Fleet &fleet, std::vector<Candidate> &all, double maxCached)
{
    if (fleet.spreadTokens >= 0)
        return;
    const double price = -fleet.spreadTokens / fleet.policy.spreadPriceTokens;
    const double meanSpeed = meanSpeedOf(fleet, all);
    for (Candidate &it : all)
        it.cost += price * std::max(0.0, maxCached - it.cached - it.imported) / meanSpeed;
}

ChoiceReason reasonFor(const Fleet &fleet, const Request &request, const Candidate &chosen,
                       const Candidate &best, double maxCached)
{
    if (fleet.upstreams[chosen.slot].health.state == HealthState::HalfOpen)
        return ChoiceReason::Trial;
    if (chosen.imported > 0)
        return ChoiceReason::Import;
    if (chosen.cached + tolerance(request, chosen) < maxCached)
        return ChoiceReason::Spread;
    if (chosen.cached > tolerance(request, chosen))
        return ChoiceReason::Cached;
    return &chosen == &best ? ChoiceReason::LeastWait : ChoiceReason::Placed;
}

Choice toChoice(const Fleet &fleet, const Request &request, const Candidate &candidate)
{
    const UpstreamView &view = fleet.upstreams[candidate.slot];
    Choice choice;
    choice.slot = candidate.slot;
    choice.upstream = view.name;
    choice.incarnation = view.incarnation;
    choice.weightsVersion = view.weightsVersion;
    choice.chain = candidate.chain;
    choice.promptTokens = request.chains[candidate.chain].promptTokens();
    choice.expectedCachedTokens = static_cast<std::uint32_t>(candidate.cached);
    choice.importTokens = static_cast<std::uint32_t>(candidate.imported);
    choice.expectedWait = fromSeconds(candidate.wait);
    choice.expectedFirstToken = fromSeconds(candidate.firstToken);
    return choice;
}

/// Updates the budget of tokens that may be computed although another upstream caches them.
void updateSpreadBudget(Fleet &fleet, const Choice &choice)
{
    double tokens = fleet.spreadTokens + fleet.policy.spreadShare * choice.promptTokens;
    if (choice.reason == ChoiceReason::Spread)
        tokens -= choice.maxCachedTokens - choice.expectedCachedTokens;
    fleet.spreadTokens = std::min(tokens, fleet.policy.spreadReserve);
}

} // namespace

double placementRank(const Fleet &fleet, std::uint64_t key, Slot slot)
{
    constexpr double scale = 0x1.0p-53;
    const std::uint64_t draw = combineHash(key, stableHash(fleet.upstreams[slot].name));
    const double uniform = (static_cast<double>(draw >> 11) + 0.5) * scale;
    return -prefillSpeed(fleet, slot) / std::log(uniform);
}

std::optional<std::size_t> chainFor(const Request &request, const UpstreamView &view)
{
    for (std::size_t i = 0; i < request.chains.size(); ++i) {
        const PrefixChain &chain = request.chains[i];
        const bool fits = view.blockTokens == 0 || view.blockTokens == chain.blockTokens();
        if (fits && chain.weightsVersion() == view.weightsVersion)
            return i;
    }
    return std::nullopt;
}

bool isEligible(const Fleet &fleet, const Request &request, Slot slot)
{
    const UpstreamView &view = fleet.upstreams[slot];
    if (!view.present || view.leaving || view.loading)
        return false;
    if (std::find(request.tried.begin(), request.tried.end(), slot) != request.tried.end())
        return false;
    return takesWork(view.health, request.repeatable) && chainFor(request, view).has_value();
}

std::optional<Choice> choose(const Fleet &fleet, const Request &request, TimePoint now)
{
    std::vector<Candidate> all = eligibleCandidates(fleet, request, now);
    if (all.empty())
        return std::nullopt;
    const double maxCached = maxCachedOf(all);
    const auto eligible = static_cast<std::uint32_t>(all.size());
    removeLateCandidates(fleet, request, all, now);
    const double maxCachedInTime = maxCachedOf(all);
    if (fleet.spreadTokens <= -fleet.policy.spreadReserve)
        removeNonHolders(request, all, maxCachedInTime);
    addSpreadPrice(fleet, all, maxCachedInTime);
    const Candidate &best =
        *std::min_element(all.begin(), all.end(), [](const Candidate &a, const Candidate &b) {
            return a.cost < b.cost;
        });
    const Candidate &chosen = placedCandidate(fleet, request, all, best, now);
    Choice choice = toChoice(fleet, request, chosen);
    choice.reason = reasonFor(fleet, request, chosen, best, maxCached);
    choice.eligible = eligible;
    choice.maxCachedTokens = static_cast<std::uint32_t>(maxCached);
    return choice;
}

std::uint64_t commit(Fleet &fleet, const Request &request, const Choice &choice, TimePoint now)
{
    const PrefixChain &chain = request.chains[choice.chain];
    updateSpreadBudget(fleet, choice);
    const std::uint32_t known = choice.expectedCachedTokens + choice.importTokens;
    const std::uint32_t missing = choice.promptTokens - std::min(known, choice.promptTokens);
    for (const BlockHash it : chain.blocks())
        fleet.index.countUse(it, now);
    const std::uint64_t ticket =
        recordSent(fleet, choice.slot, chain, missing, choice.expectedFirstToken, now);
    Outstanding &sent = fleet.upstreams[choice.slot].outstanding.back();
    sent.priority = request.priority;
    if (request.waitOverrides.count(choice.slot) > 0)
        sent.aheadTokens = toSeconds(choice.expectedWait) * prefillSpeed(fleet, choice.slot);
    sent.serviceTime =
        serviceTime(fleet, choice.slot, choice.promptTokens, request.completeAnswerTokens);
    return ticket;
}

std::string describe(const Choice &choice)
{
    const auto milliseconds = [](Duration d) {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
    };
    return std::string(nameOf(choiceReasonNames, choice.reason))
        + "; cached=" + std::to_string(choice.expectedCachedTokens) + "; of="
        + std::to_string(choice.promptTokens) + "; import=" + std::to_string(choice.importTokens)
        + "; wait-ms=" + milliseconds(choice.expectedWait)
        + "; first-token-ms=" + milliseconds(choice.expectedFirstToken);
}

} // namespace kumquathaven::routing
