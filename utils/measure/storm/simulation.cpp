#include "simulation.h"

#include "kumquathaven/admission/retrymemory.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <numeric>
#include <queue>
#include <unordered_map>

namespace storm {

namespace {

using kumquathaven::fromSeconds;
using kumquathaven::toSeconds;
using kumquathaven::admission::Action;
using kumquathaven::admission::AttemptKind;
using kumquathaven::admission::Decision;
using kumquathaven::admission::RetryHints;

// The clock does not start at zero, as it does on no machine.
constexpr TimePoint startTime{std::chrono::hours(1)};

// A client that follows Retry-After, among the habits.
constexpr std::size_t followingHabit = 2;

enum class EventKind { Create, Storm, Attempt, Finish, GiveUp, OutageBegin, OutageEnd, Tick };

struct Event
{
    TimePoint at;
    std::uint64_t sequence;
    EventKind kind;
    /// Customer, work or request.
    std::uint64_t subject;

    bool operator<(const Event &other) const
    {
        return at != other.at ? at > other.at : sequence > other.sequence;
    }
};

struct Attempt
{
    std::uint64_t work = 0;
    bool running = false;
    TimePoint startedAt{};
};

/// Returns the max-min fair shares of a capacity between demands.
std::vector<double> fairShares(const std::vector<double> &demands, double capacity)
{
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return demands[a] < demands[b];
    });
    std::vector<double> shares(demands.size());
    double left = capacity;
    std::size_t count = demands.size();
    for (const std::size_t n : order) {
        shares[n] = std::min(demands[n], left / static_cast<double>(count));
        left -= shares[n];
        --count;
    }
    return shares;
}

double percentile(std::vector<double> values, double part)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto n = static_cast<std::size_t>(part * static_cast<double>(values.size()));
    return values[std::min(n, values.size() - 1)];
}

class Simulation
{
public:
    Simulation(const Scenario &scenario, Queue &queue)
        : m_scenario(scenario)
        , m_queue(queue)
        , m_random(scenario.seed)
        , m_countFrom(startTime + scenario.warmUp)
        , m_countUntil(m_countFrom + scenario.counted)
        , m_end(m_countUntil + scenario.coolDown)
    { }

    Report run()
    {
        take(m_queue.resize({m_scenario.slots, 0}, startTime), startTime);
        for (std::size_t n = 0; n < m_scenario.customers.size(); ++n)
            scheduleCreation(n, startTime);
        if (m_scenario.retryPart > 0)
            scheduleStorm(startTime);
        if (m_scenario.outage > Duration(0)) {
            schedule(startTime + m_scenario.outageAt, EventKind::OutageBegin, 0);
            schedule(startTime + m_scenario.outageAt + m_scenario.outage, EventKind::OutageEnd, 0);
        }
        schedule(startTime, EventKind::Tick, 0);
        while (!m_events.empty() && m_events.top().at < m_end) {
            const Event event = m_events.top();
            m_events.pop();
            handle(event);
        }
        return report();
    }

private:
    void schedule(TimePoint at, EventKind kind, std::uint64_t subject)
    {
        m_events.push({at, m_sequence++, kind, subject});
    }

    static Duration exponential(double perSecond, Random &random)
    {
        return fromSeconds(-std::log(1 - random.uniform()) / perSecond);
    }

    double capacityPerSecond() const { return m_scenario.slots / meansOfWork().seconds; }

    void scheduleCreation(std::size_t customer, TimePoint now)
    {
        const Customer &it = m_scenario.customers[customer];
        const double rate = capacityPerSecond() * m_scenario.load * it.part * it.surge;
        schedule(now + exponential(rate, m_random), EventKind::Create, customer);
    }

    void scheduleStorm(TimePoint now)
    {
        const double part = m_scenario.retryPart;
        const double rate = capacityPerSecond() * m_scenario.load * part / (1 - part);
        schedule(now + exponential(rate, m_stormRandom), EventKind::Storm, 0);
    }

    std::size_t drawCustomer()
    {
        double left = m_stormRandom.uniform();
        for (std::size_t n = 0; n + 1 < m_scenario.customers.size(); ++n) {
            left -= m_scenario.customers[n].part;
            if (left < 0)
                return n;
        }
        return m_scenario.customers.size() - 1;
    }

