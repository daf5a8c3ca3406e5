// Simulates instances before engines after new weights: no engine holds any prompt, and each
// instance sees only its own requests.

#ifndef KUMQUATHAVEN_UNITTESTS_GATEWAY_ENGINESIMULATION_H
#define KUMQUATHAVEN_UNITTESTS_GATEWAY_ENGINESIMULATION_H

#include "overload.h"
#include "peerupdate.h"
#include "servers.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>

namespace gatewaytest {

using namespace kumquathaven;
using namespace kumquathaven::gateway;
using std::chrono::milliseconds;

constexpr double promptsPerEngine = 19;
constexpr double tokensPerSecond = 64'000;
/// Time in which an engine of speed 1 produces a chunk of an answer, and chunks of an answer.
constexpr double chunkSeconds = 0.0185;
constexpr int chunksPerAnswer = 6;
/// Requests a second at 13 engines. The long ones take up most of the engines' prefill capacity
/// while no prompt is cached.
constexpr double baselineEngines = 13;
constexpr double longRate = 45;
constexpr double shortRate = 200;
constexpr std::size_t maxCachedParts = 12;
/// Tokens of the shared and own parts of long prompts, their log-normal spreads and their maxima,
/// from the data sheets of the users.
constexpr std::uint64_t sharedTokens = 13'300;
constexpr std::uint64_t ownTokens = 3'700;
constexpr double sharedSpread = 0.7;
constexpr double ownSpread = 1.1;
constexpr double maxSharedTokens = 39'900;
constexpr double maxOwnTokens = 53'200;
/// Minimum size of the largest tenth of long prompts.
constexpr std::uint64_t minLargestTokens = 31'000;
constexpr std::uint64_t shortTokens = 300;
inline const Duration longObjective = milliseconds(800);
inline const Duration shortObjective = milliseconds(500);
/// Time limits of callers.
inline const Duration longTime = milliseconds(8'000);
inline const Duration shortTime = milliseconds(4'000);

/// An engine that reads prompts one after the other and caches the most recently used shared parts.
struct Engine
{
    double speed = 1;
    TimePoint busyUntil{};
    std::vector<std::size_t> cachedParts;
    /// Until this time it runs at a part of its speed.
    TimePoint slowUntil{};
    double slowSpeed = 1;

    /// Adds a prompt and returns when its first token comes.
    TimePoint addPrompt(std::size_t prompt, std::uint64_t shared, std::uint64_t own, TimePoint now)
    {
        std::uint64_t tokens = own;
        if (shared > 0) {
            const auto it = std::find(cachedParts.begin(), cachedParts.end(), prompt);
            if (it == cachedParts.end())
                tokens += shared;
            else
                cachedParts.erase(it);
            cachedParts.push_back(prompt);
            if (cachedParts.size() > maxCachedParts)
                cachedParts.erase(cachedParts.begin());
        }
        const TimePoint begin = std::max(busyUntil, now);
        const double present = begin < slowUntil ? speed * slowSpeed : speed;
        busyUntil = begin + fromSeconds(static_cast<double>(tokens) / (tokensPerSecond * present));
        return busyUntil;
    }
};

/// Counts of requests that were answered late or not at all.
struct LateCounts
{
    int lateLong = 0;
    int lateShort = 0;
    /// Not answered within the time limits of their callers.
    int lostLong = 0;
    int lostShort = 0;
    int totalLong = 0;
    int totalShort = 0;
    /// Late requests among the largest tenth of the long ones, and their total.
    int lateLargest = 0;
    int totalLargest = 0;

    LateCounts &operator+=(const LateCounts &it)
    {
        lateLong += it.lateLong;
        lateShort += it.lateShort;
        lostLong += it.lostLong;
        lostShort += it.lostShort;
        totalLong += it.totalLong;
        totalShort += it.totalShort;
        lateLargest += it.lateLargest;
        totalLargest += it.totalLargest;
        return *this;
    }
};

/// Behaviour of the instances in a simulation, and the load.
struct SimulationConfig
{
    /// Instances report their backlogs to each other.
    bool sharesBacklogs = true;
    /// Instances measure the pauses between chunks.
    bool measuresPauses = true;
    /// Instances report these pauses to each other.
    bool sharesPauses = true;
    /// Interval at which instances learn what the others did: about the age that this knowledge has
    /// in a deployment (unittests/overlay/networktest.cpp).
    Duration updateInterval = milliseconds(75);
    /// Instances refuse requests whose answers would be late.
    bool refuses = false;
    /// Load relative to the usual rate of requests for each engine.
    double load = 1;
    /// Lengths of long prompts vary as widely as those of the users.
    bool variesLengths = false;
    std::size_t instances = 8;
    std::size_t engines = 13;
    /// The first engines are not listed until returnAfter, and then run at returnSpeed of their
    /// speed for slowAfterReturn.
    std::size_t returning = 0;
    Duration returnAfter{0};
    double returnSpeed = 1;
    Duration slowAfterReturn{0};
    bool pacesServers = true;
};

/// Simulates ten seconds of requests at instances that send each other updates.
class Simulation
{
public:
    /// Engine n has speed n of \p speeds, repeated cyclically.
    Simulation(const SimulationConfig &config, const std::vector<double> &speeds, unsigned seed)
        : m_config(config)
        , m_random(seed)
        , m_instances(config.instances)
        , m_engines(config.engines)
        , m_refusals(config.instances)
    {
        deployment::Service engines;
        engines.name = "engines";
        engines.engine.emplace();
        m_plan.services["engines"] = engines;
        m_route.services = {{"engines", 1}};
        m_route.kind = deployment::RequestKind::Streaming;
        std::vector<deployment::ListedServer> &list = m_list;
        for (std::size_t n = 0; n < m_engines.size(); ++n) {
            deployment::ListedServer it;
            it.id = std::to_string(n);
            it.service = "engines";
            it.address = {"127.0.0.1", 1};
            it.slots = 32;
            it.weights["m"] = 1;
            list.push_back(it);
            m_engines[n].speed = speeds[n % speeds.size()];
        }
        const auto returning = static_cast<std::ptrdiff_t>(config.returning);
        for (Servers &it : m_instances) {
            it.pacesServers = config.pacesServers;
            applyList(it, {list.begin() + returning, list.end()}, m_startedAt);
        }
        if (config.returning > 0)
            m_events.push({m_startedAt + config.returnAfter, [this] {
                               returnEngines(m_startedAt + m_config.returnAfter);
                           }});
    }

    LateCounts run()
    {
        std::exponential_distribution<double> pause((longRate + shortRate) * m_config.load
                                                    * static_cast<double>(m_engines.size())
                                                    / baselineEngines);
        std::bernoulli_distribution isLong(longRate / (longRate + shortRate));
        TimePoint now = m_startedAt;
        TimePoint nextUpdate = m_startedAt;
        while (now < m_startedAt + std::chrono::seconds(10)) {
            now += fromSeconds(pause(m_random));
            for (; nextUpdate <= now; nextUpdate += m_config.updateInterval)
                sendUpdates(nextUpdate);
            for (; !m_events.empty() && m_events.top().dueAt <= now; m_events.pop())
                m_events.top().run();
            send(isLong(m_random), now);
        }
        return m_lateCounts;
    }

private:
    /// An action of the simulation that is due at a time.
    struct Event
    {
        TimePoint dueAt;
        std::function<void()> run;

        bool operator>(const Event &other) const { return dueAt > other.dueAt; }
    };

    /// Prompt tokens that wait at a server.
    struct Backlogs
    {
        std::map<const Servers *, std::uint64_t> byInstance;
        std::uint64_t total = 0;
        TimePoint decreasedAt{};
    };

    /// A request as its caller sends it.
    struct SimulatedRequest
    {
        bool isLong = false;
        std::size_t prompt = 0;
        std::uint64_t shared = 0;
        std::uint64_t own = 0;
        std::size_t instance = 0;
        /// When its caller sent it first.
        TimePoint firstSentAt{};
        /// Whether it is a retry after a refusal.
        bool isRetry = false;
    };

    void returnEngines(TimePoint now)
    {
        for (std::size_t n = 0; n < m_config.returning; ++n) {
            m_engines[n].slowUntil = now + m_config.slowAfterReturn;
            m_engines[n].slowSpeed = m_config.returnSpeed;
        }
        for (Servers &it : m_instances)
            applyList(it, m_list, now);
    }

    /// Lets every instance know what all others did since the last call.
    void sendUpdates(TimePoint now)
    {
        for (Servers &from : m_instances) {
            PeerUpdate update = takeUpdate(from, std::to_string(&from - m_instances.data()));
            if (!m_config.sharesPauses)
                update.paces.clear();
            for (Servers &to : m_instances) {
                if (&to != &from)
                    applyPeerUpdate(to, update, now);
            }
        }
        if (m_config.sharesBacklogs)
            shareBacklogs(now);
    }

    void shareBacklogs(TimePoint now)
    {
        for (Servers &from : m_instances) {
            for (const auto &[start, tokens] : takeChangedBacklogs(from)) {
                Backlogs &backlogs = m_backlogs[start];
                std::uint64_t &own = backlogs.byInstance[&from];
                if (tokens < own)
                    backlogs.decreasedAt = now;
                backlogs.total += tokens - own;
                own = tokens;
            }
        }
        for (auto &[start, it] : m_backlogs) {
            for (Servers &to : m_instances)
                setBacklogOfOthers(to, backlogKey(start),
                                   static_cast<std::int64_t>(it.total - it.byInstance[&to]),
                                   it.decreasedAt, now);
        }
    }

    void send(bool isLong, TimePoint now)
    {
        std::uniform_int_distribution<std::size_t> instance(0, m_instances.size() - 1);
        std::uniform_real_distribution<double> uniform(0, 1);
        // Some prompts are more frequent than others.
        const double draw = uniform(m_random);
        SimulatedRequest query;
        query.isLong = isLong;
        query.prompt = static_cast<std::size_t>(draw * draw * promptsPerEngine
                                                * static_cast<double>(m_engines.size()));
        query.instance = instance(m_random);
        query.firstSentAt = now;
        query.shared = isLong ? sharedLength(query.prompt) : 0;
        query.own = isLong ? ownLength() : shortTokens;
        (isLong ? m_lateCounts.totalLong : m_lateCounts.totalShort) += 1;
        m_lateCounts.totalLargest += isLargest(query) ? 1 : 0;
        submit(query, now);
    }

    static bool isLargest(const SimulatedRequest &query)
    {
        return query.shared + query.own >= minLargestTokens;
    }

    /// Returns a length from a log-normal distribution with the given mean and maximum.
    static std::uint64_t lengthAround(std::uint64_t mean, double spread, double maxLength,
                                      std::mt19937 &random)
    {
        std::lognormal_distribution<double> draw(-spread * spread / 2, spread);
        return static_cast<std::uint64_t>(
            std::min(maxLength, static_cast<double>(mean) * draw(random)));
    }

    /// Returns the length of a shared part, which is the same for all its requests.
    std::uint64_t sharedLength(std::size_t prompt) const
    {
        if (!m_config.variesLengths)
            return sharedTokens;
        std::mt19937 random(static_cast<unsigned>(prompt));
        return lengthAround(sharedTokens, sharedSpread, maxSharedTokens, random);
    }

    std::uint64_t ownLength()
    {
        return m_config.variesLengths ? lengthAround(ownTokens, ownSpread, maxOwnTokens, m_random)
                                      : ownTokens;
    }

    void submit(const SimulatedRequest &query, TimePoint now)
    {
        deployment::CallerHead head;
        head.model = "m";
        head.requestId = std::to_string(m_number++);
        head.promptTokens = query.own + query.shared;
        if (query.isLong)
            head.prompt = {{"p" + std::to_string(query.prompt), query.shared},
                           {head.requestId, query.own}};
        m_route.objective = query.isLong ? longObjective : shortObjective;
        const TimePoint deadline = query.firstSentAt + (query.isLong ? longTime : shortTime);
        Servers &servers = m_instances[query.instance];
        const PickRequest request{&m_plan, &m_route, &head, nullptr, {}, deadline, false, {}};
        if (!m_config.refuses) {
            const auto pick = gateway::pick(servers, request, now);
            REQUIRE(pick);
            start(query, *pick, now);
            return;
        }
        const PickResult result = pickIfInTime(servers, request, now);
        RefusalRate &rate = m_refusals[query.instance];
        recordRequest(rate, result.excessWait.has_value(), now);
        if (result.pick) {
            start(query, *result.pick, now);
            return;
        }
        REQUIRE(result.excessWait);
        // A caller retries only once.
        if (query.isRetry) {
            (query.isLong ? m_lateCounts.lostLong : m_lateCounts.lostShort) += 1;
            return;
        }
        SimulatedRequest retried = query;
        retried.isRetry = true;
        std::uniform_real_distribution<double> uniform(0, 1);
        const Duration pause =
            retryDelay(rate, result.excessWait->excess, deadline - now, uniform(m_random));
        m_events.push({now + pause, [this, retried, at = now + pause] {
                           submit(retried, at);
                       }});
    }

    void start(const SimulatedRequest &query, const Pick &pick, TimePoint now)
    {
        Servers &servers = m_instances[query.instance];
        Engine &engine = m_engines[std::stoul(pick.serverId)];
        const TimePoint first = engine.addPrompt(query.prompt, query.shared, query.own, now);
        m_events.push({first, [&servers, pick, first] {
                           recordFirstToken(servers, pick, first);
                       }});
        const Duration pause = fromSeconds(chunkSeconds / engine.speed);
        const TimePoint last = first + chunksPerAnswer * pause;
        m_events.push({last, [this, &servers, pick, last, pause] {
                           for (int n = 0; m_config.measuresPauses && n < chunksPerAnswer; ++n)
                               recordPause(servers, pick, pause);
                           recordAttemptEnd(servers, pick, AttemptEnd::Answered, last);
                       }});
        const Duration latency = first - query.firstSentAt;
        if (latency > (query.isLong ? longTime : shortTime))
            (query.isLong ? m_lateCounts.lostLong : m_lateCounts.lostShort) += 1;
        else if (latency > (query.isLong ? longObjective : shortObjective))
            (query.isLong ? m_lateCounts.lateLong : m_lateCounts.lateShort) += 1;
        const bool isLate = latency > (query.isLong ? longObjective : shortObjective);
        m_lateCounts.lateLargest += isLate && isLargest(query) ? 1 : 0;
    }

    const SimulationConfig m_config;
    std::mt19937 m_random;
    const TimePoint m_startedAt = TimePoint(std::chrono::hours(1));
    std::vector<Servers> m_instances;
    std::vector<Engine> m_engines;
    std::vector<deployment::ListedServer> m_list;
    deployment::Plan m_plan;
    deployment::Route m_route;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_number = 0;
    std::vector<RefusalRate> m_refusals;
    std::map<std::string, Backlogs> m_backlogs;
    LateCounts m_lateCounts;
};

/// Returns the sum of the counts of three simulations with different seeds.
inline LateCounts simulate(const SimulationConfig &config, const std::vector<double> &speeds)
{
    LateCounts sum;
    for (const unsigned seed : {1U, 2U, 3U})
        sum += Simulation(config, speeds, seed).run();
    return sum;
}

} // namespace gatewaytest

#endif // KUMQUATHAVEN_UNITTESTS_GATEWAY_ENGINESIMULATION_H
