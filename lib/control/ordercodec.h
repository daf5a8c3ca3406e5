// Encodes and decodes order commands and the order state as JSON values, which are stored as CBOR
// in the log and in snapshots.

#ifndef KUMQUATHAVEN_LIB_CONTROL_ORDERCODEC_H
#define KUMQUATHAVEN_LIB_CONTROL_ORDERCODEC_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/routing/orders.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace kumquathaven::control {

/// Encodes a command as a CBOR array; a catalogue change in the same log is a CBOR map.
std::string encodeOrderCommand(const routing::OrderCommand &command);

/// Parses a command from the decoded array. The error is InvalidRequest.
Result<routing::OrderCommand> orderCommandFromJson(const nlohmann::json &value);

nlohmann::json toJson(const routing::OpenOrder &open);

nlohmann::json toJson(const routing::OrderState &state);

/// Parses the order state of a snapshot. The error is Corrupt.
Result<routing::OrderState> orderStateFromJson(const nlohmann::json &value);

} // namespace kumquathaven::control

#endif // KUMQUATHAVEN_LIB_CONTROL_ORDERCODEC_H
