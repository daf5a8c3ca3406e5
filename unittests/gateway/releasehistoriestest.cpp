// Histories of many entries that move traffic to another release, with the counts that their tree
// carries and with control that follows the decisions or is lost.

#include "enginefixture.h"
#include "overlay/network.h"

#include "kumquathaven/deployment/releases.h"

#include <doctest/doctest.h>

#include <cmath>

using namespace gatewaytest;
using catalogue::RolloutState;
using std::chrono::seconds;

namespace {

constexpr Duration step = milliseconds(10);
constexpr Duration publishInterval = milliseconds(200);
constexpr Duration controlInterval = milliseconds(250);
constexpr Duration maxFeedDelay = milliseconds(300);
constexpr Duration limit = seconds(12);
constexpr std::int64_t badAnswersToNotice = 50;
const std::string service = "app";

struct Config
{
    std::size_t entries = 10;
    double requestsPerSecond = 500;
    /// Share of the answers of the new release that are failures, and the factor of its delays.
    double failures = 0;
    double slowness = 1;
    /// Whether control is lost after its first step.
    bool losesControl = false;
    /// Whether entries are killed and started again all the time.
    bool killsEntries = false;
    std::uint64_t seed = 1;
};

struct HistoryOutcome
{
    RolloutState state = RolloutState::Running;
    std::int64_t requests = 0;
    std::int64_t exposed = 0;
    /// Sends to the new release later than the policy allows after its 50th bad answer.
    std::int64_t late = 0;
    /// Sends to servers with another release by entries that know that the rollout is complete.
    std::int64_t toOldAfterComplete = 0;
    std::size_t braked = 0;
    std::int64_t badAnswers = 0;
};

class History
{
public:
    explicit History(const Config &config)
        : m_config(config)
        , m_network(config.entries, 3, config.seed)
        , m_random(config.seed * 31 + config.entries)
        , m_entries(config.entries)
    {
        deployment::Route route;
        route.name = "read";
        route.services = {{service, 1}};
        route.objective = milliseconds(300);
        m_plan.version = 1;
        m_plan.routes.push_back(route);
        for (std::size_t n = 0; n < 40; ++n) {
            m_servers.push_back(server("s" + std::to_string(n), service, 0));
            m_servers.back().release = n < 20 ? "v1" : "v2";
        }
        m_network.run(seconds(2));
        m_order.service = service;
        m_order.release = "v2";
        m_order.number = 5;
        m_order.limitMs = static_cast<std::uint64_t>(limit / milliseconds(1));
        m_orderedAt = m_network.now();
        for (Entry &it : m_entries)
            start(it);
    }

    HistoryOutcome run()
    {
        const TimePoint end = m_orderedAt + limit + seconds(2);
        while (m_network.now() < end) {
            m_network.run(step);
            const TimePoint now = m_network.now();
            endSends(now);
            if (now < m_orderedAt + limit)
                sendRequests(now);
            for (std::size_t n = 0; n < m_entries.size(); ++n)
                tick(n, now);
            control(now);
            if (m_config.killsEntries && m_random.uniform() < 0.005)
                restart(now);
        }
        m_outcome.state = m_order.state;
        m_outcome.badAnswers = m_badAnswers;
        for (const Entry &it : m_entries)
            m_outcome.braked += it.releases.rollouts.at(service).fault.empty() ? 0 : 1;
        return m_outcome;
    }

private:
    struct Entry
    {
        Releases releases;
        TimePoint nextPublish{};
        /// When the newest step arrives here.
        TimePoint stepArrivesAt{};
        std::uint64_t life = 0;
    };

    struct Send
    {
        std::size_t entry = 0;
        std::uint64_t life = 0;
        ReleaseSend send;
        ReleaseSendEnd end;
    };

    void applyOrder(Entry &entry, TimePoint now)
    {
        applyRollouts(entry.releases, {{service, m_order}},
                      static_cast<std::uint64_t>((now - m_orderedAt) / milliseconds(1)), now);
        std::vector<const deployment::ListedServer *> list;
        for (const deployment::ListedServer &it : m_servers)
            list.push_back(&it);
        applySupply(entry.releases, list);
    }

    void start(Entry &entry)
    {
        ++entry.life;
        entry.releases = {};
        entry.releases.instances = static_cast<std::uint32_t>(m_entries.size());
        applyOrder(entry, m_network.now());
    }

