// The duty that issues orders to engines while this member leads.

#ifndef KUMQUATHAVEN_LIB_CONTROL_ORDERDUTY_H
#define KUMQUATHAVEN_LIB_CONTROL_ORDERDUTY_H

#include "cataloguemachine.h"
#include "logduty.h"
#include "upstreamobserver.h"

#include "kumquathaven/routing/orders.h"
#include "kumquathaven/runtime/stopsignal.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace kumquathaven::control {

/// Counters since the start of the process.
struct OrderCounts
{
    std::uint64_t takeOvers = 0;
    std::uint64_t sent = 0;
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t notSent = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t done = 0;
    std::uint64_t failed = 0;
    std::uint64_t obsolete = 0;
};

/// The unreplicated state of orders on this member, for operators.
struct LocalOrderState
{
    OrderCounts counts;
    std::map<std::string, UpstreamObservation> observations;
    /// Why the last order was not accepted or did not succeed, by upstream.
    std::map<std::string, std::string> problems;
    /// Time until orders are sent to upstreams that do not check fencing numbers; by then the
    /// orders of earlier holders can no longer arrive.
    Duration earlierOrdersExpireIn{};
};

/// Issues orders while this member leads. Every order is replicated through the log before it is
/// sent, so that the next holder knows of it.
class OrderDuty
{
public:
    /// \p source is a random number drawn at each start of the process.
    OrderDuty(LogDuty &log, const CatalogueMachine &machine, std::string instance,
              std::uint64_t source);
    OrderDuty(const OrderDuty &) = delete;
    OrderDuty &operator=(const OrderDuty &) = delete;

    /// Runs until the signal is set.
    void run(const runtime::StopSignal &stop);

    /// Polls one share of the engines until the signal is set. Called by one thread for each share.
    void observe(std::size_t share, const runtime::StopSignal &stop);

    LocalOrderState localState() const;

private:
    void pass(const runtime::StopSignal &stop);
    void stopIssuing();
    void takeOver();
    void startIssuing(const routing::OrderState &orders);
    std::map<std::string, routing::Observed> freshObservations() const;
    std::optional<routing::OrderRefusal> propose(const routing::OrderCommand &command);
    bool perform(const routing::OrderCommand &command, const catalogue::Catalogue &catalogue);
    void send(const routing::Order &order, const catalogue::Catalogue &catalogue,
              TimePoint askedAt);
    void recordEnd(const routing::CloseOrder &command);

    LogDuty &m_log;
    const CatalogueMachine &m_machine;
    std::string m_instance;
    std::uint64_t m_source;
    routing::OrderPolicy m_policy;
    UpstreamObserver m_observer;
    routing::HolderMemory m_memory;

    mutable std::mutex m_mutex;
    OrderCounts m_counts;
    std::map<std::string, std::string> m_problems;
    TimePoint m_earlierOrdersExpireAt{};
};

} // namespace kumquathaven::control

#endif // KUMQUATHAVEN_LIB_CONTROL_ORDERDUTY_H
