#include "rolloutduty.h"

#include "kumquathaven/base/walltime.h"
#include "kumquathaven/catalogue/json.h"
#include "kumquathaven/catalogue/names.h"
#include "kumquathaven/telemetry/log.h"

#include <algorithm>

namespace kumquathaven::control {

namespace {

constexpr Duration stepInterval = std::chrono::milliseconds(50);
constexpr Duration idleInterval = std::chrono::milliseconds(250);
constexpr Duration listInterval = std::chrono::seconds(1);
/// Maximum age of the proof of leadership with which steps are proposed.
constexpr Duration maxProofAge = std::chrono::milliseconds(500);

/// The sums over all routes of one side of a rollout.
struct Totals
{
    std::int64_t sent = 0;
    std::int64_t failed = 0;
};

Totals totalsOf(const release::Evidence &evidence, release::Counts release::RouteCounts::*side)
{
    Totals totals;
    for (const auto &it : evidence.routes) {
        totals.sent += (it.second.*side).sent;
        totals.failed += (it.second.*side).failed;
    }
    return totals;
}

std::string secondsText(Duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count())
        + " ms";
}

} // namespace

RolloutDuty::RolloutDuty(const release::Policy &policy, LogDuty &log,
                         const CatalogueMachine &machine, telemetry::Metrics &metrics,
                         ServerList *list)
    : m_policy(policy)
    , m_log(log)
    , m_machine(machine)
    , m_metrics(metrics)
    , m_list(list)
{ }

bool RolloutDuty::mayDecide(TimePoint now) const
{
    const LogStatus status = m_log.status();
    return status.raftState.role == consensus::Role::Leader
        && now - status.proof.provenAt <= maxProofAge;
}

void RolloutDuty::run(const runtime::StopSignal &stop)
{
    bool isRunning = false;
    while (!stop.waitFor(isRunning ? stepInterval : idleInterval)) {
        const TimePoint now = monotonicNow();
        const auto catalogue = m_machine.published().catalogue;
        // Followers observe as well, so that each knows the time since the order without its wall
        // clock when it becomes the leader.
        isRunning = observeAll(*catalogue, now);
        const bool mayDecideNow = isRunning && mayDecide(now);
        for (const auto &it : catalogue->rollouts) {
            publish(it.second);
            if (mayDecideNow && it.second.state == catalogue::RolloutState::Running)
                decideOn(it.second, *catalogue, now);
        }
    }
}

void RolloutDuty::readList(const runtime::StopSignal &stop)
{
    while (!stop.waitFor(idleInterval)) {
        const auto catalogue = m_machine.published().catalogue;
        const bool isRunning =
            std::any_of(catalogue->rollouts.begin(), catalogue->rollouts.end(), [](const auto &it) {
                return it.second.state == catalogue::RolloutState::Running;
            });
        if (isRunning && m_list && mayDecide(monotonicNow()))
            m_list->refresh(listInterval);
    }
}

void RolloutDuty::receive(const feed::RolloutReport &report)
{
    const TimePoint now = monotonicNow();
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_memories.find(report.service);
    if (it != m_memories.end() && it->second.number == report.number)
        take(it->second, report.evidence, now);
}

/// Updates what is known of the running rollouts. Returns whether there is one.
bool RolloutDuty::observeAll(const catalogue::Catalogue &catalogue, TimePoint now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (auto it = m_memories.begin(); it != m_memories.end();) {
        const auto rollout = catalogue.rollouts.find(it->first);
        const bool isRunning = rollout != catalogue.rollouts.end()
            && rollout->second.state == catalogue::RolloutState::Running;
        it = isRunning ? std::next(it) : m_memories.erase(it);
    }
    for (const auto &[service, rollout] : catalogue.rollouts) {
        if (rollout.state == catalogue::RolloutState::Running)
            observe(m_memories[service], rollout, wallMilliseconds(), now);
    }
    return !m_memories.empty();
}

