#include "kumquathaven/routing/kvstore.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace kumquathaven::routing {

namespace {

/// An import whose end is never recorded, because its request was abandoned, is dropped this long
/// after its time limit.
constexpr Duration importGrace = std::chrono::seconds(1);
/// The record of a stored block is renewed once it is older than this share of its half-life.
constexpr double renewShare = 0.5;

/// Returns the record that the store has a block, or a null pointer if there is none of the store's
/// current generation.
const BlockHolder *currentHolder(const KvStore &store, BlockHash block)
{
    const std::vector<BlockHolder> &all = store.storedBlocks.holders(block);
    return !all.empty() && all.front().generation == store.generation ? &all.front() : nullptr;
}

double holdProbability(const KvStore &store, BlockHash block, TimePoint now)
{
    const BlockHolder *holder = currentHolder(store, block);
    if (holder == nullptr)
        return 0;
    const double age = std::max(0.0, toSeconds(now - holder->seenAt));
    return std::exp2(-age / toSeconds(store.policy.estimateHalfLife));
}

Duration doubled(Duration first, Duration maximum, std::uint32_t times)
{
    Duration length = first;
    for (std::uint32_t n = 0; n < times && length < maximum; ++n)
        length *= 2;
    return std::min(length, maximum);
}

void eject(KvStore &store, TimePoint now)
{
    store.state = HealthState::Ejected;
    store.ejectedUntil =
        now + doubled(store.policy.firstEjection, store.policy.maxEjection, store.ejections);
    ++store.ejections;
}

void recordFailure(KvStore &store, TimePoint now)
{
    ++store.failures;
    const bool due =
        store.state == HealthState::HalfOpen || store.failures >= store.policy.failureLimit;
    if (due && store.state != HealthState::Ejected)
        eject(store, now);
}

/// Adds a sample of the import speed. A sample without tokens counts time that brought no blocks.
void addSpeedSample(KvStore &store, double tokens, double seconds, TimePoint now)
{
    const double age = toSeconds(now - store.sampledAt) / toSeconds(store.policy.speedHalfLife);
    const double kept = std::exp2(-std::max(0.0, age));
    store.importedTokens = store.importedTokens * kept + tokens;
    store.importingSeconds = store.importingSeconds * kept + seconds;
    store.sampledAt = now;
}

bool isPaused(const KvStore &store, Slot engine, TimePoint now)
{
    const auto it = store.paused.find(engine);
    return it != store.paused.end() && now < it->second;
}

/// Returns the time limit of an import of \p tokens.
Duration importLimit(const KvStore &store, const Fleet &fleet, Slot engine, double tokens,
                     std::optional<TimePoint> deadline, TimePoint now)
{
    const double computing = tokens / prefillSpeed(fleet, engine);
    Duration limit = fromSeconds(store.policy.importShare * computing);
    if (deadline)
        limit = std::min(limit, fromSeconds(store.policy.importShare * toSeconds(*deadline - now)));
    return std::min(limit, store.policy.maxImportTime);
}

/// Returns the running import of blocks of a prompt to an engine, or a null pointer.
const RunningImport *runningImport(const KvStore &store, const PrefixChain &chain, Slot engine,
                                   TimePoint now)
{
    const auto &blocks = chain.blocks();
    for (const RunningImport &it : store.imports) {
        const bool isSame = it.engine == engine && now < it.until;
        if (isSame && std::find(blocks.begin(), blocks.end(), it.lastBlock) != blocks.end())
            return &it;
    }
    return nullptr;
}

} // namespace

KvStore::KvStore(const KvStorePolicy &p)
    : policy(p)
    , storedBlocks(p.maxBlocks, 1)
    , exportTokens(p.exportBurst)
{ }

void useStore(KvStore &store, const std::string &name, const std::string &address)
{
    if (store.name == name && store.address == address)
        return;
    KvStore fresh(store.policy);
    fresh.name = name;
    fresh.address = address;
    fresh.generation = store.generation + 1;
    fresh.nextImport = store.nextImport;
    store = std::move(fresh);
}

bool isStored(const KvStore &store, const std::vector<BlockHash> &blocks, TimePoint now)
{
    const double freshProbability = std::exp2(-renewShare);
    return std::all_of(blocks.begin(), blocks.end(), [&](BlockHash it) {
        return holdProbability(store, it, now) > freshProbability;
    });
}

