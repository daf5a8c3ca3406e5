// The engine stand-in without sockets: continuous batching, priorities and a prefix cache, driven
// by the time it is given.

#ifndef KUMQUATHAVEN_STANDINS_MODEL_ENGINEMODEL_H
#define KUMQUATHAVEN_STANDINS_MODEL_ENGINEMODEL_H

#include "blockcache.h"
#include "kumquathaven/base/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace standins {

using kumquathaven::Duration;
using kumquathaven::TimePoint;

/// Speed and size of an engine.
struct EngineConfig
{
    double prefillTokensPerSecond = 20000;
    Duration decodePerToken = std::chrono::milliseconds(5);
    /// Requests that run at the same time.
    std::size_t batch = 16;
    std::size_t cacheBlocks = 4096;
    std::uint32_t blockTokens = 16;
};

/// One request to the engine.
struct Job
{
    std::uint64_t id = 0;
    std::vector<std::uint64_t> blocks;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 1;
    /// Smaller goes first.
    int priority = 0;
};

enum class JobState { Unknown, Waiting, Prefilling, Decoding, Done };

/// How far a job is.
struct JobView
{
    JobState state = JobState::Unknown;
    std::uint32_t cachedTokens = 0;
    std::uint32_t tokens = 0;
    TimePoint firstTokenAt{};
};

/// A change of the cache as it is published.
struct CacheEvent
{
    std::uint64_t sequence = 0;
    TimePoint at{};
    bool stored = true;
    std::vector<std::uint64_t> blocks;
};

/// What the engine reports about itself.
struct LoadReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Prompt tokens that are neither computed nor cached now, of all jobs.
    std::uint64_t waitingTokens = 0;
    std::uint32_t cachedBlocks = 0;
};

/// A step in the life of a job.
struct Progress
{
    std::uint64_t id = 0;
    /// Whether the first token is out; otherwise the job is done.
    bool firstToken = true;
    TimePoint at{};
    std::uint32_t cachedTokens = 0;
};

/// Requests, their order and the cache. Prefill takes one request at a time, decoding all at once.
class EngineModel
{
public:
    explicit EngineModel(const EngineConfig &config);

    void submit(Job job, TimePoint now);

    /// Takes a job out wherever it is. Returns false if there is no such unfinished job.
    bool cancel(std::uint64_t id, TimePoint now);

    /// Brings the state up to the present.
    void advance(TimePoint now);

    /// Returns when the state changes next by itself.
    std::optional<TimePoint> nextChange() const;

    JobView view(std::uint64_t id, TimePoint now) const;

    /// Drops what is kept about a finished job.
    void forget(std::uint64_t id);

    /// Puts blocks that came from outside into the cache.
    void addBlocks(const std::vector<std::uint64_t> &chain, TimePoint now);
    void clearCache(TimePoint now);

    /// Returns the changes of the cache since the last call.
    std::vector<CacheEvent> takeEvents();

    /// Calls a function at each step of each job, before later steps are taken.
    void observe(std::function<void(const Progress &)> observer);

    /// Returns how long a job that is submitted now waits for its prefill, and in \p held how many
    /// leading blocks of \p chain will be in the cache by then, if nothing is evicted.
    Duration backlog(const std::vector<std::uint64_t> &chain, TimePoint now,
                     std::size_t *held) const;

    LoadReport load(TimePoint now) const;
    const BlockCache &cache() const { return m_cache; }
    const EngineConfig &config() const { return m_config; }

private:
    struct Entry
    {
        Job job;
        JobState state = JobState::Waiting;
        std::uint64_t order = 0;
        std::uint32_t cachedTokens = 0;
        TimePoint firstTokenAt{};
        TimePoint endAt{};
    };

    void startNext(TimePoint at);
    void finishPrefill(TimePoint at);
    void publish(bool stored, std::vector<std::uint64_t> blocks, TimePoint at);

    EngineConfig m_config;
    BlockCache m_cache;
    std::unordered_map<std::uint64_t, Entry> m_jobs;
    /// Priority, order of arrival, id.
    std::set<std::tuple<int, std::uint64_t, std::uint64_t>> m_waiting;
    std::optional<std::uint64_t> m_prefilling;
    TimePoint m_prefillEnd{};
    /// End of decoding, id.
    std::set<std::pair<TimePoint, std::uint64_t>> m_decoding;
    std::vector<CacheEvent> m_events;
    std::function<void(const Progress &)> m_observer;
    std::uint64_t m_order = 0;
    std::uint64_t m_sequence = 0;
};

} // namespace standins

#endif // KUMQUATHAVEN_STANDINS_MODEL_ENGINEMODEL_H
