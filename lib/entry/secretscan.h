// Makes sure that a caller's key is in nothing that goes to an upstream.

#ifndef KUMQUATHAVEN_LIB_ENTRY_SECRETSCAN_H
#define KUMQUATHAVEN_LIB_ENTRY_SECRETSCAN_H

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace kumquathaven::entry {

/// Returns whether any string or field name inside a JSON value contains the secret.
bool jsonContains(const nlohmann::json &value, const std::string &secret);

/// Returns whether a text contains the secret as it stands, percent-encoded, or, if the text is
/// JSON, inside a string with escapes.
bool textContains(const std::string &text, const std::string &secret);

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_SECRETSCAN_H
