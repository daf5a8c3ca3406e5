// The duty that moves rollouts of releases on while this member leads the log group.

#ifndef KUMQUATHAVEN_LIB_CONTROL_ROLLOUTDUTY_H
#define KUMQUATHAVEN_LIB_CONTROL_ROLLOUTDUTY_H

#include "cataloguemachine.h"
#include "logduty.h"
#include "serverlist.h"

#include "kumquathaven/deployment/releases.h"
#include "kumquathaven/feed/messages.h"
#include "kumquathaven/runtime/stopsignal.h"
#include "kumquathaven/telemetry/metrics.h"

#include <map>
#include <mutex>
#include <string>

namespace kumquathaven::control {

/// Decides the steps of running rollouts from reports and listed servers, and proposes them. The
/// state is in the catalogue, and a step is refused unless it was decided on the present one, so
/// that a former leader changes nothing.
class RolloutDuty
{
public:
    /// \p list is null if the process runs on no platform.
    RolloutDuty(const release::Policy &policy, LogDuty &log, const CatalogueMachine &machine,
                telemetry::Metrics &metrics, ServerList *list);
    RolloutDuty(const RolloutDuty &) = delete;
    RolloutDuty &operator=(const RolloutDuty &) = delete;

    /// Decides and proposes until the signal is set.
    void run(const runtime::StopSignal &stop);

    /// Keeps the list of servers fresh while a rollout runs, until the signal is set. A thread of
    /// its own, so that a slow list delays no roll-back.
    void readList(const runtime::StopSignal &stop);

    /// Takes a report of the instances. Any thread may call it.
    void receive(const feed::RolloutReport &report);

private:
    bool mayDecide(TimePoint now) const;
    bool observeAll(const catalogue::Catalogue &catalogue, TimePoint now);
    void decideOn(const catalogue::ServiceRollout &rollout, const catalogue::Catalogue &catalogue,
                  TimePoint now);
    release::Supply supplyFor(const catalogue::ServiceRollout &rollout,
                              const catalogue::Catalogue &catalogue) const;
    void propose(const deployment::RolloutDecision &decided,
                 const catalogue::ServiceRollout &rollout, const deployment::RolloutMemory &memory,
                 TimePoint now);
    void publish(const catalogue::ServiceRollout &rollout);

    const release::Policy m_policy;
    LogDuty &m_log;
    const CatalogueMachine &m_machine;
    telemetry::Metrics &m_metrics;
    ServerList *const m_list;
    std::mutex m_mutex;
    /// Keyed by service, for the rollouts that are running.
    std::map<std::string, deployment::RolloutMemory> m_memories;
};

} // namespace kumquathaven::control

#endif // KUMQUATHAVEN_LIB_CONTROL_ROLLOUTDUTY_H
