// The duty that advances the ledger's clock and reports departed runners to the ledger.

#ifndef KUMQUATHAVEN_CONTROL_LEDGERDUTY_H
#define KUMQUATHAVEN_CONTROL_LEDGERDUTY_H

#include "cataloguemachine.h"
#include "feedduty.h"
#include "logduty.h"
#include "runnerwatch.h"

#include "kumquathaven/runtime/stopsignal.h"

namespace kumquathaven::control {

/// Acts only on the member that leads the ledger's log group.
class LedgerDuty
{
public:
    /// \p source is a random number drawn at each start of the process. With a sequence number it
    /// identifies a time step, so that a repeated command takes effect once.
    LedgerDuty(LogDuty &log, const CatalogueMachine &machine, const FeedDuty &feed,
               std::uint64_t source);
    LedgerDuty(const LedgerDuty &) = delete;
    LedgerDuty &operator=(const LedgerDuty &) = delete;

    /// Runs until the signal is set.
    void run(const runtime::StopSignal &stop);

private:
    void pass(TimePoint now);
    void advanceTime(TimePoint now);
    void reportDeparted(TimePoint now);

    LogDuty &m_log;
    const CatalogueMachine &m_machine;
    const FeedDuty &m_feed;
    std::uint64_t m_source;
    std::uint64_t m_number = 0;
    TimePoint m_advancedAt;
    RunnerWatch m_watch;
};

} // namespace kumquathaven::control

#endif // KUMQUATHAVEN_CONTROL_LEDGERDUTY_H
