#include "release/history.h"

#include "kumquathaven/base/random.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <queue>
#include <set>
#include <utility>

namespace kumquathaven::release {

namespace {

constexpr double tick = 0.01;
constexpr std::size_t sides = 2;

struct Server
{
    std::int64_t running = 0;
    double meanRunning = 0;
    double downUntil = -1;
    std::uint64_t start = 0;
};

struct Instance
{
    std::array<std::int64_t, sides> sent{};
    Evidence counts;
};

struct Ending
{
    double at = 0;
    std::size_t side = 0;
    std::size_t server = 0;
    std::uint64_t start = 0;
    std::size_t instance = 0;
    std::size_t route = 0;
    bool isError = false;
    bool isBad = false;
    double delay = 0;
    bool operator<(const Ending &other) const { return at > other.at; }
};

class History
{
public:
    History(const Load &load, std::uint64_t seed)
        : m_load(load)
        , m_random(seed)
        , m_instances(load.instances)
    {
        for (auto &it : m_servers)
            it.resize(load.servers);
        for (std::size_t n = 0; n < load.routes.size(); ++n)
            m_names.push_back("route" + std::to_string(n));
        // A single failing server is the one that is exposed first.
        for (auto &it : m_greys) {
            while (it.size() < load.greyServers)
                it.insert(load.greyServers > 1 ? m_random.below(load.servers) : 0);
        }
    }

    Result play()
    {
        m_progress.limit = fromSeconds(m_load.limit);
        for (std::size_t n = 0; m_now < m_load.limit + 8; ++n) {
            m_now = static_cast<double>(n) * tick;
            end();
            crash();
            if (n % 10 == 0) {
                measure();
                control();
            }
            const double factor = m_now >= m_load.burstFrom && m_now < m_load.burstFrom + 3 ? 3 : 1;
            m_arrivals += m_load.rate * tick * factor * -std::log(1 - m_random.uniform());
            for (; m_arrivals >= 1; --m_arrivals)
                send(m_random.below(m_instances.size()), routeOf(), false);
        }
        const auto bound = 0.1 * static_cast<double>(m_result.sent) + 50;
        m_result.isExposureBounded = static_cast<double>(m_result.exposed) <= bound;
        return m_result;
    }

private:
    std::size_t routeOf()
    {
        double at = m_random.uniform();
        std::size_t route = 0;
        for (; route + 1 < m_load.routes.size() && at >= m_load.routes[route]; ++route)
            at -= m_load.routes[route];
        return route;
    }

    std::uint32_t nextServers() const
    {
        return static_cast<std::uint32_t>(m_now >= m_load.othersAt ? m_load.servers
                                                                   : m_load.firstServers);
    }

    Supply supply() const
    {
        const auto servers = static_cast<std::uint32_t>(m_load.servers);
        return {servers, nextServers(), m_load.servers * 64, std::uint64_t{nextServers()} * 64};
    }

    std::size_t pick(std::size_t side, const Progress &progress)
    {
        std::vector<std::size_t> &usable = m_usable;
        std::vector<std::size_t> &last = m_last;
        usable.clear();
        last.clear();
        const std::size_t count = side == 0 ? m_load.servers : nextServers();
        const std::size_t avoided = side == 0 ? serverGroupCount : m_avoided;
        for (std::size_t n = 0; n < count; ++n) {
            // A crash is noticed 200 ms later.
            if (m_servers[side][n].downUntil > m_now && m_servers[side][n].downUntil < m_now + 2.8)
                continue;
            (n % serverGroupCount == avoided ? last : usable).push_back(n);
        }
        usable.insert(usable.end(), last.begin(), last.end());
        if (usable.empty())
            return 0;
        std::size_t used = usable.size();
        if (side == 1)
            used = std::min<std::size_t>(used, exposedServers(progress.sharePerMille, supply()));
        return usable[m_random.below(std::max<std::size_t>(1, used))];
    }

