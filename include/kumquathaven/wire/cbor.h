// CBOR bytes to and from JSON values, bounded in depth.

#ifndef KUMQUATHAVEN_WIRE_CBOR_H
#define KUMQUATHAVEN_WIRE_CBOR_H

#include "kumquathaven/base/result.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kumquathaven::wire {

/// Returns bytes as a value that CBOR keeps as a byte string.
nlohmann::json binary(std::string_view bytes);

/// Returns a whole number, or nothing if the value is another or does not fit.
std::optional<std::int64_t> toInteger(const nlohmann::json &value);

/// Returns a value as CBOR.
std::string toCbor(const nlohmann::json &value);

/// Reads CBOR from a peer. Fails with InvalidRequest if the bytes are not one whole value; \p step
/// and \p peer go into the error.
Result<nlohmann::json> fromCbor(std::string_view bytes, const std::string &step,
                                const std::string &peer);

} // namespace kumquathaven::wire

#endif // KUMQUATHAVEN_WIRE_CBOR_H