void recordStored(KvStore &store, const std::vector<BlockHash> &blocks, std::size_t count,
                  TimePoint now)
{
    assert(count <= blocks.size() && "count must not exceed the number of blocks");
    for (std::size_t n = 0; n < count; ++n)
        store.storedBlocks.addHolder(blocks[n], {0, store.generation, 0, true, now});
}

StoredPrefix storedPrefix(const KvStore &store, const PrefixChain &chain, TimePoint now)
{
    StoredPrefix stored;
    double lowest = 1;
    for (const BlockHash it : chain.blocks()) {
        // Blocks of one prompt are exported and evicted together, so the lowest probability so far
        // applies to each block, and the probabilities are not multiplied.
        lowest = std::min(lowest, holdProbability(store, it, now));
        if (lowest < store.policy.minProbability)
            break;
        ++stored.blocks;
        stored.tokens += lowest * chain.blockTokens();
    }
    return stored;
}

double importSpeed(const KvStore &store, TimePoint now)
{
    const double age = toSeconds(now - store.sampledAt) / toSeconds(store.policy.speedHalfLife);
    const double kept = std::exp2(-std::max(0.0, age));
    // The initial speed counts as one sample of one second.
    return (store.importedTokens * kept + store.policy.initialImportSpeed)
        / (store.importingSeconds * kept + 1);
}

std::optional<StoreView> storeView(const KvStore &store, const std::vector<PrefixChain> &chains,
                                   TimePoint now)
{
    const auto running =
        std::count_if(store.imports.begin(), store.imports.end(), [&](const RunningImport &it) {
            return now < it.until + importGrace;
        });
    if (store.name.empty() || store.state != HealthState::Healthy
        || static_cast<std::uint32_t>(running) >= store.policy.maxImports)
        return std::nullopt;
    StoreView view;
    for (const PrefixChain &it : chains)
        view.storedTokens.push_back(storedPrefix(store, it, now).tokens);
    view.importTokensPerSecond = importSpeed(store, now);
    view.overhead = store.policy.importOverhead;
    view.importShare = store.policy.importShare;
    view.maxImportTime = store.policy.maxImportTime;
    for (const auto &it : store.paused) {
        if (now < it.second)
            view.withoutImport.push_back(it.first);
    }
    return view;
}

std::optional<ImportPlan> planImport(KvStore &store, const Fleet &fleet, const PrefixChain &chain,
                                     const Choice &choice, std::optional<TimePoint> deadline,
                                     TimePoint now)
{
    ImportPlan plan;
    plan.engine = choice.slot;
    plan.store = store.address;
    plan.blockTokens = chain.blockTokens();
    plan.startedAt = now;
    if (const RunningImport *running = runningImport(store, chain, choice.slot, now)) {
        plan.id = running->id;
        plan.joins = true;
        plan.until = running->until;
        if (deadline)
            plan.until = std::min(plan.until, *deadline);
        return plan;
    }
    const std::size_t stored = storedPrefix(store, chain, now).blocks;
    const std::size_t held = choice.expectedCachedTokens / chain.blockTokens();
    if (choice.importTokens == 0 || stored <= held || isPaused(store, choice.slot, now))
        return std::nullopt;
    const std::size_t n = std::min(stored - held, store.policy.maxBlocksMoved);
    const auto first = chain.blocks().begin() + static_cast<std::ptrdiff_t>(held);
    plan.blocks.assign(first, first + static_cast<std::ptrdiff_t>(n));
    const double tokens = static_cast<double>(n) * chain.blockTokens();
    const Duration limit = importLimit(store, fleet, choice.slot, tokens, deadline, now);
    if (limit <= store.policy.importOverhead)
        return std::nullopt;
    const auto isForgotten = [&](const RunningImport &it) {
        return now >= it.until + importGrace;
    };
    store.imports.erase(std::remove_if(store.imports.begin(), store.imports.end(), isForgotten),
                        store.imports.end());
    plan.id = store.nextImport++;
    plan.until = now + limit;
    store.imports.push_back({plan.id, plan.engine, plan.blocks.back(), plan.until});
    return plan;
}

