// The state of one engine stand-in: its model, event log, orders, load reports and faults.

#ifndef KUMQUATHAVEN_STANDINS_ENGINE_ENGINE_H
#define KUMQUATHAVEN_STANDINS_ENGINE_ENGINE_H

#include "../common/server.h"
#include "../model/enginemodel.h"
#include "kumquathaven/base/hex.h"

#include <atomic>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace standins {

/// What the command line sets.
struct EngineOptions
{
    EngineConfig config;
    std::string model = "samosa-7b";
    std::string version = "1";
    std::string role = "mixed";
    std::string credential;
    /// Prompts with this text crash the engine as it begins to answer them; empty: none do.
    std::string crashOn;
    std::string weightStore;
    bool checksFencing = false;
    long loadMs = 200;
    long loadLagMs = 100;
    double importTokensPerSecond = 400000;
};

/// Faults that tests switch on and off through POST /debug/faults. Zero means off.
struct Faults
{
    /// Every nth event is never sent.
    long dropEvery = 0;
    /// Every nth event is sent twice.
    long repeatEvery = 0;
    long eventLagMs = 20;
    /// Completions are refused with this status.
    long refuseStatus = 0;
    /// Exports and imports of KV cache are refused with this status.
    long refuseKvStatus = 0;
    /// Streams are cut after this many tokens.
    long cutAfterTokens = 0;
    /// Answers start this much later.
    long delayMs = 0;
};

/// A completion as it was read from a request.
struct Completion
{
    std::uint64_t id = 0;
    std::string requestId;
    std::string model;
    bool chat = false;
    bool stream = false;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 16;
    std::uint32_t resumeFrom = 0;
    std::uint64_t textSeed = 0;
};

/// Everything behind one lock, with a thread that moves the model on.
class Engine
{
public:
    explicit Engine(const EngineOptions &options);
    ~Engine();
    Engine(const Engine &) = delete;
    Engine &operator=(const Engine &) = delete;

    /// Reads and queues a completion. Returns nothing, with the message in \p error, if the body
    /// is not one.
    std::optional<Completion> begin(const std::string &requestId, std::uint32_t resumeFrom,
                                    bool chat, const Json &body, std::string *error);

    JobView view(std::uint64_t id);

    /// Ends a completion: counts it as run to its end or as cancelled.
    void end(const Completion &completion, bool whole);
    bool cancelByRequestId(const std::string &requestId);

    /// Applies {fence, order}; returns the HTTP status and the answer.
    std::pair<int, Json> applyOrder(const Json &body);
    Json orderState() const;

    /// Copies blocks to or from a KV cache store.
    Json exportBlocks(const std::string &store, const std::vector<std::uint64_t> &blocks);
    Json importBlocks(const std::string &store, const std::vector<std::uint64_t> &blocks);

    /// Returns the events after a sequence number that are old enough to be sent.
    std::vector<CacheEvent> eventsAfter(std::uint64_t sequence) const;
    Json loadReport() const;
    Json health() const;
    Json counts() const;

    Faults faults() const;
    void setFaults(const Json &changes);

    const EngineOptions &options() const { return m_options; }
    std::string incarnation() const { return kumquathaven::toHex(m_incarnation); }
    Seen &seen() { return m_seen; }

private:
    void tick();
    void collectEvents();
    void finishLoad(const std::string &version, const std::vector<std::string> &adapters);
    /// Called with the lock held.
    std::pair<int, Json> decideOrder(const Json &body);
    bool fetchWeights(const std::string &model, const std::string &version) const;

    const EngineOptions m_options;
    const std::uint64_t m_incarnation = drawIncarnation();
    Seen m_seen;

    mutable std::mutex m_mutex;
    EngineModel m_model;
    std::uint64_t m_nextId = 1;
    std::map<std::string, std::uint64_t> m_idsByRequest;
    std::deque<CacheEvent> m_events;
    std::deque<std::pair<TimePoint, LoadReport>> m_reports;
    Faults m_faults;
    std::string m_version;
    std::string m_role;
    std::vector<std::string> m_adapters;
    std::uint64_t m_highestFence = 0;
    /// Order ids with the answers they got.
    std::map<std::string, std::pair<int, Json>> m_orders;
    /// Orders in the order of their arrival, with the status each got.
    std::vector<Json> m_received;
    bool m_loading = false;
    std::uint64_t m_loads = 0;
    std::uint64_t m_started = 0;
    std::uint64_t m_finished = 0;
    std::uint64_t m_cancelled = 0;

    std::atomic<bool> m_stop{false};
    std::thread m_loader;
    std::thread m_ticker;
};

/// Returns token \p n of a completion's answer: four bytes, the same for the same prompt, seed,
/// model and version.
std::string answerToken(std::uint64_t textSeed, std::uint32_t n);

} // namespace standins

#endif // KUMQUATHAVEN_STANDINS_ENGINE_ENGINE_H
