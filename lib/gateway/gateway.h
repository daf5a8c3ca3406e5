// What the requests of one gateway share: the event loop and everything that they decide by.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_GATEWAY_H
#define KUMQUATHAVEN_LIB_GATEWAY_GATEWAY_H

#include "kumquathaven/deployment/dialect.h"
#include "kumquathaven/deployment/plan.h"
#include "kumquathaven/settings/settings.h"
#include "kumquathaven/telemetry/metrics.h"
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
#include <string>

namespace kumquathaven::gateway {

/// A plan that is in force, with its indexes.
struct PlanInForce
{
    explicit PlanInForce(deployment::Plan p)
        : plan(std::move(p))
        , index(plan)
    { }

    const deployment::Plan plan;
    const deployment::PlanIndex index;
};

/// Times that callers see, of one kind of request.
struct KindTimes
{
    telemetry::Histogram &firstByte;
    telemetry::Histogram &pause;
    telemetry::Histogram &completeAnswer;
};

/// Counts of what became of requests.
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
    /// By kind of request.
    std::array<KindTimes, deployment::requestKindNames.size()> times;

    const KindTimes &timesOf(deployment::RequestKind kind) const
    {
        return times[static_cast<std::size_t>(kind)];
    }
};

/// What this instance believes and how old that is.
struct StateGauges
{
    explicit StateGauges(telemetry::Metrics &metrics);

    telemetry::Gauge &configuration;
    telemetry::Gauge &controlAge;
    telemetry::Gauge &listAge;
    telemetry::Gauge &serversKnown;
    telemetry::Gauge &serversEjected;
    telemetry::Gauge &requestsRunning;
    telemetry::Gauge &logLinesDropped;
};

/// Everything is used on the loop's thread only, but for the metrics.
struct Gateway
{
    Gateway(const settings::Settings &settings, const deployment::Dialect &dialect,
            telemetry::Metrics &metrics, TokenLimits &limits);

    const settings::Settings &settings;
    const deployment::Dialect &dialect;
    telemetry::Metrics &metrics;
    TokenLimits &limits;
    boost::asio::io_context loop;
    /// Null until control has told one.
    std::shared_ptr<const PlanInForce> plan;
    Servers servers;
    UpstreamPool pool;
    /// By service.
    std::map<std::string, RetryBudget> retryBudgets;
    RetryRules retryRules;
    /// By service.
    std::map<std::string, RefusalRate> refusalRates;
    /// The process ends soon: answers tell callers to close their connections.
    bool isLeaving = false;
    /// Requests that still come are refused at once, so that their callers go elsewhere.
    bool acceptsRequests = true;
    RequestCounters counters;
    StateGauges gauges;
    std::uint32_t running = 0;
};

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_GATEWAY_H
