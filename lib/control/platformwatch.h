// The duty that periodically reads the platform's list of instances from a file.

#ifndef KUMQUATHAVEN_LIB_CONTROL_PLATFORMWATCH_H
#define KUMQUATHAVEN_LIB_CONTROL_PLATFORMWATCH_H

#include "platformlist.h"

#include "kumquathaven/runtime/stopsignal.h"
#include "kumquathaven/settings/settings.h"
#include "kumquathaven/telemetry/metrics.h"

#include <functional>

namespace kumquathaven::control {

/// Reads the file at the interval in the settings until the signal is set, and calls \p take with
/// each valid list. Each failed reading is counted in a metric; a log line is written only when
/// readings start to fail and when they succeed again.
void watchPlatformList(const settings::PlatformList &settings, const runtime::StopSignal &stop,
                       telemetry::Metrics &metrics,
                       const std::function<void(const PlatformList &)> &take);

} // namespace kumquathaven::control

#endif // KUMQUATHAVEN_LIB_CONTROL_PLATFORMWATCH_H
