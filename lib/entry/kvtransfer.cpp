#include "kvtransfer.h"

#include "kumquathaven/telemetry/log.h"
#include "kvcalls.h"

namespace kumquathaven::entry {

namespace {

using routing::HealthState;
using routing::ImportEnd;

constexpr std::size_t maxJobs = 64;
constexpr Duration jobWait = std::chrono::milliseconds(100);
constexpr Duration joinCheckInterval = std::chrono::milliseconds(100);
/// Also how long a probe may have to wait for the duty.
constexpr Duration exportTimeout = std::chrono::seconds(2);
constexpr Duration refusalPause = std::chrono::seconds(10);
/// No engine names a block so; the store's answer alone matters.
constexpr routing::BlockHash probeBlock{0};

ImportOutcome outcomeOf(const KvMove &move, std::size_t asked)
{
    if (!move.moved)
        return {move.timedOut ? ImportEnd::Timeout : ImportEnd::Refused, 0};
    return {*move.moved == asked ? ImportEnd::Whole : ImportEnd::Part, *move.moved};
}

} // namespace

KvTransfer::KvTransfer(telemetry::Metrics &metrics)
    : m_metrics(metrics)
    , m_jobs(maxJobs)
{ }

void KvTransfer::follow(const catalogue::Catalogue &catalogue)
{
    catalogue::Upstream first;
    for (const auto &it : catalogue.upstreams) {
        const catalogue::Upstream &upstream = it.second;
        const bool isStore = upstream.kind == catalogue::UpstreamKind::KvStore
            && upstream.state == catalogue::UpstreamState::Serving;
        if (!isStore)
            continue;
        first = upstream;
        break;
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_upstream = first;
    useStore(m_store, first.head.name, first.address);
}

std::optional<routing::StoreView> KvTransfer::view(const std::vector<routing::PrefixChain> &chains,
                                                   TimePoint now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return storeView(m_store, chains, now);
}

std::optional<routing::ImportPlan>
KvTransfer::plan(const routing::Fleet &fleet, const routing::PrefixChain &chain,
                 const routing::Choice &choice, std::optional<TimePoint> deadline, TimePoint now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return planImport(m_store, fleet, chain, choice, deadline, now);
}

void KvTransfer::offer(const routing::Fleet &fleet, const routing::PrefixChain &chain,
                       const routing::Choice &choice, const catalogue::Upstream &engine,
                       TimePoint now)
{
    ExportJob job{engine, {}, chain.blockTokens()};
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        job.blocks = blocksToExport(m_store, fleet, chain, choice, now);
    }
    if (!job.blocks.empty() && !m_jobs.tryPush(std::move(job)))
        m_metrics
            .counter("kumquathaven_kv_exports_dropped_total", "exports the duty had no room for")
            .add();
}

ImportOutcome KvTransfer::awaitRunning(const routing::ImportPlan &plan,
                                       const std::function<bool()> &gone)
{
    const auto runs = [&] {
        for (const routing::RunningImport &it : m_store.imports) {
            if (it.id == plan.id)
                return true;
        }
        return false;
    };
    std::unique_lock<std::mutex> lock(m_mutex);
    while (runs() && monotonicNow() < plan.until) {
        const TimePoint next = std::min(plan.until, monotonicNow() + joinCheckInterval);
        m_importEnded.wait_for(lock, next - monotonicNow());
        lock.unlock();
        const bool isGone = gone();
        lock.lock();
        if (isGone)
            break;
    }
    return {runs() ? ImportEnd::Timeout : ImportEnd::Whole, 0};
}

ImportOutcome KvTransfer::import(const routing::ImportPlan &plan, const catalogue::Upstream &engine,
                                 const std::function<bool()> &gone)
{
    if (plan.joins)
        return awaitRunning(plan, gone);
    const KvMove move =
        moveBlocks(KvDirection::Import, engine, plan.store, plan.blocks, plan.until, gone);
    const ImportOutcome outcome = outcomeOf(move, plan.blocks.size());
    HealthState before = HealthState::Healthy;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        before = m_store.state;
        recordImport(m_store, plan, outcome.end, outcome.imported, monotonicNow());
    }
    m_importEnded.notify_all();
    logState(before);
    m_metrics
        .counter("kumquathaven_kv_imports_total", "imports from the KV cache store by result",
                 {{"result", std::string(nameOf(routing::importEndNames, outcome.end))}})
        .add();
    m_metrics.counter("kumquathaven_kv_imported_tokens_total", "prompt tokens imported")
        .add(outcome.imported * plan.blockTokens);
    return outcome;
}

