// Plays many short requests beside a few long ones, sent by many instances that learn late what the
// others sent.

#ifndef KUMQUATHAVEN_UNITTESTS_GATEWAY_SHORTPLAY_H
#define KUMQUATHAVEN_UNITTESTS_GATEWAY_SHORTPLAY_H

#include "enginefixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <queue>
#include <random>

namespace gatewaytest::shortplay {

constexpr std::uint32_t slots = 16;
constexpr std::size_t engineCount = 12;
constexpr std::size_t instanceCount = 40;
/// First parts that short prompts share; fewer than there are engines.
constexpr std::size_t hotParts = 8;
constexpr double readSpeed = 90'000;
/// Requests a second: the short ones hold about 80 % of all slots, and the long ones need 25 % of
/// the time of the engines.
constexpr double shortRate = 610;
constexpr double longRate = 16;
inline const Duration shortAnswer = milliseconds(250);
inline const Duration longAnswer = milliseconds(400);
inline const Duration shortObjective = milliseconds(400);
inline const Duration reportInterval = milliseconds(100);
/// Changes of levels by less than this are reported every fourth time (overlay::AggregateConfig).
constexpr std::uint64_t minChange = 1'000;

struct PlayConfig
{
    /// Zero is the choice among all engines, without a draw.
    std::size_t drawnUpstreams = routing::Policy().drawnUpstreams;
    /// An instance that gets no reports of the others after the first second.
    bool losesReports = false;
    /// An engine that ends all its requests at second 3, and is on no list from then on.
    bool losesEngine = false;
};

/// Times to the first token of short requests, by the second in which they were sent.
struct PlayResult
{
    std::vector<double> firstTokens;
    std::map<int, std::pair<int, int>> inTimeBySecond;
    int longInTime = 0;
    int longTotal = 0;

    double shareInTime() const
    {
        const auto inTime = std::count_if(firstTokens.begin(), firstTokens.end(), [](double it) {
            return it <= toSeconds(shortObjective);
        });
        return static_cast<double>(inTime) / static_cast<double>(firstTokens.size());
    }

    double percentile99()
    {
        const auto at =
            firstTokens.begin() + static_cast<std::ptrdiff_t>(firstTokens.size() * 99 / 100);
        std::nth_element(firstTokens.begin(), at, firstTokens.end());
        return *at;
    }

    double worstSecond() const
    {
        double worst = 1;
        for (const auto &[second, it] : inTimeBySecond)
            worst = std::min(worst, static_cast<double>(it.first) / it.second);
        return worst;
    }
};

/// Engines read prompts one after the other, and hold a slot from the start to the end of an
/// answer.
class Play
{
public:
    explicit Play(const PlayConfig &config)
        : m_config(config)
        , m_instances(instanceCount)
        , m_engines(engineCount)
    {
        for (Servers &it : m_instances) {
            it.fleet.policy.drawnUpstreams = config.drawnUpstreams;
            list(it, engineCount, at(0));
        }
    }

