// Detects runners of keyed requests that have departed permanently.

#ifndef KUMQUATHAVEN_CONTROL_RUNNERWATCH_H
#define KUMQUATHAVEN_CONTROL_RUNNERWATCH_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/catalogue/instances.h"
#include "kumquathaven/ledger/ledger.h"

#include <map>
#include <set>
#include <vector>

namespace kumquathaven::control {

/// Records since when each runner with requests in progress has been missing from the instance
/// list.
class RunnerWatch
{
public:
    /// Returns the runners in \p busy that have been missing from \p instances for longer than
    /// \p lease. A runner that has just started may not be listed yet, so being missing once is not
    /// enough.
    std::vector<ledger::Runner> departed(const std::set<ledger::Runner> &busy,
                                         const catalogue::Instances &instances, Duration lease,
                                         TimePoint now);

    /// Discards all records, for example when this member stops leading.
    void clear() { m_missingSince.clear(); }

private:
    std::map<ledger::Runner, TimePoint> m_missingSince;
};

} // namespace kumquathaven::control

#endif // KUMQUATHAVEN_CONTROL_RUNNERWATCH_H