    void restart(TimePoint now)
    {
        const std::size_t n = m_random.below(m_entries.size());
        m_network.kill(n);
        m_network.restart(n);
        m_network.listAll();
        start(m_entries[n]);
        m_entries[n].nextPublish = now + publishInterval;
    }

    void sendRequests(TimePoint now)
    {
        m_due += m_config.requestsPerSecond * toSeconds(step) * 2 * m_random.uniform();
        for (; m_due >= 1; m_due -= 1) {
            const std::size_t n = m_random.below(m_entries.size());
            send(n, "r" + std::to_string(++m_outcome.requests), now);
        }
    }

    void send(std::size_t n, const std::string &id, TimePoint now)
    {
        Entry &entry = m_entries[n];
        const auto sides = sidesFor(entry.releases, service, {id, false}, now);
        REQUIRE(sides.front());
        std::vector<const deployment::ListedServer *> usable;
        for (const deployment::ListedServer &it : m_servers) {
            if (isOnSide(entry.releases, it, deployment::startIdOf(it), *sides.front()))
                usable.push_back(&it);
        }
        REQUIRE(!usable.empty());
        const deployment::ListedServer &chosen = *usable[m_random.below(usable.size())];
        Send it{n,
                entry.life,
                releaseSendOf(entry.releases, chosen, deployment::startIdOf(chosen), "read"),
                {AttemptEnd::Answered, true}};
        countSend(entry.releases, it.send);
        const bool isNext = chosen.release == "v2";
        const bool isBad = isNext && m_random.uniform() < m_config.failures;
        it.end.end = isBad ? AttemptEnd::ServerError : AttemptEnd::Answered;
        it.end.delay = fromSeconds(0.02 * (1 - std::log(1 - m_random.uniform()))
                                   * (isNext ? m_config.slowness : 1));
        it.end.objective = milliseconds(300);
        m_sends.emplace(now + it.end.delay, it);
        m_outcome.exposed += isNext ? 1 : 0;
        const bool isLate =
            m_noticedAt != TimePoint{} && now > m_noticedAt + release::Policy().rollbackTime;
        m_outcome.late += isNext && isLate ? 1 : 0;
        const bool isComplete =
            entry.releases.rollouts.at(service).order.state == RolloutState::Complete;
        m_outcome.toOldAfterComplete += !isNext && isComplete ? 1 : 0;
    }

    void endSends(TimePoint now)
    {
        while (!m_sends.empty() && m_sends.begin()->first <= now) {
            const Send it = m_sends.begin()->second;
            m_sends.erase(m_sends.begin());
            const bool isBad = it.send.release == "v2"
                && (it.end.end != AttemptEnd::Answered || m_config.slowness > 1);
            if (isBad && ++m_badAnswers == badAnswersToNotice)
                m_noticedAt = now;
            Entry &entry = m_entries[it.entry];
            if (entry.life == it.life)
                countSendEnd(entry.releases, it.send, it.end);
        }
    }

    void tick(std::size_t n, TimePoint now)
    {
        Entry &entry = m_entries[n];
        if (entry.stepArrivesAt != TimePoint{} && entry.stepArrivesAt <= now) {
            entry.stepArrivesAt = {};
            applyOrder(entry, now);
        }
        for (const overlay::Key key : m_network.member(n).takeChangedLevels())
            setCounterOfOthers(entry.releases, key,
                               overlay::levelOfOthers(m_network.member(n).aggregate(), key));
        applyBrakes(entry.releases);
        if (now < entry.nextPublish)
            return;
        entry.nextPublish = now + publishInterval;
        if (updateCounters(entry.releases, m_plan, now)) {
            for (const auto &it : entry.releases.counters)
                setCounterOfOthers(
                    entry.releases, it.first,
                    overlay::levelOfOthers(m_network.member(n).aggregate(), it.first));
        }
        for (const auto &[key, value] : ownCounters(entry.releases))
            m_network.setLevel(n, key, value);
    }

    /// Decides the next step from what the roots know, and hands it out.
    void control(TimePoint now)
    {
        const bool isLost = m_config.losesControl && m_order.step > 0;
        if (isLost || now < m_nextControl || m_order.state != RolloutState::Running)
            return;
        m_nextControl = now + controlInterval;
        for (std::size_t n = 0; n < m_entries.size(); ++n) {
            if (m_network.member(n).isRoot())
                decideAt(n, now);
        }
    }

