// Incarnations, cache events and cache estimates of a fleet.

#include "kumquathaven/routing/fleet.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace kumquathaven::routing {

namespace {

/// Weight of the newest sample in moving averages, and the time constant of decaying counts.
constexpr double newestWeight = 0.05;
constexpr double countingSeconds = 10;
/// Ejections in a row after which a restarted upstream starts half-open and gets one trial first.
constexpr std::uint32_t probationEjections = 3;

/// Starts a new generation in a slot. The estimates, samples and outstanding requests of the old
/// generation are dropped, except for its prefill speed, missing tokens and ejection count.
void startGeneration(Fleet &fleet, Slot slot, std::uint64_t incarnation, TimePoint now)
{
    UpstreamView &view = fleet.upstreams[slot];
    UpstreamView fresh;
    fresh.name = view.name;
    fresh.model = view.model;
    fresh.weightsVersion = view.weightsVersion;
    fresh.blockTokens = view.blockTokens;
    fresh.present = view.present;
    fresh.leaving = view.leaving;
    fresh.incarnation = incarnation;
    fresh.generation = view.generation + 1;
    fresh.computedTokens = view.computedTokens;
    fresh.computingSeconds = view.computingSeconds;
    fresh.meanMissing = view.meanMissing;
    fresh.missingSamples = view.missingSamples;
    fresh.health.lastReceivedAt = now;
    fresh.health.polled = view.health.polled;
    fresh.health.ejections = view.health.ejections;
    if (fresh.health.ejections >= probationEjections)
        fresh.health.state = HealthState::HalfOpen;
    view = std::move(fresh);
}

/// Starts a new run of the event stream after a gap of \p lost events, and estimates the share of
/// cached blocks that they removed.
void startStreamRun(Fleet &fleet, UpstreamView &view, std::uint64_t lost, TimePoint now)
{
    const double removedByEvent = view.events > 0 ? view.removed / view.events : view.held;
    const double removed = static_cast<double>(lost) * removedByEvent;
    view.gaps.push_back({now, std::min(1.0, removed / std::max(view.held, 1.0))});
    if (view.gaps.size() > fleet.policy.maxGaps)
        view.gaps.erase(view.gaps.begin());
    view.held = std::max(0.0, view.held - removed);
    ++view.streamRun;
}

BlockHolder makeHolder(const UpstreamView &view, Slot slot, bool confirmed, TimePoint now)
{
    return {slot, view.generation, view.streamRun, confirmed, now};
}

/// Returns the half-life, in seconds, of the estimate that an upstream caches a block while no
/// event stream keeps it up to date.
double halfLife(const Fleet &fleet, const UpstreamView &view)
{
    const Policy &policy = fleet.policy;
    if (view.blockLifetimeSeconds <= 0)
        return toSeconds(policy.estimateHalfLife);
    return std::clamp(view.blockLifetimeSeconds, toSeconds(policy.minHalfLife),
                      toSeconds(policy.maxHalfLife));
}

/// Updates the estimated lifetime of blocks when one is removed.
void updateBlockLifetime(Fleet &fleet, UpstreamView &view, Slot slot, BlockHash block,
                         TimePoint now)
{
    for (const BlockHolder &it : fleet.index.holders(block)) {
        if (it.slot != slot || it.generation != view.generation || !it.confirmed)
            continue;
        const double lifetime = std::max(toSeconds(now - it.seenAt), 0.0);
        if (view.blockLifetimeSeconds <= 0)
            view.blockLifetimeSeconds = toSeconds(fleet.policy.estimateHalfLife);
        view.blockLifetimeSeconds += newestWeight * (lifetime - view.blockLifetimeSeconds);
    }
}

/// Adds stored or removed blocks to the exponentially decaying counts.
void countBlocks(UpstreamView &view, bool stored, std::size_t blocks, TimePoint now)
{
    const double kept = std::exp(-toSeconds(now - view.countedAt) / countingSeconds);
    view.countedAt = now;
    view.events = view.events * kept + 1;
    view.held = std::max(0.0, view.held + (stored ? 1.0 : -1.0) * static_cast<double>(blocks));
    view.stored = view.stored * kept + (stored ? static_cast<double>(blocks) : 0.0);
    view.removed = view.removed * kept + (stored ? 0.0 : static_cast<double>(blocks));
}

/// Returns the probability that a block was not removed by an event lost in the gaps since it was
/// last confirmed. The longer no removal is reported, the likelier it is that the removal was among
/// the lost events.
double gapSurvival(const UpstreamView &view, const BlockHolder &holder, double halfLifeSeconds,
                   TimePoint now)
{
    const std::size_t gapCount = view.streamRun - holder.streamRun;
    if (gapCount == 0)
        return 1;
    if (gapCount > view.gaps.size())
        return 0;
    double kept = 1;
    const auto first = view.gaps.end() - static_cast<std::ptrdiff_t>(gapCount);
    for (auto it = first; it != view.gaps.end(); ++it)
        kept *= 1 - it->lostShare;
    const double unreported =
        kept * std::exp2(-toSeconds(now - first->recordedAt) / halfLifeSeconds);
    return unreported > 0 ? unreported / (unreported + 1 - kept) : 0;
}

/// Returns the time up to which the upstream is known to have reported its removals.
TimePoint reportedUntil(const Fleet &fleet, const UpstreamView &view, TimePoint now)
{
    if (!view.streaming)
        return view.streamLostAt;
    const bool live = now - view.health.lastReceivedAt <= fleet.policy.streamTimeout;
    return live ? now : view.health.lastReceivedAt;
}

} // namespace