    void send(std::size_t n, std::size_t route, bool isRetry)
    {
        Instance &it = m_instances[n];
        // Instances follow a decision one after the other.
        Progress progress =
            m_now >= m_stepAt + m_load.feedDelay * (0.5 + 0.5 * part(n)) ? m_progress : m_before;
        progress.elapsed = fromSeconds(m_now);
        const bool isNext = (!isRetry || progress.sharePerMille >= 1000) && !m_isBraked
            && mayExpose(progress, it.sent[0], it.sent[1],
                         static_cast<std::uint32_t>(m_instances.size()), m_policy,
                         m_random.uniform());
        const std::size_t side = isNext ? 1 : 0;
        ++it.sent[side];
        RouteCounts &counts = it.counts.routes[m_names[route]];
        ++(isNext ? counts.next : counts.present).sent;
        if (m_now <= m_load.limit) {
            ++m_result.sent;
            m_result.exposed += isNext ? 1 : 0;
        }
        if (isNext && m_now > m_badBoundAt)
            ++m_result.late;
        const std::size_t chosen = pick(side, progress);
        run(n, route, side, chosen);
    }

    double part(std::size_t n) const
    {
        return static_cast<double>(n + 1) / static_cast<double>(m_instances.size());
    }

    void run(std::size_t n, std::size_t route, std::size_t side, std::size_t chosen)
    {
        Server &server = m_servers[side][chosen];
        Ending ending{m_now, side, chosen, server.start, n, route};
        ending.delay = m_load.meanDelay * std::exp(m_random.uniform() * 2 - 1);
        const bool isBurst = m_now >= m_load.burstFrom && m_now < m_load.burstFrom + 3;
        if (isBurst)
            ending.delay *= 2;
        const double full = m_load.rate * m_load.meanDelay / static_cast<double>(m_load.servers);
        const bool isBad = side == 1 && m_now >= m_load.badFrom
            && m_progress.sharePerMille >= m_load.badShare
            && (m_load.badRoute >= m_load.routes.size() || m_load.badRoute == route)
            && (!m_load.isBadUnderLoadOnly || server.meanRunning > 0.6 * full);
        const double errors = m_load.commonErrors + (isBurst ? m_load.burstErrors : 0);
        ending.isError = m_random.uniform() < errors
            || (isGrey(side, chosen) && m_random.uniform() < m_load.greyPart);
        if (isBad && m_random.uniform() < m_load.failing)
            ending.isError = ending.isBad = true;
        if (isBad && m_random.uniform() < m_load.slowPart) {
            ending.delay *= m_load.slowFactor;
            ending.isBad = true;
        }
        ending.at = m_now + ending.delay;
        if (server.downUntil > m_now)
            ending.at = m_now + tick;
        ++server.running;
        m_endings.push(ending);
    }

    bool isGrey(std::size_t side, std::size_t n) const { return m_greys[side].count(n) > 0; }

    void end()
    {
        while (!m_endings.empty() && m_endings.top().at <= m_now) {
            const Ending it = m_endings.top();
            m_endings.pop();
            Server &server = m_servers[it.side][it.server];
            --server.running;
            const bool isCut = server.start != it.start || server.downUntil > m_now;
            if (it.isBad && !isCut && ++m_badAnswers == 50)
                m_badBoundAt = m_now + 5;
            if (it.instance >= m_instances.size())
                continue;
            Evidence &evidence = m_instances[it.instance].counts;
            RouteCounts &route = evidence.routes[m_names[it.route]];
            Counts &counts = it.side == 1 ? route.next : route.present;
            if (isCut || it.isError) {
                ++counts.failed;
                counts.cut += isCut ? 1 : 0;
                send(it.instance, it.route, true);
            } else {
                ++counts.delays[delayBucketOf(fromSeconds(it.delay))];
            }
            if (it.side == 1 && !isCut) {
                GroupCounts &group = evidence.groups[it.server % serverGroupCount];
                ++group.answered;
                group.failed += it.isError ? 1 : 0;
            }
        }
    }