release::Supply RolloutDuty::supplyFor(const catalogue::ServiceRollout &rollout,
                                       const catalogue::Catalogue &catalogue) const
{
    if (!m_list)
        return deployment::supplyOf(catalogue, rollout.service, rollout.release);
    const auto reading = m_list->newest();
    return reading ? deployment::supplyOf(reading->servers, rollout.service, rollout.release)
                   : release::Supply();
}

void RolloutDuty::decideOn(const catalogue::ServiceRollout &rollout,
                           const catalogue::Catalogue &catalogue, TimePoint now)
{
    const release::Supply supply = supplyFor(rollout, catalogue);
    const std::lock_guard<std::mutex> lock(m_mutex);
    deployment::RolloutMemory &memory = m_memories[rollout.service];
    const deployment::RolloutDecision decided = nextStep(memory, rollout, supply, m_policy, now);
    for (const bool isNext : {false, true}) {
        const Totals totals = totalsOf(
            memory.evidence, isNext ? &release::RouteCounts::next : &release::RouteCounts::present);
        const telemetry::Labels labels{{"service", rollout.service},
                                       {"side", isNext ? "next" : "present"}};
        m_metrics.gauge("kumquathaven_rollout_sends", "requests sent since the order", labels)
            .set(static_cast<double>(totals.sent));
        m_metrics.gauge("kumquathaven_rollout_failed", "of them, failures of servers", labels)
            .set(static_cast<double>(totals.failed));
    }
    m_metrics
        .gauge("kumquathaven_rollout_report_age_seconds",
               "on the leader: age of the newest report about a running rollout, -1 without one",
               {{"service", rollout.service}})
        .set(memory.reportedAt ? toSeconds(now - *memory.reportedAt) : -1.0);
    if (decided.step)
        propose(decided, rollout, memory, now);
}

void RolloutDuty::propose(const deployment::RolloutDecision &decided,
                          const catalogue::ServiceRollout &rollout,
                          const deployment::RolloutMemory &memory, TimePoint now)
{
    const Totals present = totalsOf(memory.evidence, &release::RouteCounts::present);
    const Totals next = totalsOf(memory.evidence, &release::RouteCounts::next);
    const bool isBad = decided.decision.action == release::Action::RollBack;
    telemetry::logLine(
        isBad ? telemetry::LogLevel::Warn : telemetry::LogLevel::Info, "rollouts", "step decided",
        {{"service", rollout.service},
         {"release", rollout.release},
         {"number", std::to_string(rollout.number)},
         {"action", std::string(nameOf(release::actionNames, decided.decision.action))},
         {"reason", decided.step->reason},
         {"step", std::to_string(rollout.step)},
         {"sharePerMille", std::to_string(rollout.sharePerMille)},
         {"nextSharePerMille", std::to_string(decided.step->sharePerMille)},
         {"elapsed", secondsText(decided.progress.elapsed)},
         {"limit", secondsText(decided.progress.limit)},
         {"reportAge", memory.reportedAt ? secondsText(now - *memory.reportedAt) : "no report"},
         {"instances",
          std::to_string(memory.evidence.instances) + " of "
              + std::to_string(memory.evidence.instancesServing)},
         {"presentSent", std::to_string(present.sent)},
         {"presentFailed", std::to_string(present.failed)},
         {"nextSent", std::to_string(next.sent)},
         {"nextFailed", std::to_string(next.failed)}});
    // A proposal that is lost is decided on again.
    m_log.command(catalogue::encodeChange({{}, {}, *decided.step}), [](const CommandResult &) {});
}

void RolloutDuty::publish(const catalogue::ServiceRollout &rollout)
{
    const telemetry::Labels labels{{"service", rollout.service}};
    m_metrics
        .gauge("kumquathaven_rollout_share", "share that the newest release may get, from 0 to 1",
               labels)
        .set(rollout.sharePerMille / 1000.0);
    m_metrics.gauge("kumquathaven_rollout_state", "0: running, 1: complete, 2: rolled back", labels)
        .set(static_cast<double>(rollout.state));
}

} // namespace kumquathaven::control