    void handle(const Event &event)
    {
        const TimePoint now = event.at;
        switch (event.kind) {
        case EventKind::Create:
            scheduleCreation(event.subject, now);
            create(event.subject, now, false);
            break;
        case EventKind::Storm:
            scheduleStorm(now);
            create(drawCustomer(), now, true);
            break;
        case EventKind::Attempt:
            attempt(event.subject, now);
            break;
        case EventKind::Finish:
            finish(event.subject, now);
            break;
        case EventKind::GiveUp:
            giveUp(event.subject, now);
            break;
        case EventKind::OutageBegin:
            take(m_queue.resize({0, 0}, now), now);
            break;
        case EventKind::OutageEnd:
            take(m_queue.resize({m_scenario.slots, 0}, now), now);
            break;
        case EventKind::Tick:
            take(m_queue.advance(now), now);
            schedule(now + std::chrono::milliseconds(50), EventKind::Tick, 0);
            break;
        }
    }

    void create(std::size_t customer, TimePoint now, bool isStorm)
    {
        // The storm draws from a generator of its own, so that real work is the same without it.
        Work work = drawWork(customer, now, isStorm ? m_stormRandom : m_random);
        if (m_scenario.followersOnly)
            work.habit = retryHabits()[work.habit].followsUpTo ? work.habit : followingHabit;
        work.isStorm = isStorm;
        m_works.push_back(work);
        attempt(m_works.size() - 1, now);
    }

    RetryHints signsOf(std::uint64_t id) const
    {
        const Work &work = m_works[id];
        RetryHints retryHints;
        retryHints.customer = m_scenario.customers[work.customer].name;
        retryHints.bodyFingerprint = id;
        if (work.isStorm)
            retryHints.earlierAttempts = 1;
        else if (retryHabits().at(work.habit).sendsCount)
            retryHints.earlierAttempts = work.attempts;
        return retryHints;
    }

    void attempt(std::uint64_t id, TimePoint now)
    {
        Work &work = m_works[id];
        const RetryHints retryHints = signsOf(id);
        Request request;
        request.id = m_nextRequest++;
        request.customer = retryHints.customer;
        request.serviceClass = work.serviceClass;
        request.attempt = kumquathaven::admission::classify(m_memory, retryHints, now);
        request.identity = kumquathaven::admission::workIdentity(retryHints);
        request.tokens = work.tokens;
        request.startBy = now + patienceFor(work.serviceClass) - timeToFirstToken;
        ++work.attempts;
        ++m_arrivals;
        const bool isFirst = !work.isStorm && work.attempts == 1;
        m_firsts += isFirst ? 1 : 0;
        ++m_perSecond[std::chrono::duration_cast<std::chrono::seconds>(now - startTime).count()];
        m_attempts[request.id] = {id, false, {}};
        schedule(now + patienceFor(work.serviceClass), EventKind::GiveUp, request.id);
        take(m_queue.arrive(request, now), now);
    }

    void finish(RequestId id, TimePoint now)
    {
        const auto it = m_attempts.find(id);
        if (it == m_attempts.end())
            return;
        Work &work = m_works[it->second.work];
        work.served = true;
        const std::uint64_t tokens = work.tokens;
        m_attempts.erase(it);
        take(m_queue.finish(id, tokens, now), now);
    }

    /// A client without a first token leaves and tries again by its habit.
    void giveUp(RequestId id, TimePoint now)
    {
        const auto it = m_attempts.find(id);
        if (it == m_attempts.end() || it->second.running)
            return;
        const std::uint64_t work = it->second.work;
        m_attempts.erase(it);
        take(m_queue.cancel(id, 0, now), now);
        failed(work, std::nullopt, now);
    }

    void failed(std::uint64_t id, std::optional<Duration> retryAfter, TimePoint now)
    {
        Work &work = m_works[id];
        kumquathaven::admission::recordFailure(m_memory, signsOf(id), now);
        // The storm's next retry is the next of its arrivals.
        if (work.isStorm)
            return;
        const auto delay =
            nextAttempt(retryHabits().at(work.habit), work.attempts, retryAfter, m_clientRandom);
        if (delay)
            schedule(now + *delay, EventKind::Attempt, id);
    }

