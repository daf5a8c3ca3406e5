#include "simulation.h"

#include "kumquathaven/base/hash.h"
#include "kumquathaven/routing/baselines.h"
#include "kumquathaven/routing/choice.h"
#include "model/enginemodel.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <tuple>
#include <unordered_map>

namespace measure {

namespace routing = kumquathaven::routing;
using kumquathaven::combineHash;
using kumquathaven::Random;
using kumquathaven::toSeconds;
using routing::BlockHash;
using routing::Slot;

namespace {

constexpr Duration warmUp = std::chrono::seconds(60);
constexpr std::size_t prefixHashDepth = 3;
constexpr std::uint64_t incarnation = 1;

/// Prefill speeds of machines bought over years, in tokens a second.
constexpr std::array<double, 6> prefillSpeeds = {6000, 9000, 12000, 16000, 22000, 30000};

std::vector<std::uint64_t> plain(const routing::PrefixChain &chain)
{
    std::vector<std::uint64_t> blocks;
    for (const BlockHash it : chain.blocks())
        blocks.push_back(static_cast<std::uint64_t>(it));
    return blocks;
}

/// A request under way.
struct Flight
{
    std::size_t arrival = 0;
    Slot slot = 0;
    std::uint64_t ticket = 0;
    std::uint32_t heldSomewhere = 0;
};

struct Timed
{
    TimePoint at{};
    std::uint64_t order = 0;
    std::function<void(TimePoint)> action;

    bool operator<(const Timed &other) const
    {
        return std::tie(at, order) > std::tie(other.at, other.order);
    }
};

class Simulation
{
public:
    Simulation(const std::vector<Arrival> &arrivals, Way way, const FleetConfig &config)
        : m_arrivals(arrivals)
        , m_way(way)
        , m_config(config)
        , m_random(combineHash(config.seed, 77))
    {
        for (std::uint32_t n = 0; n < config.engines; ++n)
            addEngine(n);
        for (std::uint32_t n = 0; n < config.entries; ++n)
            addEntry();
    }

    Figures run()
    {
        for (std::size_t n = 0; n < m_arrivals.size(); ++n)
            at(m_arrivals[n].at, [this, n](TimePoint now) {
                arrive(n, now);
            });
        const TimePoint end = m_arrivals.back().at;
        for (std::uint32_t n = 0; n < m_config.entries; ++n) {
            const Duration offset = m_config.reportEvery * n / m_config.entries;
            at(TimePoint{} + offset, [this, n, end](TimePoint now) {
                poll(n, end, now);
            });
        }
        while (!m_queue.empty()) {
            const Timed next = m_queue.top();
            m_queue.pop();
            next.action(next.at);
        }
        return figures(end);
    }

private:
    struct Engine
    {
        std::unique_ptr<standins::EngineModel> model;
        double speed = 0;
        Duration busy{};
        std::deque<std::pair<TimePoint, standins::LoadReport>> reports;
        std::optional<TimePoint> scheduled;
    };

    void at(TimePoint time, std::function<void(TimePoint)> action)
    {
        m_queue.push({time, m_order++, std::move(action)});
    }

    void addEngine(std::uint32_t n)
    {
        standins::EngineConfig config;
        config.prefillTokensPerSecond = prefillSpeeds[n % prefillSpeeds.size()];
        config.decodePerToken = std::chrono::milliseconds(20);
        config.batch = m_config.batch;
        config.cacheBlocks = m_config.cacheBlocks;
        config.blockTokens = m_config.blockTokens;
        Engine engine;
        engine.model = std::make_unique<standins::EngineModel>(config);
        engine.speed = config.prefillTokensPerSecond;
        engine.model->observe([this, n](const standins::Progress &it) {
            progress(n, it);
        });
        m_meanSpeed += engine.speed / m_config.engines;
        m_engines.push_back(std::move(engine));
    }

    void addEntry()
    {
        routing::Fleet fleet(m_config.policy);
        fleet.entries = m_config.entries;
        for (std::uint32_t n = 0; n < m_config.engines; ++n) {
            const Slot slot =
                addUpstream(fleet, "engine" + std::to_string(n), "m", "1", TimePoint{});
            recordStreamOpened(fleet, slot, incarnation, TimePoint{});
        }
        m_entries.push_back(std::move(fleet));
    }

