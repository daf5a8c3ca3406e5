#include "enginemodel.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace standins {

EngineModel::EngineModel(const EngineConfig &config)
    : m_config(config)
    , m_cache(config.cacheBlocks)
{ }

void EngineModel::submit(Job job, TimePoint now)
{
    advance(now);
    const std::uint64_t id = job.id;
    m_waiting.emplace(job.priority, m_order, id);
    Entry entry;
    entry.job = std::move(job);
    entry.order = m_order++;
    m_jobs[id] = std::move(entry);
    startNext(now);
}

bool EngineModel::cancel(std::uint64_t id, TimePoint now)
{
    advance(now);
    const auto it = m_jobs.find(id);
    if (it == m_jobs.end() || it->second.state == JobState::Done)
        return false;
    const Entry &entry = it->second;
    if (entry.state == JobState::Waiting) {
        m_waiting.erase({entry.job.priority, entry.order, id});
    } else if (entry.state == JobState::Prefilling) {
        m_prefilling.reset();
    } else {
        m_decoding.erase({entry.endAt, id});
    }
    m_jobs.erase(it);
    startNext(now);
    return true;
}

std::optional<TimePoint> EngineModel::nextChange() const
{
    std::optional<TimePoint> next;
    if (m_prefilling)
        next = m_prefillEnd;
    if (!m_decoding.empty() && (!next || m_decoding.begin()->first < *next))
        next = m_decoding.begin()->first;
    return next;
}

void EngineModel::advance(TimePoint now)
{
    for (auto next = nextChange(); next && *next <= now; next = nextChange()) {
        if (m_prefilling && m_prefillEnd == *next) {
            finishPrefill(*next);
        } else {
            const std::uint64_t id = m_decoding.begin()->second;
            m_jobs[id].state = JobState::Done;
            m_decoding.erase(m_decoding.begin());
            if (m_observer)
                m_observer({id, false, *next, m_jobs[id].cachedTokens});
        }
        startNext(*next);
    }
}

void EngineModel::startNext(TimePoint at)
{
    if (m_prefilling || m_waiting.empty() || m_decoding.size() >= m_config.batch)
        return;
    const std::uint64_t id = std::get<2>(*m_waiting.begin());
    m_waiting.erase(m_waiting.begin());
    Entry &entry = m_jobs[id];
    const std::uint64_t held = m_cache.use(entry.job.blocks) * m_config.blockTokens;
    // The last token of a prompt is always computed, since the first answer token comes from it.
    const std::uint64_t reusable = entry.job.promptTokens > 0 ? entry.job.promptTokens - 1 : 0;
    entry.cachedTokens = static_cast<std::uint32_t>(std::min(held, reusable));
    entry.state = JobState::Prefilling;
    m_prefilling = id;
    const double missing = entry.job.promptTokens - entry.cachedTokens;
    m_prefillEnd = at + kumquathaven::fromSeconds(missing / m_config.prefillTokensPerSecond);
}

void EngineModel::finishPrefill(TimePoint at)
{
    Entry &entry = m_jobs[*m_prefilling];
    m_prefilling.reset();
    addBlocks(entry.job.blocks, at);
    entry.state = JobState::Decoding;
    entry.firstTokenAt = at;
    const std::uint32_t further = entry.job.outputTokens > 0 ? entry.job.outputTokens - 1 : 0;
    entry.endAt = at + further * m_config.decodePerToken;
    m_decoding.emplace(entry.endAt, entry.job.id);
    if (m_observer)
        m_observer({entry.job.id, true, at, entry.cachedTokens});
}

void EngineModel::observe(std::function<void(const Progress &)> observer)
{
    m_observer = std::move(observer);
}

Duration EngineModel::backlog(const std::vector<std::uint64_t> &chain, TimePoint now,
                              std::size_t *held) const
{
    Duration total(0);
    std::unordered_set<std::uint64_t> coming;
    const auto heldThen = [&](const std::vector<std::uint64_t> &blocks) {
        std::size_t n = 0;
        while (n < blocks.size() && (m_cache.contains(blocks[n]) || coming.count(blocks[n]) > 0))
            ++n;
        return n;
    };
    if (m_prefilling) {
        const Job &job = m_jobs.at(*m_prefilling).job;
        total += m_prefillEnd - now;
        coming.insert(job.blocks.begin(), job.blocks.end());
    }
    for (const auto &it : m_waiting) {
        const Job &job = m_jobs.at(std::get<2>(it)).job;
        const double reused = static_cast<double>(heldThen(job.blocks)) * m_config.blockTokens;
        const double missing = std::max(1.0, job.promptTokens - reused);
        total += kumquathaven::fromSeconds(missing / m_config.prefillTokensPerSecond);
        coming.insert(job.blocks.begin(), job.blocks.end());
    }
    *held = heldThen(chain);
    return total;
}

void EngineModel::addBlocks(const std::vector<std::uint64_t> &chain, TimePoint now)
{
    BlockCache::Change change = m_cache.insert(chain);
    publish(true, std::move(change.stored), now);
    publish(false, std::move(change.removed), now);
}

void EngineModel::clearCache(TimePoint now)
{
    publish(false, m_cache.clear(), now);
}

void EngineModel::publish(bool stored, std::vector<std::uint64_t> blocks, TimePoint at)
{
    if (!blocks.empty())
        m_events.push_back({++m_sequence, at, stored, std::move(blocks)});
}

std::vector<CacheEvent> EngineModel::takeEvents()
{
    return std::exchange(m_events, {});
}

JobView EngineModel::view(std::uint64_t id, TimePoint now) const
{
    const auto it = m_jobs.find(id);
    if (it == m_jobs.end())
        return {};
    const Entry &entry = it->second;
    JobView view{entry.state, entry.cachedTokens, 0, entry.firstTokenAt};
    if (entry.state == JobState::Done)
        view.tokens = entry.job.outputTokens;
    if (entry.state == JobState::Decoding) {
        const auto further =
            (now - entry.firstTokenAt) / std::max(m_config.decodePerToken, Duration(1));
        view.tokens = std::min(entry.job.outputTokens, static_cast<std::uint32_t>(1 + further));
    }
    return view;
}

void EngineModel::forget(std::uint64_t id)
{
    const auto it = m_jobs.find(id);
    if (it != m_jobs.end() && it->second.state == JobState::Done)
        m_jobs.erase(it);
}

LoadReport EngineModel::load(TimePoint now) const
{
    LoadReport report;
    report.running = static_cast<std::uint32_t>(m_decoding.size() + (m_prefilling ? 1 : 0));
    report.waiting = static_cast<std::uint32_t>(m_waiting.size());
    if (m_prefilling && m_prefillEnd > now) {
        const double seconds = kumquathaven::toSeconds(m_prefillEnd - now);
        report.waitingTokens +=
            static_cast<std::uint64_t>(seconds * m_config.prefillTokensPerSecond);
    }
    for (const auto &it : m_waiting) {
        const Job &job = m_jobs.at(std::get<2>(it)).job;
        const std::uint64_t held = m_cache.match(job.blocks) * m_config.blockTokens;
        report.waitingTokens += job.promptTokens - std::min<std::uint64_t>(held, job.promptTokens);
    }
    report.cachedBlocks = static_cast<std::uint32_t>(m_cache.size());
    return report;
}

} // namespace standins