Fleet::Fleet(const Policy &p)
    : policy(p)
    , index(p.maxBlocks, p.maxHolders)
    , spreadTokens(p.spreadReserve)
    , retries(p.retryReserve)
{ }

Slot addUpstream(Fleet &fleet, const std::string &name, const std::string &model,
                 const std::string &weightsVersion, TimePoint now)
{
    const auto known = fleet.slots.find(name);
    if (known != fleet.slots.end())
        return known->second;
    const auto unused =
        std::find_if(fleet.upstreams.begin(), fleet.upstreams.end(), [](const UpstreamView &view) {
            return !view.present;
        });
    const auto slot = static_cast<Slot>(unused - fleet.upstreams.begin());
    if (unused == fleet.upstreams.end())
        fleet.upstreams.emplace_back();
    UpstreamView &view = fleet.upstreams[slot];
    view.name = name;
    view.model = model;
    view.weightsVersion = weightsVersion;
    view.blockTokens = 0;
    view.present = true;
    view.leaving = false;
    view.computedTokens = 0;
    view.computingSeconds = 0;
    view.health = Health{};
    startGeneration(fleet, slot, 0, now);
    fleet.slots[name] = slot;
    return slot;
}

void removeUpstream(Fleet &fleet, const std::string &name)
{
    const auto it = fleet.slots.find(name);
    if (it == fleet.slots.end())
        return;
    UpstreamView &view = fleet.upstreams[it->second];
    view.present = false;
    view.outstanding.clear();
    ++view.generation;
    fleet.slots.erase(it);
}

bool recordIncarnation(Fleet &fleet, Slot slot, std::uint64_t incarnation, TimePoint now)
{
    UpstreamView &view = fleet.upstreams[slot];
    recordAlive(view.health, now);
    if (view.incarnation == incarnation)
        return false;
    startGeneration(fleet, slot, incarnation, now);
    return true;
}

void recordStreamOpened(Fleet &fleet, Slot slot, std::uint64_t incarnation, TimePoint now)
{
    recordIncarnation(fleet, slot, incarnation, now);
    UpstreamView &view = fleet.upstreams[slot];
    view.streaming = true;
    if (view.knowledge == CacheKnowledge::Never)
        view.knowledge = view.nextSequence == 1 ? CacheKnowledge::Known : CacheKnowledge::Unknown;
}

void recordStreamLost(Fleet &fleet, Slot slot, TimePoint now)
{
    UpstreamView &view = fleet.upstreams[slot];
    if (!view.streaming)
        return;
    // A stream that is opened again requests the events after the last one received, so the current
    // run may continue without a gap.
    view.streaming = false;
    view.streamLostAt = now;
}

EventResult applyEvent(Fleet &fleet, Slot slot, const CacheEvent &event, TimePoint now)
{
    UpstreamView &view = fleet.upstreams[slot];
    if (event.incarnation != view.incarnation) {
        ++fleet.events.otherIncarnation;
        return EventResult::OtherIncarnation;
    }
    recordAlive(view.health, now);
    if (event.sequence < view.nextSequence) {
        ++fleet.events.repeated;
        return EventResult::Repeated;
    }
    const bool gap = event.sequence > view.nextSequence;
    if (gap) {
        ++fleet.events.gaps;
        startStreamRun(fleet, view, event.sequence - view.nextSequence, now);
        view.knowledge = CacheKnowledge::Unknown;
    }
    view.nextSequence = event.sequence + 1;
    for (const BlockHash it : event.blocks) {
        if (event.stored) {
            fleet.index.addHolder(it, makeHolder(view, slot, true, now));
            continue;
        }
        updateBlockLifetime(fleet, view, slot, it, now);
        fleet.index.removeHolder(it, slot);
    }
    countBlocks(view, event.stored, event.blocks.size(), now);
    ++fleet.events.applied;
    return gap ? EventResult::Gap : EventResult::Applied;
}

double holdProbability(const Fleet &fleet, const BlockHolder &holder, TimePoint now)
{
    const UpstreamView &view = fleet.upstreams[holder.slot];
    if (holder.generation != view.generation || !view.present)
        return 0;
    const double halfLifeSeconds = halfLife(fleet, view);
    TimePoint knownUntil = holder.seenAt;
    if (holder.confirmed)
        knownUntil = std::max(knownUntil, reportedUntil(fleet, view, now));
    const double age = std::max(0.0, toSeconds(now - knownUntil));
    const double survival =
        holder.confirmed ? gapSurvival(view, holder, halfLifeSeconds, now) : 1.0;
    return survival * std::exp2(-age / halfLifeSeconds);
}

std::vector<double> expectedCachedTokens(const Fleet &fleet, const PrefixChain &chain,
                                         TimePoint now)
{
    constexpr double negligible = 0.02;
    const std::size_t n = fleet.upstreams.size();
    std::vector<double> expected(n, 0.0);
    std::vector<double> held(n, 1.0);
    std::vector<std::size_t> depth(n, 0);
    for (std::size_t i = 0; i < chain.blocks().size(); ++i) {
        bool reached = false;
        for (const BlockHolder &it : fleet.index.holders(chain.blocks()[i])) {
            // A cached block is of no use if a block before it is missing.
            if (depth[it.slot] != i)
                continue;
            held[it.slot] *= holdProbability(fleet, it, now);
            if (held[it.slot] < negligible)
                continue;
            depth[it.slot] = i + 1;
            expected[it.slot] += held[it.slot] * chain.tokensOf(i);
            reached = true;
        }
        if (!reached)
            break;
    }
    return expected;
}

} // namespace kumquathaven::routing
