#include "engine.h"

#include "kumquathaven/base/hash.h"

#include <algorithm>

namespace standins {

using kumquathaven::combineHash;
using kumquathaven::monotonicNow;
using kumquathaven::stableHash;
using kumquathaven::toHex;

namespace {

constexpr std::size_t maxEvents = 8192;
constexpr auto tickLength = std::chrono::milliseconds(5);

/// Joins the messages of a chat in the published way.
std::string promptOf(const Json &body, bool chat)
{
    if (!chat)
        return body.value("prompt", std::string());
    std::string prompt;
    for (const Json &it : body.at("messages"))
        prompt +=
            it.at("role").get<std::string>() + "\n" + it.at("content").get<std::string>() + "\n";
    return prompt;
}

} // namespace

std::string answerToken(std::uint64_t textSeed, std::uint32_t n)
{
    return " " + toHex(combineHash(textSeed, n)).substr(0, bytesPerToken - 1);
}

Engine::Engine(const EngineOptions &options)
    : m_options(options)
    , m_model(options.config)
    , m_version(options.version)
    , m_role(options.role)
    , m_ticker([this] {
        tick();
    })
{ }

Engine::~Engine()
{
    m_stop = true;
    m_ticker.join();
    if (m_loader.joinable())
        m_loader.join();
}

void Engine::tick()
{
    while (!m_stop) {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            const TimePoint now = monotonicNow();
            m_model.advance(now);
            collectEvents();
            m_reports.emplace_back(now, m_model.load(now));
            const TimePoint due = now - std::chrono::milliseconds(m_options.loadLagMs);
            while (m_reports.size() > 1 && m_reports[1].first <= due)
                m_reports.pop_front();
        }
        std::this_thread::sleep_for(tickLength);
    }
}

void Engine::collectEvents()
{
    for (CacheEvent &it : m_model.takeEvents())
        m_events.push_back(std::move(it));
    while (m_events.size() > maxEvents)
        m_events.pop_front();
}

std::optional<Completion> Engine::begin(const std::string &requestId, std::uint32_t resumeFrom,
                                        bool chat, const Json &body, std::string *error)
{
    const std::string named = body.value("model", m_options.model);
    const std::size_t colon = named.find(':');
    Scope scope{body.value("cache_salt", std::string()),
                named.substr(0, colon),
                colon == std::string::npos ? std::string() : named.substr(colon + 1),
                {}};
    const std::string prompt = promptOf(body, chat);
    const std::lock_guard<std::mutex> lock(m_mutex);
    const bool adapterKnown = scope.adapter.empty()
        || std::find(m_adapters.begin(), m_adapters.end(), scope.adapter) != m_adapters.end();
    if (scope.model != m_options.model || !adapterKnown) {
        *error = "model " + named + " is not served";
        return std::nullopt;
    }
    scope.version = m_version;
    Completion completion;
    completion.id = m_nextId++;
    completion.requestId = requestId.empty() ? toHex(completion.id) : requestId;
    completion.model = named;
    completion.chat = chat;
    completion.stream = body.value("stream", false);
    completion.maxTokens = std::max(1U, body.value("max_tokens", 16U));
    completion.resumeFrom = std::min(resumeFrom, completion.maxTokens);
    completion.promptTokens = tokenCount(prompt);
    Scope unsalted = scope;
    unsalted.salt.clear();
    completion.textSeed = combineHash(combineHash(scopeSeed(unsalted), stableHash(prompt)),
                                      body.value("seed", std::uint64_t(0)));
    Job job;
    job.id = completion.id;
    job.blocks = blockHashes(scope, prompt, m_options.config.blockTokens);
    job.promptTokens = completion.promptTokens + completion.resumeFrom;
    job.outputTokens = completion.maxTokens - completion.resumeFrom;
    job.priority = body.value("priority", 0);
    m_model.submit(std::move(job), monotonicNow());
    m_idsByRequest[completion.requestId] = completion.id;
    ++m_started;
    return completion;
}

JobView Engine::view(std::uint64_t id)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const TimePoint now = monotonicNow();
    m_model.advance(now);
    collectEvents();
    return m_model.view(id, now);
}

void Engine::end(const Completion &completion, bool whole)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (whole)
        ++m_finished;
    else if (m_model.cancel(completion.id, monotonicNow()))
        ++m_cancelled;
    m_model.forget(completion.id);
    const auto it = m_idsByRequest.find(completion.requestId);
    if (it != m_idsByRequest.end() && it->second == completion.id)
        m_idsByRequest.erase(it);
}

bool Engine::cancelByRequestId(const std::string &requestId)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_idsByRequest.find(requestId);
    if (it == m_idsByRequest.end() || !m_model.cancel(it->second, monotonicNow()))
        return false;
    ++m_cancelled;
    return true;
}

std::vector<CacheEvent> Engine::eventsAfter(std::uint64_t sequence) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const TimePoint due = monotonicNow() - std::chrono::milliseconds(m_faults.eventLagMs);
    std::vector<CacheEvent> events;
    for (const CacheEvent &it : m_events) {
        if (it.sequence > sequence && it.at <= due)
            events.push_back(it);
    }
    return events;
}

Json Engine::loadReport() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const TimePoint now = monotonicNow();
    const auto sample = m_reports.empty() ? std::make_pair(now, LoadReport{}) : m_reports.front();
    return {
        {"incarnation", toHex(m_incarnation)},
        {"running", sample.second.running},
        {"waiting", sample.second.waiting},
        {"waitingTokens", sample.second.waitingTokens},
        {"cachedTokens", std::uint64_t(sample.second.cachedBlocks) * m_options.config.blockTokens},
        {"ageMs",
         std::chrono::duration_cast<std::chrono::milliseconds>(now - sample.first).count()}};
}

Json Engine::health() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return {{"status", m_loading ? "loading" : "ok"},
            {"incarnation", toHex(m_incarnation)},
            {"model", m_options.model},
            {"version", m_version},
            {"adapters", m_adapters},
            {"role", m_role},
            {"blockTokens", m_options.config.blockTokens}};
}

Json Engine::counts() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return {{"started", m_started},
            {"finished", m_finished},
            {"cancelled", m_cancelled},
            {"loads", m_loads}};
}

Faults Engine::faults() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_faults;
}

void Engine::setFaults(const Json &changes)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_faults.dropEvery = changes.value("dropEvery", m_faults.dropEvery);
    m_faults.repeatEvery = changes.value("repeatEvery", m_faults.repeatEvery);
    m_faults.eventLagMs = changes.value("eventLagMs", m_faults.eventLagMs);
    m_faults.refuseStatus = changes.value("refuseStatus", m_faults.refuseStatus);
    m_faults.refuseKvStatus = changes.value("refuseKvStatus", m_faults.refuseKvStatus);
    m_faults.cutAfterTokens = changes.value("cutAfterTokens", m_faults.cutAfterTokens);
    m_faults.delayMs = changes.value("delayMs", m_faults.delayMs);
}

} // namespace standins