    void arrive(std::size_t n, TimePoint now)
    {
        const Arrival &arrival = m_arrivals[n];
        routing::Fleet &fleet = m_entries[arrival.entry];
        routing::Request request;
        request.chains.push_back(arrival.chain);
        for (Slot slot = 0; slot < m_config.engines; ++slot)
            request.candidates.push_back(slot);
        const auto choice = decide(fleet, request, now);
        Flight flight;
        flight.arrival = n;
        flight.slot = choice.slot;
        flight.heldSomewhere = heldSomewhere(arrival.chain);
        flight.ticket = commit(fleet, request, choice, now);
        m_flights[n] = flight;
        standins::Job job;
        job.id = n;
        job.blocks = plain(arrival.chain);
        job.promptTokens = arrival.chain.promptTokens();
        job.outputTokens = arrival.outputTokens;
        m_engines[choice.slot].model->submit(std::move(job), now);
        follow(choice.slot, now);
    }

    routing::Choice decide(const routing::Fleet &fleet, const routing::Request &request,
                           TimePoint now)
    {
        switch (m_way) {
        case Way::Random:
            return *chooseRandom(fleet, request, m_random);
        case Way::LeastLoaded:
            return *chooseLeastLoaded(fleet, request, m_random);
        case Way::PrefixHash:
            return *choosePrefixHash(fleet, request, prefixHashDepth);
        case Way::ExpectedFirstToken:
            return *choose(fleet, request, now);
        case Way::Oracle:
            break;
        }
        return oracle(fleet, request, now);
    }

    routing::Choice oracle(const routing::Fleet &fleet, const routing::Request &request,
                           TimePoint now)
    {
        const routing::PrefixChain &chain = request.chains.front();
        const auto blocks = plain(chain);
        double best = -1;
        routing::Choice choice;
        for (Slot slot = 0; slot < m_engines.size(); ++slot) {
            std::size_t held = 0;
            const double wait = toSeconds(m_engines[slot].model->backlog(blocks, now, &held));
            const double cached = static_cast<double>(held) * chain.blockTokens();
            const double missing = std::max(1.0, chain.promptTokens() - cached);
            const double cost = oracleCost(fleet.policy, slot, wait, missing, now);
            if (best >= 0 && cost >= best)
                continue;
            best = cost;
            choice.slot = slot;
            choice.promptTokens = chain.promptTokens();
            choice.expectedCachedTokens = static_cast<std::uint32_t>(cached);
        }
        return choice;
    }

    /// Returns the cost that the choice under test has for a candidate, from exact figures.
    double oracleCost(const routing::Policy &policy, Slot slot, double wait, double missing,
                      TimePoint now) const
    {
        const standins::EngineModel &model = *m_engines[slot].model;
        const double weight =
            policy.recomputeWeight + m_config.oracleQueueWeight * model.load(now).waiting;
        const bool full = model.cache().size() == m_config.cacheBlocks;
        const double evicting = full ? policy.evictionWeight * missing / m_meanSpeed : 0.0;
        return wait + missing / m_engines[slot].speed * weight + evicting;
    }

    std::uint32_t heldSomewhere(const routing::PrefixChain &chain) const
    {
        const auto blocks = plain(chain);
        std::size_t most = 0;
        for (const Engine &it : m_engines)
            most = std::max(most, it.model->cache().match(blocks));
        return static_cast<std::uint32_t>(most * chain.blockTokens());
    }

    void progress(Slot slot, const standins::Progress &it)
    {
        const Flight &flight = m_flights.at(it.id);
        const Arrival &arrival = m_arrivals[flight.arrival];
        routing::Fleet &fleet = m_entries[arrival.entry];
        if (!it.firstToken) {
            recordFinished(fleet, slot, flight.ticket, it.cachedTokens, it.at);
            m_flights.erase(it.id);
            return;
        }
        recordFirstToken(fleet, slot, flight.ticket, it.at);
        const std::uint32_t prompt = arrival.chain.promptTokens();
        m_engines[slot].busy +=
            kumquathaven::fromSeconds((prompt - it.cachedTokens) / m_engines[slot].speed);
        if (arrival.at.time_since_epoch() < warmUp)
            return;
        m_firstTokens.push_back(it.at - arrival.at);
        m_prompt += prompt;
        m_cached += it.cachedTokens;
        const std::uint32_t reusable = std::min(flight.heldSomewhere, prompt - 1);
        m_recomputed += reusable > it.cachedTokens ? reusable - it.cachedTokens : 0;
    }