    void decideAt(std::size_t n, TimePoint now)
    {
        const Releases &releases = m_entries[n].releases;
        release::Evidence evidence = evidenceOf(releases, releases.rollouts.at(service));
        evidence.instances = overlay::connectedInstances(m_network.member(n).aggregate());
        if (m_memory.number != m_order.number || m_memory.step != m_order.step)
            deployment::observe(m_memory, m_order, 0, now);
        deployment::take(m_memory, evidence, now);
        const deployment::RolloutDecision next =
            deployment::nextStep(m_memory, m_order, releases.rollouts.at(service).supply, {}, now);
        const release::Decision &decision = next.decision;
        if (!next.step)
            return;
        ++m_order.step;
        m_order.reason = decision.reason;
        if (decision.action == release::Action::Advance)
            m_order.sharePerMille = decision.sharePerMille;
        else
            m_order.state = decision.action == release::Action::Complete ? RolloutState::Complete
                                                                         : RolloutState::RolledBack;
        for (Entry &it : m_entries)
            it.stepArrivesAt =
                now + Duration(m_random.below(static_cast<std::uint64_t>(maxFeedDelay.count())));
    }

    const Config m_config;
    overlaytest::Network m_network;
    Random m_random;
    std::vector<Entry> m_entries;
    std::vector<deployment::ListedServer> m_servers;
    deployment::Plan m_plan;
    catalogue::ServiceRollout m_order;
    TimePoint m_orderedAt{};
    deployment::RolloutMemory m_memory;
    TimePoint m_nextControl{};
    TimePoint m_noticedAt{};
    std::int64_t m_badAnswers = 0;
    double m_due = 0;
    std::multimap<TimePoint, Send> m_sends;
    HistoryOutcome m_outcome;
};

/// Bad releases: failing always, often, by a few in a hundred, and several times slower.
std::vector<Config> badReleases()
{
    std::vector<Config> configs;
    for (const auto &[failures, slowness] :
         {std::pair(1.0, 1.0), {0.3, 1.0}, {0.05, 1.0}, {0.0, 8.0}}) {
        for (const std::size_t entries : {1, 3, 30, 90}) {
            Config it;
            it.failures = failures;
            it.slowness = slowness;
            it.entries = entries;
            it.seed = entries + configs.size();
            configs.push_back(it);
        }
    }
    return configs;
}

double boundOf(const HistoryOutcome &outcome)
{
    const release::Policy policy;
    return policy.exposureShare * static_cast<double>(outcome.requests) + policy.exposureSlack;
}

} // namespace

TEST_CASE("a bad release is exposed within its bound and rolled back, with any number of entries")
{
    for (Config config : badReleases()) {
        for (const bool killsEntries : {false, true}) {
            config.killsEntries = killsEntries;
            CAPTURE(config.entries);
            CAPTURE(config.failures);
            CAPTURE(config.slowness);
            CAPTURE(killsEntries);
            const HistoryOutcome outcome = History(config).run();
            MESSAGE(config.entries, " entries, failures ", config.failures, ", slowness ",
                    config.slowness, ": ", outcome.exposed, " of ", outcome.requests);
            CHECK(static_cast<double>(outcome.exposed) <= boundOf(outcome));
            CHECK(outcome.late == 0);
            CHECK(outcome.state == RolloutState::RolledBack);
        }
    }
}

TEST_CASE("entries stop a bad release without control")
{
    std::size_t noticed = 0;
    for (Config config : badReleases()) {
        config.losesControl = true;
        CAPTURE(config.entries);
        CAPTURE(config.failures);
        CAPTURE(config.slowness);
        const HistoryOutcome outcome = History(config).run();
        CHECK(outcome.state == RolloutState::Running);
        // A release may go on that gave fewer bad answers than it takes to notice them.
        CHECK((outcome.braked == config.entries || outcome.badAnswers < badAnswersToNotice));
        CHECK(outcome.late == 0);
        CHECK(static_cast<double>(outcome.exposed) <= boundOf(outcome));
        noticed += outcome.braked == config.entries ? 1 : 0;
    }
    // Those that fail often or are slow.
    CHECK(noticed >= 12);
}

TEST_CASE("a good release completes, and then old servers get nothing")
{
    for (const std::size_t entries : {1, 3, 30, 90}) {
        CAPTURE(entries);
        Config config;
        config.entries = entries;
        const HistoryOutcome outcome = History(config).run();
        CHECK(outcome.state == RolloutState::Complete);
        CHECK(outcome.toOldAfterComplete == 0);
        CHECK(outcome.braked == 0);
    }
}