    PlayResult run()
    {
        std::exponential_distribution<double> pause(shortRate + longRate);
        std::bernoulli_distribution isLong(longRate / (longRate + shortRate));
        TimePoint now = at(0);
        for (TimePoint nextReport = now; now < at(6'000);) {
            now += fromSeconds(pause(m_random));
            for (; nextReport <= now; nextReport += reportInterval)
                m_events.push({nextReport, [this, nextReport] {
                                   report(nextReport);
                               }});
            for (; !m_events.empty() && m_events.top().dueAt <= now;) {
                const Event event = m_events.top();
                m_events.pop();
                event.run();
            }
            send(isLong(m_random), now);
        }
        return m_outcome;
    }

private:
    struct Event
    {
        TimePoint dueAt;
        std::function<void()> run;
        bool operator>(const Event &other) const { return dueAt > other.dueAt; }
    };

    using Levels = std::map<std::string, std::map<const Servers *, std::uint64_t>>;

    struct Engine
    {
        std::uint32_t running = 0;
        TimePoint readsUntil{};
        std::deque<std::function<void(TimePoint)>> queue;
    };

    void list(Servers &servers, std::size_t count, TimePoint now)
    {
        std::vector<deployment::ListedServer> all;
        for (std::size_t n = 0; n < count; ++n) {
            all.push_back(server(std::to_string(n), "engines", 1));
            all.back().slots = slots;
        }
        applyList(servers, all, now);
    }

    void report(TimePoint now)
    {
        const bool reportsSmall = m_reports++ % 4 == 0;
        const auto apply = [&](std::map<std::string, std::uint64_t> &unreported, Levels &reported,
                               const Servers &from) {
            for (auto it = unreported.begin(); it != unreported.end();) {
                std::uint64_t &value = reported[it->first][&from];
                const std::uint64_t change =
                    std::max(value, it->second) - std::min(value, it->second);
                if (change < minChange && it->second != 0 && !reportsSmall) {
                    ++it;
                    continue;
                }
                value = it->second;
                it = unreported.erase(it);
            }
        };
        for (Servers &from : m_instances) {
            for (const auto &[start, tokens] : takeChangedBacklogs(from))
                m_unreportedBacklogs[&from][start] = tokens;
            apply(m_unreportedBacklogs[&from], m_backlogs, from);
        }
        for (Servers &to : m_instances) {
            if (m_config.losesReports && &to == &m_instances.front() && now > at(1'000))
                continue;
            const auto others = [&](const std::map<const Servers *, std::uint64_t> &levels) {
                std::int64_t sum = 0;
                for (const auto &[from, level] : levels)
                    sum += from == &to ? 0 : static_cast<std::int64_t>(level);
                return sum;
            };
            for (const auto &[start, levels] : m_backlogs)
                setBacklogOfOthers(to, backlogKey(start), others(levels), now, now);
        }
        if (m_config.losesEngine && !m_hasLostEngine && now >= at(3'000))
            loseEngine(now);
    }

    void loseEngine(TimePoint now)
    {
        m_hasLostEngine = true;
        for (Servers &it : m_instances)
            list(it, engineCount - 1, now);
    }

    void send(bool isLong, TimePoint now)
    {
        Servers &servers = m_instances[m_number % instanceCount];
        EngineFixture fixture;
        fixture.head.requestId = std::to_string(m_number++);
        fixture.route.objective = isLong ? milliseconds(1'200) : shortObjective;
        if (!isLong) {
            fixture.head.promptTokens = 383;
            fixture.head.prompt = {{"hot" + std::to_string(m_random() % hotParts), 55},
                                   {fixture.head.requestId, 328}};
        } else {
            fixture.head.prompt[0].id = "guide" + std::to_string(m_random() % 40);
        }
        const auto pick = gateway::pick(servers, fixture.request(now), now);
        REQUIRE(pick);
        Engine &engine = m_engines[std::stoul(pick->serverId)];
        const double tokens = isLong ? 17'000 : 383;
        auto start = [this, isLong, &servers, pick = *pick, sentAt = now, tokens,
                      &engine](TimePoint startedAt) {
            ++engine.running;
            engine.readsUntil =
                std::max(engine.readsUntil, startedAt) + fromSeconds(tokens / readSpeed);
            const TimePoint first = engine.readsUntil;
            m_events.push({first, [this, isLong, &servers, pick, sentAt, first] {
                               recordFirstToken(servers, pick, first);
                               count(isLong, sentAt, first);
                           }});
            const TimePoint last = first + (isLong ? longAnswer : shortAnswer);
            m_events.push({last, [&servers, pick, last, &engine] {
                               recordAttemptEnd(servers, pick, AttemptEnd::Answered, last);
                               --engine.running;
                               if (engine.queue.empty())
                                   return;
                               const auto next = engine.queue.front();
                               engine.queue.pop_front();
                               next(last);
                           }});
        };
        if (engine.running < slots)
            start(now);
        else
            engine.queue.push_back(start);
    }

    void count(bool isLong, TimePoint sentAt, TimePoint first)
    {
        const Duration took = first - sentAt;
        if (isLong) {
            ++m_outcome.longTotal;
            m_outcome.longInTime += took <= milliseconds(1'200) ? 1 : 0;
            return;
        }
        m_outcome.firstTokens.push_back(toSeconds(took));
        auto &[inTime, total] =
            m_outcome.inTimeBySecond[static_cast<int>(toSeconds(sentAt - at(0)))];
        inTime += took <= shortObjective ? 1 : 0;
        ++total;
    }

    const PlayConfig m_config;
    std::mt19937 m_random{1};
    std::vector<Servers> m_instances;
    std::vector<Engine> m_engines;
    Levels m_backlogs;
    std::map<const Servers *, std::map<std::string, std::uint64_t>> m_unreportedBacklogs;
    int m_reports = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::size_t m_number = 0;
    bool m_hasLostEngine = false;
    PlayResult m_outcome;
};

inline void show(const std::string &name, PlayResult &it)
{
    MESSAGE(name, ": short in time ", it.shareInTime(), ", 99th percentile ", it.percentile99(),
            " s, worst second ", it.worstSecond(), "; long in time ", it.longInTime, " of ",
            it.longTotal);
}

} // namespace gatewaytest::shortplay

#endif // KUMQUATHAVEN_UNITTESTS_GATEWAY_SHORTPLAY_H