    void crash()
    {
        for (auto &side : m_servers) {
            for (Server &it : side) {
                it.meanRunning += (static_cast<double>(it.running) - it.meanRunning) * tick;
                if (m_load.crashRate > 0 && m_random.uniform() < m_load.crashRate * tick
                    && it.downUntil < m_now) {
                    it.downUntil = m_now + 3;
                    ++it.start;
                }
            }
        }
        if (m_now >= m_load.killAt && m_instances.size() == m_load.instances)
            m_instances.resize(m_load.instances - m_load.killed);
    }

    static void add(Counts &to, const Counts &from)
    {
        to.sent += from.sent;
        to.failed += from.failed;
        to.cut += from.cut;
        for (std::size_t n = 0; n < delayBucketCount; ++n)
            to.delays[n] += from.delays[n];
    }

    void measure()
    {
        if (m_now >= m_load.gapFrom && m_now < m_load.gapEnd)
            return;
        Evidence sum;
        for (const Instance &it : m_instances) {
            for (const auto &[name, route] : it.counts.routes) {
                add(sum.routes[name].present, route.present);
                add(sum.routes[name].next, route.next);
            }
            for (std::size_t n = 0; n < serverGroupCount; ++n) {
                sum.groups[n].answered += it.counts.groups[n].answered;
                sum.groups[n].failed += it.counts.groups[n].failed;
            }
        }
        for (const Server &it : m_servers[0])
            sum.runningAtPresent += it.running;
        sum.instances = sum.instancesServing = static_cast<std::uint32_t>(m_instances.size());
        m_sums.emplace_back(m_now, std::move(sum));
        while (m_sums.size() > 1 && m_sums[1].first <= m_now - m_load.evidenceAge)
            m_sums.pop_front();
    }

    void control()
    {
        m_known = m_sums.front().second;
        m_avoided = avoidedGroup(m_known);
        m_isBraked = m_isBraked || !faultOf(m_known, m_policy, m_progress.sharePerMille).empty();
        const bool isAway = m_now >= m_load.controlAwayFrom && m_now < m_load.controlAwayEnd;
        if (isAway || m_result.end != Action::Hold)
            return;
        m_progress.elapsed = fromSeconds(m_now);
        m_progress.inStep = fromSeconds(m_now - m_stepAt);
        const Decision decision = decide(
            m_progress, m_known, fromSeconds(m_now - m_sums.front().first), supply(), m_policy);
        if (decision.action == Action::Hold)
            return;
        m_before = m_progress;
        m_stepAt = m_now;
        ++m_progress.step;
        m_progress.sharePerMille = decision.sharePerMille;
        if (decision.action == Action::Advance)
            return;
        m_result.end = decision.action;
        m_result.endAt = m_now;
        m_result.reason = decision.reason;
    }

    const Load m_load;
    Random m_random;
    Policy m_policy;
    double m_now = 0;
    double m_arrivals = 0;
    double m_stepAt = 0;
    double m_badBoundAt = never;
    std::int64_t m_badAnswers = 0;
    bool m_isBraked = false;
    std::array<std::set<std::size_t>, sides> m_greys;
    Progress m_progress;
    Progress m_before;
    Evidence m_known;
    std::size_t m_avoided = serverGroupCount;
    std::vector<std::string> m_names;
    std::vector<std::size_t> m_usable;
    std::vector<std::size_t> m_last;
    std::vector<Instance> m_instances;
    std::array<std::vector<Server>, sides> m_servers;
    std::priority_queue<Ending> m_endings;
    std::deque<std::pair<double, Evidence>> m_sums;
    Result m_result;
};

} // namespace

Result playHistory(const Load &load, std::uint64_t seed)
{
    return History(load, seed).play();
}

} // namespace kumquathaven::release
