// The duty that orders servers to load the newest weights while this member leads the log group.

#ifndef KUMQUATHAVEN_LIB_CONTROL_WEIGHTSDUTY_H
#define KUMQUATHAVEN_LIB_CONTROL_WEIGHTSDUTY_H

#include "cataloguemachine.h"
#include "logduty.h"
#include "serverlist.h"

#include "kumquathaven/base/ring.h"
#include "kumquathaven/deployment/dialect.h"
#include "kumquathaven/deployment/rollout.h"
#include "kumquathaven/runtime/stopsignal.h"
#include "kumquathaven/settings/settings.h"

#include <cstdint>
#include <vector>

namespace kumquathaven::control {

/// Number of threads that call servers; several, so that an unresponsive server does not delay
/// calls to the others.
constexpr std::size_t weightsCallers = 6;

/// Rolls out weights versions to the servers of a platform. The term of the log is the fencing
/// token of the orders: it grows with each leader, and only one member leads in a term.
class WeightsDuty
{
public:
    WeightsDuty(const settings::Settings &settings, const deployment::Dialect &dialect,
                LogDuty &log, const CatalogueMachine &machine, ServerList &list);
    WeightsDuty(const WeightsDuty &) = delete;
    WeightsDuty &operator=(const WeightsDuty &) = delete;

    /// Decides which calls to make and queues them, until the signal is set.
    void run(const runtime::StopSignal &stop);

    /// Makes the queued calls until the signal is set. Run by several threads.
    void call(const runtime::StopSignal &stop);

private:
    struct Call
    {
        deployment::RolloutCall call;
        std::uint64_t term = 0;
    };

    bool mayOrder(TimePoint now) const;
    void readList();
    void record(const deployment::RolloutStep &step);
    deployment::RolloutAnswer sendCall(const Call &call) const;

    const settings::Settings &m_settings;
    const deployment::Dialect &m_dialect;
    LogDuty &m_log;
    const CatalogueMachine &m_machine;
    BoundedRing<Call> m_calls;
    BoundedRing<deployment::RolloutAnswer> m_answers;
    deployment::Rollout m_rollout;
    std::vector<deployment::ListedServer> m_servers;
    ServerList &m_list;
    /// When this member last could send no orders. An older reading of the list is not used.
    TimePoint m_idleAt;
    std::uint64_t m_term = 0;
};

} // namespace kumquathaven::control

#endif // KUMQUATHAVEN_LIB_CONTROL_WEIGHTSDUTY_H
