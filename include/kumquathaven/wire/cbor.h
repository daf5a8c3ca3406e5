// Conversion between CBOR and JSON values, with a bound on the nesting depth.

#ifndef KUMQUATHAVEN_WIRE_CBOR_H
#define KUMQUATHAVEN_WIRE_CBOR_H

#include "kumquathaven/base/result.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kumquathaven::wire {

/// Returns a JSON value that CBOR encodes as a byte string.
nlohmann::json binary(std::string_view bytes);

/// Returns the value as an integer, or nothing if it is not an integer or does not fit in 64 bits
/// with a sign.
std::optional<std::int64_t> toInteger(const nlohmann::json &value);

/// Encodes a value as CBOR.
std::string toCbor(const nlohmann::json &value);

/// Decodes CBOR that a peer sent. Fails with InvalidRequest if the bytes are not exactly one
/// complete value, or if it nests too deeply. The error names \p step and \p peer.
Result<nlohmann::json> fromCbor(std::string_view bytes, const std::string &step,
                                const std::string &peer);

} // namespace kumquathaven::wire

#endif // KUMQUATHAVEN_WIRE_CBOR_H