KvStatus KvTransfer::status() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return {m_store.name, m_store.state, m_store.storedBlocks.size()};
}

void KvTransfer::run(const runtime::StopSignal &stop)
{
    while (!stop.requested()) {
        probe();
        if (const auto job = m_jobs.pop(jobWait))
            exportPrefix(*job);
    }
}

void KvTransfer::probe()
{
    catalogue::Upstream store;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!probeDue(m_store, monotonicNow()))
            return;
        store = m_upstream;
    }
    takeProbe(hasBlock(store, probeBlock).has_value());
}

void KvTransfer::takeProbe(bool answered)
{
    HealthState before = HealthState::Healthy;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        before = m_store.state;
        recordProbe(m_store, answered, monotonicNow());
    }
    logState(before);
}

void KvTransfer::logState(HealthState before)
{
    const KvStatus after = status();
    // A half-open store that stays ejected is no news.
    if ((before == HealthState::Healthy) == (after.state == HealthState::Healthy))
        return;
    telemetry::logLine(telemetry::LogLevel::Warn, "kvTransfer", "store changed its state",
                       {{"store", after.store},
                        {"state", std::string(nameOf(routing::healthStateNames, after.state))}});
}

std::optional<catalogue::Upstream> KvTransfer::healthyStore()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const bool takesPart = !m_store.name.empty() && m_store.state == HealthState::Healthy;
    return takesPart ? std::optional<catalogue::Upstream>(m_upstream) : std::nullopt;
}

std::optional<std::size_t> KvTransfer::askStored(const catalogue::Upstream &store,
                                                 const std::vector<routing::BlockHash> &blocks)
{
    // Blocks are exported in their order, so those that it has come first. The last one is asked
    // for first, since most prefixes are there as a whole.
    std::size_t has = 0;
    std::size_t lacks = blocks.size() + 1;
    std::size_t next = blocks.size();
    while (has + 1 < lacks) {
        const auto answer = hasBlock(store, blocks[next - 1]);
        if (!answer) {
            takeProbe(false);
            return std::nullopt;
        }
        (*answer ? has : lacks) = next;
        next = (has + lacks) / 2;
    }
    return has;
}

std::size_t KvTransfer::askExport(const ExportJob &job, const std::string &storeAddress,
                                  const std::vector<routing::BlockHash> &blocks)
{
    const KvMove move = moveBlocks(KvDirection::Export, job.engine, storeAddress, blocks,
                                   monotonicNow() + exportTimeout, [] {
                                       return false;
                                   });
    if (!move.moved && !move.timedOut)
        m_refusing[job.engine.head.name] = monotonicNow() + refusalPause;
    const std::size_t exported = move.moved.value_or(0);
    const bool isWhole = exported == blocks.size();
    m_metrics
        .counter("kumquathaven_kv_exports_total", "exports to the KV cache store by result",
                 {{"result", isWhole ? "whole" : "part"}})
        .add();
    m_metrics.counter("kumquathaven_kv_exported_tokens_total", "prompt tokens exported")
        .add(exported * job.blockTokens);
    return exported;
}

void KvTransfer::exportPrefix(const ExportJob &job)
{
    const auto store = healthyStore();
    const auto refusing = m_refusing.find(job.engine.head.name);
    if (!store || (refusing != m_refusing.end() && monotonicNow() < refusing->second))
        return;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        // Many requests of a hot prefix ask for its export before the first is done.
        if (isStored(m_store, job.blocks, monotonicNow()))
            return;
    }
    const auto stored = askStored(*store, job.blocks);
    if (!stored)
        return;
    const auto firstMissing = job.blocks.begin() + static_cast<std::ptrdiff_t>(*stored);
    const std::vector<routing::BlockHash> missing(firstMissing, job.blocks.end());
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto tokens = static_cast<double>(missing.size()) * job.blockTokens;
        recordStored(m_store, job.blocks, *stored, monotonicNow());
        if (missing.empty() || !spendExport(m_store, tokens, monotonicNow()))
            return;
    }
    const std::size_t exported = askExport(job, store->address, missing);
    const std::lock_guard<std::mutex> lock(m_mutex);
    // The catalogue may name another store by now.
    if (m_store.name == store->head.name && m_store.address == store->address)
        recordExport(m_store, missing, exported, monotonicNow());
}

} // namespace kumquathaven::entry