void recordImport(KvStore &store, const ImportPlan &plan, ImportEnd end, std::size_t imported,
                  TimePoint now)
{
    const auto running =
        std::find_if(store.imports.begin(), store.imports.end(), [&](const RunningImport &it) {
            return it.id == plan.id;
        });
    // An import without an entry belongs to an earlier store.
    if (running == store.imports.end())
        return;
    store.imports.erase(running);
    const double seconds = toSeconds(now - plan.startedAt);
    const double tokens = static_cast<double>(imported) * plan.blockTokens;
    if (imported > 0)
        recordStored(store, plan.blocks, imported, now);
    if (end == ImportEnd::Part) {
        for (std::size_t n = imported; n < plan.blocks.size(); ++n)
            store.storedBlocks.removeHolder(plan.blocks[n], 0);
    }
    if (end == ImportEnd::Timeout)
        recordFailure(store, now);
    if (imported > 0 || end == ImportEnd::Timeout)
        addSpeedSample(store, tokens, seconds, now);
    if (end == ImportEnd::Refused || end == ImportEnd::Timeout)
        store.paused[plan.engine] = now + store.policy.importPause;
}

void adjustAfterImport(Fleet &fleet, Slot engine, std::uint64_t ticket, double missing,
                       TimePoint now)
{
    for (Outstanding &it : fleet.upstreams[engine].outstanding) {
        if (it.ticket != ticket)
            continue;
        it.sentAt = now;
        it.missingTokens =
            std::min(it.promptTokens, it.missingTokens + static_cast<std::uint32_t>(missing));
        it.expectedFirstToken += fromSeconds(missing / prefillSpeed(fleet, engine));
    }
}

std::vector<BlockHash> blocksToExport(const KvStore &store, const Fleet &fleet,
                                      const PrefixChain &chain, const Choice &choice, TimePoint now)
{
    if (store.name.empty() || store.state != HealthState::Healthy)
        return {};
    const std::size_t held = choice.expectedCachedTokens / chain.blockTokens();
    const std::size_t maximum = std::min(held, store.policy.maxBlocksMoved);
    std::vector<BlockHash> wanted;
    while (wanted.size() < maximum
           && fleet.index.useRate(chain.blocks()[wanted.size()], now) >= store.policy.exportUseRate)
        wanted.push_back(chain.blocks()[wanted.size()]);
    return isStored(store, wanted, now) ? std::vector<BlockHash>() : wanted;
}

bool spendExport(KvStore &store, double tokens, TimePoint now)
{
    const double refill =
        toSeconds(now - store.exportRefilledAt) * store.policy.exportTokensPerSecond;
    store.exportTokens = std::min(store.exportTokens + refill, store.policy.exportBurst);
    store.exportRefilledAt = now;
    // A prefix with more tokens than the burst is exported once the budget is full.
    const bool enough = store.exportTokens >= std::min(tokens, store.policy.exportBurst);
    if (!enough || now < store.exportsPausedUntil || store.state != HealthState::Healthy)
        return false;
    store.exportTokens -= tokens;
    return true;
}

void recordExport(KvStore &store, const std::vector<BlockHash> &blocks, std::size_t exported,
                  TimePoint now)
{
    recordStored(store, blocks, exported, now);
    if (exported == blocks.size()) {
        store.exportPauses = 0;
        return;
    }
    store.exportsPausedUntil = now
        + doubled(store.policy.firstExportPause, store.policy.maxExportPause, store.exportPauses);
    ++store.exportPauses;
}

bool probeDue(KvStore &store, TimePoint now)
{
    if (store.name.empty())
        return false;
    if (store.state == HealthState::Ejected && now >= store.ejectedUntil)
        store.state = HealthState::HalfOpen;
    if (store.state == HealthState::Healthy)
        return now - store.probedAt >= store.policy.probeInterval;
    return store.state == HealthState::HalfOpen;
}

void recordProbe(KvStore &store, bool answered, TimePoint now)
{
    store.probedAt = now;
    if (!answered)
        return recordFailure(store, now);
    store.failures = 0;
    if (store.state == HealthState::Healthy)
        return;
    store.state = HealthState::Healthy;
    store.ejections = 0;
    store.paused.clear();
    // The store may have restarted with an empty cache while it was ejected.
    ++store.generation;
}

} // namespace kumquathaven::routing
