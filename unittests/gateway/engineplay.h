// Plays the load after new weights: no engine holds any prompt, and each instance sees only its own
// requests.

#ifndef KUMQUATHAVEN_UNITTESTS_GATEWAY_ENGINEPLAY_H
#define KUMQUATHAVEN_UNITTESTS_GATEWAY_ENGINEPLAY_H

#include "newsbudget.h"
#include "overload.h"
#include "placementnews.h"
#include "servers.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <queue>
#include <random>

namespace gatewaytest {

using namespace kumquathaven;
using namespace kumquathaven::gateway;
using std::chrono::milliseconds;

constexpr double promptsPerEngine = 19;
constexpr double tokensPerSecond = 64'000;
/// Time in which an engine of speed 1 makes a piece of an answer, and pieces of an answer.
constexpr double pieceSeconds = 0.0185;
constexpr int piecesOfAnswer = 6;
/// Requests a second at 13 engines; the long ones take up most of what the engines read while
/// nothing is held.
constexpr double usualEngines = 13;
constexpr double longRate = 45;
constexpr double shortRate = 200;
constexpr std::size_t partsHeld = 12;
/// Tokens of long prompts, and how widely they are spread around these, from the users' sheets.
constexpr std::uint64_t sharedTokens = 13'300;
constexpr std::uint64_t ownTokens = 3'700;
constexpr double sharedSpread = 0.7;
constexpr double ownSpread = 1.1;
constexpr double mostSharedTokens = 39'900;
constexpr double mostOwnTokens = 53'200;
/// Long prompts from this size on are the largest tenth.
constexpr std::uint64_t largestTokens = 31'000;
constexpr std::uint64_t shortTokens = 300;
inline const Duration newsTick = milliseconds(25);
inline const Duration longObjective = milliseconds(800);
inline const Duration shortObjective = milliseconds(500);
/// How long callers wait.
inline const Duration longTime = milliseconds(8'000);
inline const Duration shortTime = milliseconds(4'000);

/// An engine that reads one prompt after the other and holds the shared parts that it used last.
struct Engine
{
    double speed = 1;
    TimePoint busyUntil{};
    std::vector<std::size_t> held;

    /// Returns when the first token of a prompt comes.
    TimePoint take(std::size_t prompt, std::uint64_t shared, std::uint64_t own, TimePoint now)
    {
        std::uint64_t tokens = own;
        if (shared > 0) {
            const auto it = std::find(held.begin(), held.end(), prompt);
            if (it == held.end())
                tokens += shared;
            else
                held.erase(it);
            held.push_back(prompt);
            if (held.size() > partsHeld)
                held.erase(held.begin());
        }
        const double seconds = static_cast<double>(tokens) / (tokensPerSecond * speed);
        busyUntil = std::max(busyUntil, now) + fromSeconds(seconds);
        return busyUntil;
    }
};

struct Late
{
    int longOnes = 0;
    int shortOnes = 0;
    /// Not answered in the time that their callers wait.
    int lostLong = 0;
    int lostShort = 0;
    int ofLong = 0;
    int ofShort = 0;
    /// Of the largest tenth of the long ones.
    int largest = 0;
    int ofLargest = 0;

    Late &operator+=(const Late &it)
    {
        longOnes += it.longOnes;
        shortOnes += it.shortOnes;
        lostLong += it.lostLong;
        lostShort += it.lostShort;
        ofLong += it.ofLong;
        ofShort += it.ofShort;
        largest += it.largest;
        ofLargest += it.ofLargest;
        return *this;
    }
};

/// What instances know and do in a play, and under which load.
struct Conduct
{
    /// They tell each other what they wait for.
    bool ofBacklogs = true;
    /// They see the pauses between pieces.
    bool ofPauses = true;
    /// They tell each other of these.
    bool tellsPauses = true;
    /// They tell each other of everything after this time; nothing: as the budget of news allows.
    std::optional<Duration> newsInterval;
    /// They refuse what would be late.
    bool refuses = false;
    /// Against the usual rate of requests for each engine.
    double load = 1;
    /// Long prompts differ in length as widely as those of the users.
    bool lengthsDiffer = false;
    std::size_t instances = 8;
    std::size_t engines = 13;
};

/// Plays ten seconds of requests at the instances, which tell each other of prompts.
class Play
{
public:
    /// Engine n has speed n of \p speeds, and so on in turn.
    Play(const Conduct &conduct, const std::vector<double> &speeds, unsigned seed)
        : m_conduct(conduct)
        , m_random(seed)
        , m_instances(conduct.instances)
        , m_engines(conduct.engines)
        , m_refusals(conduct.instances)
        , m_newsBudgets(conduct.instances)
    {
        deployment::Service engines;
        engines.name = "engines";
        engines.engine.emplace();
        m_plan.services["engines"] = engines;
        m_route.services = {{"engines", 1}};
        m_route.kind = deployment::RequestKind::Streaming;
        std::vector<deployment::ListedServer> list;
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
        for (Servers &it : m_instances)
            takeList(it, list, m_begun);
    }

    Late run()
    {
        std::exponential_distribution<double> pause((longRate + shortRate) * m_conduct.load
                                                    * static_cast<double>(m_engines.size())
                                                    / usualEngines);
        std::bernoulli_distribution isLong(longRate / (longRate + shortRate));
        TimePoint now = m_begun;
        TimePoint nextNews = m_begun;
        while (now < m_begun + std::chrono::seconds(10)) {
            now += fromSeconds(pause(m_random));
            for (; nextNews <= now; nextNews += newsTick)
                tellNews(nextNews);
            for (; !m_ends.empty() && m_ends.top().at <= now; m_ends.pop())
                m_ends.top().end();
            send(isLong(m_random), now);
        }
        return m_late;
    }

private:
    struct End
    {
        TimePoint at;
        std::function<void()> end;

        bool operator>(const End &other) const { return at > other.at; }
    };

    /// A request as its caller sees it.
    struct Asked
    {
        bool isLong = false;
        std::size_t prompt = 0;
        std::uint64_t shared = 0;
        std::uint64_t own = 0;
        std::size_t instance = 0;
        /// When its caller first asked.
        TimePoint at{};
        /// It was refused before.
        bool isBack = false;
    };

    /// Returns whether an instance tells the others now, and counts that it does.
    bool tellsNow(const Servers &from, TimePoint now)
    {
        NewsBudget &budget = m_newsBudgets[static_cast<std::size_t>(&from - m_instances.data())];
        const std::size_t others = m_instances.size() - 1;
        const bool mayTell = m_conduct.newsInterval
            ? now - budget.at >= *m_conduct.newsInterval
            : mayTellNews(budget, others, !from.news.empty(), now);
        if (mayTell)
            noteNewsTold(budget, others, now);
        return mayTell;
    }

    void tellNews(TimePoint now)
    {
        for (Servers &from : m_instances) {
            if (!tellsNow(from, now))
                continue;
            News news = takeNews(from, now);
            if (!m_conduct.ofBacklogs)
                news.backlogs.clear();
            if (!m_conduct.tellsPauses)
                news.paces.clear();
            for (Servers &to : m_instances) {
                if (&to != &from)
                    takeNewsOf(to, std::to_string(&from - m_instances.data()), news, now);
            }
        }
    }

    void send(bool isLong, TimePoint now)
    {
        std::uniform_int_distribution<std::size_t> instance(0, m_instances.size() - 1);
        std::uniform_real_distribution<double> uniform(0, 1);
        // Some prompts are asked for more often than others.
        const double draw = uniform(m_random);
        Asked asked;
        asked.isLong = isLong;
        asked.prompt = static_cast<std::size_t>(draw * draw * promptsPerEngine
                                                * static_cast<double>(m_engines.size()));
        asked.instance = instance(m_random);
        asked.at = now;
        asked.shared = isLong ? sharedLength(asked.prompt) : 0;
        asked.own = isLong ? ownLength() : shortTokens;
        (isLong ? m_late.ofLong : m_late.ofShort) += 1;
        m_late.ofLargest += isLargest(asked) ? 1 : 0;
        ask(asked, now);
    }

    static bool isLargest(const Asked &asked) { return asked.shared + asked.own >= largestTokens; }

    /// Returns a length that is drawn around a mean.
    static std::uint64_t lengthAround(std::uint64_t mean, double spread, double most,
                                      std::mt19937 &random)
    {
        std::lognormal_distribution<double> draw(-spread * spread / 2, spread);
        return static_cast<std::uint64_t>(std::min(most, static_cast<double>(mean) * draw(random)));
    }

    /// All requests of a shared part find it as long.
    std::uint64_t sharedLength(std::size_t prompt) const
    {
        if (!m_conduct.lengthsDiffer)
            return sharedTokens;
        std::mt19937 random(static_cast<unsigned>(prompt));
        return lengthAround(sharedTokens, sharedSpread, mostSharedTokens, random);
    }

    std::uint64_t ownLength()
    {
        return m_conduct.lengthsDiffer ? lengthAround(ownTokens, ownSpread, mostOwnTokens, m_random)
                                       : ownTokens;
    }

    void ask(const Asked &asked, TimePoint now)
    {
        deployment::CallerHead head;
        head.model = "m";
        head.requestId = std::to_string(m_number++);
        head.promptTokens = asked.own + asked.shared;
        if (asked.isLong)
            head.prompt = {{"p" + std::to_string(asked.prompt), asked.shared},
                           {head.requestId, asked.own}};
        m_route.objective = asked.isLong ? longObjective : shortObjective;
        const TimePoint deadline = asked.at + (asked.isLong ? longTime : shortTime);
        Servers &servers = m_instances[asked.instance];
        const PickRequest request{&m_plan, &m_route, &head, nullptr, {}, deadline};
        if (!m_conduct.refuses) {
            const auto pick = gateway::pick(servers, request, now);
            REQUIRE(pick);
            begin(asked, *pick, now);
            return;
        }
        const Offer result = offer(servers, request, now);
        RefusalRate &rate = m_refusals[asked.instance];
        noteOffer(rate, result.excessWait.has_value(), now);
        if (result.pick) {
            begin(asked, *result.pick, now);
            return;
        }
        REQUIRE(result.excessWait);
        // A caller comes back once.
        if (asked.isBack) {
            (asked.isLong ? m_late.lostLong : m_late.lostShort) += 1;
            return;
        }
        Asked again = asked;
        again.isBack = true;
        std::uniform_real_distribution<double> uniform(0, 1);
        const Duration pause =
            comeBackAfter(rate, result.excessWait->excess, deadline - now, uniform(m_random));
        m_ends.push({now + pause, [this, again, at = now + pause] {
                         ask(again, at);
                     }});
    }

    void begin(const Asked &asked, const Pick &pick, TimePoint now)
    {
        Servers &servers = m_instances[asked.instance];
        Engine &engine = m_engines[std::stoul(pick.serverId)];
        const TimePoint first = engine.take(asked.prompt, asked.shared, asked.own, now);
        m_ends.push({first, [&servers, pick, first] {
                         recordFirstToken(servers, pick, first);
                     }});
        const Duration pause = fromSeconds(pieceSeconds / engine.speed);
        const TimePoint last = first + piecesOfAnswer * pause;
        m_ends.push({last, [this, &servers, pick, last, pause] {
                         for (int n = 0; m_conduct.ofPauses && n < piecesOfAnswer; ++n)
                             recordPause(servers, pick, pause);
                         noteEnd(servers, pick, SendEnd::Answered, last);
                     }});
        const Duration took = first - asked.at;
        if (took > (asked.isLong ? longTime : shortTime))
            (asked.isLong ? m_late.lostLong : m_late.lostShort) += 1;
        else if (took > (asked.isLong ? longObjective : shortObjective))
            (asked.isLong ? m_late.longOnes : m_late.shortOnes) += 1;
        const bool isLate = took > (asked.isLong ? longObjective : shortObjective);
        m_late.largest += isLate && isLargest(asked) ? 1 : 0;
    }

    const Conduct m_conduct;
    std::mt19937 m_random;
    const TimePoint m_begun = TimePoint(std::chrono::hours(1));
    std::vector<Servers> m_instances;
    std::vector<Engine> m_engines;
    deployment::Plan m_plan;
    deployment::Route m_route;
    std::priority_queue<End, std::vector<End>, std::greater<>> m_ends;
    std::uint64_t m_number = 0;
    std::vector<RefusalRate> m_refusals;
    std::vector<NewsBudget> m_newsBudgets;
    Late m_late;
};

/// Returns the sum over three plays.
inline Late lateOf(const Conduct &conduct, const std::vector<double> &speeds)
{
    Late sum;
    for (const unsigned seed : {1U, 2U, 3U})
        sum += Play(conduct, speeds, seed).run();
    return sum;
}

} // namespace gatewaytest

#endif // KUMQUATHAVEN_UNITTESTS_GATEWAY_ENGINEPLAY_H