    void take(const Decisions &decisions, TimePoint now)
    {
        for (const Decision &it : decisions) {
            const auto attempt = m_attempts.find(it.id);
            if (attempt == m_attempts.end())
                continue;
            Work &work = m_works[attempt->second.work];
            if (it.action == Action::Admit) {
                attempt->second.running = true;
                work.firstTokenAt = now + timeToFirstToken;
                schedule(now + timeInPlace(work.tokens), EventKind::Finish, it.id);
            } else if (it.action == Action::Refuse) {
                ++m_refusals;
                m_refusedFirsts += !work.isStorm && work.attempts == 1 ? 1 : 0;
                const std::uint64_t id = attempt->second.work;
                m_attempts.erase(attempt);
                failed(id, it.error->retryAfter, now);
            }
        }
    }

    Report report() const
    {
        Report out;
        std::vector<double> demand(m_scenario.customers.size());
        std::vector<double> served(m_scenario.customers.size());
        std::vector<double> waits;
        double quick = 0;
        double works = 0;
        double attempts = 0;
        for (const Work &it : m_works) {
            if (it.isStorm || it.createdAt < m_countFrom || it.createdAt >= m_countUntil)
                continue;
            ++works;
            attempts += it.attempts;
            const auto tokens = static_cast<double>(it.tokens);
            demand[it.customer] += tokens;
            served[it.customer] += it.served ? tokens : 0;
            const bool isWithinRate = m_scenario.customers[it.customer].surge <= 1;
            if (it.serviceClass != ServiceClass::Quick || !isWithinRate)
                continue;
            ++quick;
            if (it.firstTokenAt)
                waits.push_back(toSeconds(*it.firstTokenAt - it.createdAt));
        }
        const double capacity =
            capacityPerSecond() * meansOfWork().tokens * toSeconds(m_scenario.counted);
        const std::vector<double> fair = fairShares(demand, capacity);
        out.worstShare = std::numeric_limits<double>::infinity();
        out.worstWithinRate = out.worstShare;
        for (std::size_t n = 0; n < fair.size(); ++n) {
            if (m_scenario.customers[n].surge <= 1)
                out.worstWithinRate = std::min(out.worstWithinRate, served[n] / fair[n]);
            if (served[n] / fair[n] >= out.worstShare)
                continue;
            out.worstShare = served[n] / fair[n];
            out.worstCustomer = m_scenario.customers[n].name;
        }
        out.goodput = std::accumulate(served.begin(), served.end(), 0.0)
            / std::accumulate(fair.begin(), fair.end(), 0.0);
        out.quickP50 = percentile(waits, 0.50);
        out.quickP99 = percentile(waits, 0.99);
        out.quickLost = 1 - static_cast<double>(waits.size()) / quick;
        out.attempts = attempts / works;
        fillCounts(out);
        return out;
    }

    void fillCounts(Report &out) const
    {
        out.arrivals = m_arrivals;
        out.refusals = m_refusals;
        out.retryPart = 1 - static_cast<double>(m_firsts) / static_cast<double>(m_arrivals);
        out.refusedFirst = static_cast<double>(m_refusedFirsts) / static_cast<double>(m_firsts);
        const auto outageEnd = std::chrono::duration_cast<std::chrono::seconds>(
            m_scenario.outageAt + m_scenario.outage);
        double most = 0;
        double sum = 0;
        for (const auto &[second, count] : m_perSecond) {
            sum += static_cast<double>(count);
            if (second >= outageEnd.count())
                most = std::max(most, static_cast<double>(count));
        }
        out.peak = most / (sum / static_cast<double>(m_perSecond.size()));
    }

    const Scenario &m_scenario;
    Queue &m_queue;
    Random m_random;
    Random m_clientRandom{m_scenario.seed + 2'000'000};
    Random m_stormRandom{m_scenario.seed + 1'000'000};
    TimePoint m_countFrom;
    TimePoint m_countUntil;
    TimePoint m_end;
    std::priority_queue<Event> m_events;
    std::uint64_t m_sequence = 0;
    std::vector<Work> m_works;
    std::unordered_map<RequestId, Attempt> m_attempts;
    RequestId m_nextRequest = 1;
    kumquathaven::admission::RetryMemory m_memory;
    std::map<std::int64_t, std::uint64_t> m_perSecond;
    std::uint64_t m_arrivals = 0;
    std::uint64_t m_firsts = 0;
    std::uint64_t m_refusals = 0;
    std::uint64_t m_refusedFirsts = 0;
};

} // namespace

Report run(const Scenario &scenario, Queue &queue)
{
    return Simulation(scenario, queue).run();
}

} // namespace storm