    /// Publishes what an engine did, and wakes up at its next change.
    void follow(Slot slot, TimePoint now)
    {
        Engine &engine = m_engines[slot];
        engine.model->advance(now);
        for (const standins::CacheEvent &it : engine.model->takeEvents())
            publish(slot, it);
        const auto next = engine.model->nextChange();
        if (!next || (engine.scheduled && *engine.scheduled <= *next && *engine.scheduled > now))
            return;
        engine.scheduled = next;
        at(*next, [this, slot](TimePoint then) {
            follow(slot, then);
        });
    }

    void publish(Slot slot, const standins::CacheEvent &event)
    {
        routing::CacheEvent copy;
        copy.incarnation = incarnation;
        copy.sequence = event.sequence;
        copy.stored = event.stored;
        for (const std::uint64_t it : event.blocks)
            copy.blocks.push_back(BlockHash(it));
        for (std::uint32_t n = 0; n < m_config.entries; ++n) {
            if (m_config.loseEvery > 0 && m_random.below(m_config.loseEvery) == 0)
                continue;
            const auto span = (m_config.mostEventLag - m_config.leastEventLag).count();
            const Duration lag = m_config.leastEventLag
                + Duration(m_random.below(static_cast<std::uint64_t>(span) + 1));
            // A stream keeps its order.
            TimePoint &last = m_lastDelivery[{n, slot}];
            last = std::max(last, event.at + lag);
            at(last, [this, n, slot, copy](TimePoint then) {
                applyEvent(m_entries[n], slot, copy, then);
            });
        }
    }

    void poll(std::uint32_t entry, TimePoint end, TimePoint now)
    {
        for (Slot slot = 0; slot < m_engines.size(); ++slot) {
            Engine &engine = m_engines[slot];
            follow(slot, now);
            engine.reports.emplace_back(now, engine.model->load(now));
            while (engine.reports.size() > 1 && engine.reports[1].first <= now - m_config.reportLag)
                engine.reports.pop_front();
            const auto &report = engine.reports.front();
            applyLoad(m_entries[entry], slot,
                      {incarnation, report.first, report.second.running, report.second.waiting,
                       m_config.reportsTokens ? std::optional(report.second.waitingTokens)
                                              : std::nullopt},
                      now);
        }
        if (now < end)
            at(now + m_config.reportEvery, [this, entry, end](TimePoint then) {
                poll(entry, end, then);
            });
    }

    Figures figures(TimePoint end)
    {
        Figures result;
        std::sort(m_firstTokens.begin(), m_firstTokens.end());
        const std::size_t n = m_firstTokens.size();
        result.requests = n;
        result.firstTokenP50 = m_firstTokens[n / 2];
        result.firstTokenP99 = m_firstTokens[n * 99 / 100];
        result.hitRate = static_cast<double>(m_cached) / static_cast<double>(m_prompt);
        result.promptTokens = m_prompt;
        result.recomputedTokens = m_recomputed;
        for (const Engine &it : m_engines)
            result.busy += toSeconds(it.busy) / toSeconds(end.time_since_epoch());
        result.busy /= static_cast<double>(m_engines.size());
        return result;
    }

    const std::vector<Arrival> &m_arrivals;
    Way m_way;
    FleetConfig m_config;
    Random m_random;
    std::vector<Engine> m_engines;
    double m_meanSpeed = 0;
    std::vector<routing::Fleet> m_entries;
    std::unordered_map<std::uint64_t, Flight> m_flights;
    std::map<std::pair<std::uint32_t, Slot>, TimePoint> m_lastDelivery;
    std::priority_queue<Timed> m_queue;
    std::uint64_t m_order = 0;
    std::vector<Duration> m_firstTokens;
    std::uint64_t m_prompt = 0;
    std::uint64_t m_cached = 0;
    std::uint64_t m_recomputed = 0;
};

} // namespace

Figures simulate(const std::vector<Arrival> &arrivals, Way way, const FleetConfig &config)
{
    return Simulation(arrivals, way, config).run();
}

} // namespace measure
