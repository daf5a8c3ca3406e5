// What the process itself takes, as metric families.

#ifndef KUMQUATHAVEN_LIB_TELEMETRY_PROCESSMETRICS_H
#define KUMQUATHAVEN_LIB_TELEMETRY_PROCESSMETRICS_H

#include <prometheus/metric_family.h>

#include <vector>

namespace kumquathaven::telemetry {

/// Returns the resident memory in bytes and the processor time in seconds. What the system does not
/// tell is left out.
std::vector<prometheus::MetricFamily> processFamilies();

} // namespace kumquathaven::telemetry

#endif // KUMQUATHAVEN_LIB_TELEMETRY_PROCESSMETRICS_H
