// The operators' interface of a control member: HTTP with JSON.

#ifndef KUMQUATHAVEN_CONTROL_OPERATORS_H
#define KUMQUATHAVEN_CONTROL_OPERATORS_H

#include "cataloguemachine.h"
#include "feedduty.h"
#include "logduty.h"
#include "orderduty.h"

#include "kumquathaven/runtime/httpserver.h"
#include "kumquathaven/settings/settings.h"
#include "kumquathaven/telemetry/metrics.h"
#include "kumquathaven/wire/hub.h"

#include <vector>

namespace kumquathaven::control {

/// The objects that the handlers read or call. All of them must outlive the context.
struct OperatorsContext
{
    const settings::Settings &settings;
    const CatalogueMachine &machine;
    /// The duties of the log groups, indexed by group number; the catalogue's group is the first.
    std::vector<LogDuty *> logs;
    const FeedDuty &feed;
    const OrderDuty &orders;
    const wire::Hub &hub;
    telemetry::Metrics &metrics;
};

/// Handles one request of an operator, a health probe or a metrics collector.
void handleOperator(const OperatorsContext &context, runtime::HttpExchange &exchange);

} // namespace kumquathaven::control

#endif // KUMQUATHAVEN_CONTROL_OPERATORS_H
