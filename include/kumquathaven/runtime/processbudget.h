// The bounds of a process that follow from its machine: memory and descriptors.

#ifndef KUMQUATHAVEN_RUNTIME_PROCESSBUDGET_H
#define KUMQUATHAVEN_RUNTIME_PROCESSBUDGET_H

#include "kumquathaven/budget/peerbudget.h"
#include "kumquathaven/settings/settings.h"
#include "kumquathaven/telemetry/metrics.h"

#include <cstdint>
#include <memory>

namespace kumquathaven::runtime {

/// Returns the budget of all peers of a process with these settings.
std::shared_ptr<budget::PeerBudget> processBudget(const settings::Settings &settings);

/// Returns the bytes that a process with these settings may queue on all links that other instances
/// opened to it.
std::size_t acceptedLinkBytes(const settings::Settings &settings);

/// Returns the number of accepted links that may be in their handshake at a time.
std::size_t linkHandshakes(const settings::Settings &settings);

/// Returns the connections that one server beside the callers' one may have open.
std::uint32_t operatorConnections(const settings::Settings &settings);

/// Returns \p wanted connections, or fewer if the descriptors of the process do not suffice.
std::uint32_t connectionsWithin(const settings::Settings &settings, std::uint32_t wanted);

/// Sets the metrics of a budget.
void reportBudget(const budget::PeerBudget &budget, telemetry::Metrics &metrics);

} // namespace kumquathaven::runtime

#endif // KUMQUATHAVEN_RUNTIME_PROCESSBUDGET_H
