// State that all requests of one gateway share: the event loop, the plan, the known servers,
// budgets, counters and gauges.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_GATEWAY_H
#define KUMQUATHAVEN_LIB_GATEWAY_GATEWAY_H

#include "endedservers.h"
#include "kumquathaven/budget/peerbudget.h"
#include "kumquathaven/deployment/cachescopes.h"
#include "kumquathaven/deployment/dialect.h"
#include "kumquathaven/deployment/plan.h"
#include "kumquathaven/quarantine/quarantine.h"
#include "kumquathaven/runtime/stoprequest.h"
#include "kumquathaven/settings/settings.h"
#include "kumquathaven/telemetry/metrics.h"
#include "leaving.h"
#include "overload.h"
#include "retrybudget.h"
#include "servers.h"
#include "tokenlimits.h"
#include "upstreampool.h"

#include <boost/asio/io_context.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace kumquathaven::gateway {

class Exchange;

/// The plan in force with its lookup indexes.
struct PlanInForce
{
    explicit PlanInForce(deployment::Plan p)
        : plan(std::move(p))
        , index(plan)
        , cacheScopes(plan)
    { }

    const deployment::Plan plan;
    const deployment::PlanIndex index;
    const deployment::CacheScopes cacheScopes;
};

/// Histograms of the times that callers observe, for one kind of request.
struct KindTimes
{
    telemetry::Histogram &firstByte;
    telemetry::Histogram &pause;
    telemetry::Histogram &completeAnswer;
};

/// Counters of the outcomes of requests.
struct RequestCounters
{
    explicit RequestCounters(telemetry::Metrics &metrics);

    telemetry::Counter &accepted;
    telemetry::Counter &answered;
    telemetry::Counter &callersDisconnected;
    telemetry::Counter &resumed;
    telemetry::Counter &retried;
    telemetry::Counter &cut;
    telemetry::Counter &malformed;
    telemetry::Counter &malformedFrames;
    /// By kind of request.
    std::array<KindTimes, deployment::requestKindNames.size()> times;

    const KindTimes &timesOf(deployment::RequestKind kind) const
    {
        return times[static_cast<std::size_t>(kind)];
    }
};

/// Gauges of the state that this instance knows, and of its age.
struct StateGauges
{
    explicit StateGauges(telemetry::Metrics &metrics);

    telemetry::Gauge &configuration;
    telemetry::Gauge &controlAge;
    telemetry::Gauge &listAge;
    telemetry::Gauge &serversKnown;
    telemetry::Gauge &serversEjected;
    telemetry::Gauge &serversPaced;
    telemetry::Gauge &heldBack;
    telemetry::Gauge &requestsRunning;
    telemetry::Gauge &logLinesDropped;
};

/// Members are used on the event loop's thread only, except for the metrics.
struct Gateway
{
    Gateway(const settings::Settings &settings, const deployment::Dialect &dialect,
            telemetry::Metrics &metrics, TokenLimits &limits);

    const settings::Settings &settings;
    const deployment::Dialect &dialect;
    telemetry::Metrics &metrics;
    TokenLimits &limits;
    /// What is held for callers, and for peers of the other servers of the process.
    const std::shared_ptr<budget::PeerBudget> budget;
    boost::asio::io_context loop;
    /// Null until control has sent a declaration.
    std::shared_ptr<const PlanInForce> plan;
    Servers servers;
    UpstreamPool pool;
    quarantine::Quarantine quarantine;
    EndedServers endedServers;
    /// Requests that were sent and whose answer has not begun, by their subjects.
    std::map<std::string, std::set<Exchange *>> waitingBySubject;
    /// Retry budgets by service.
    std::map<std::string, RetryBudget> retryBudgets;
    RetryRules retryRules;
    /// Recent shares of refused requests by service.
    std::map<std::string, RefusalRate> refusalRates;
    /// Null if the process cannot be told to stop.
    const runtime::StopRequest *stopRequest = nullptr;
    /// Set while the entry leaves: answers ask callers to close their connections, and requests
    /// that are not accepted any more are refused at once, so that their callers turn to other
    /// entries.
    std::optional<Leaving> leaving;
    RequestCounters counters;
    StateGauges gauges;
    /// Number of requests that are not answered yet.
    std::uint32_t running = 0;
};

/// Begins to leave if the process was told to stop. The times count from then, however late that is
/// noticed.
void noticeStop(Gateway &gateway);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_GATEWAY_H
