// Conversion of the catalogue, the instances and the changes to and from JSON, with strict checks.

#ifndef KUMQUATHAVEN_CATALOGUE_JSON_H
#define KUMQUATHAVEN_CATALOGUE_JSON_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/catalogue/change.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace kumquathaven::catalogue {

// The functions that read fail with InvalidRequest for an unknown field, a wrong type or a value
// out of range. The message names the entry, the field and the allowed values.

/// Converts between a catalogue and the format of a catalogue file: the lists "customers", "keys",
/// "upstreams" and "routes", and the "revision".
nlohmann::json toJson(const Catalogue &catalogue);
Result<Catalogue> catalogueFromJson(const nlohmann::json &value);

/// Converts single entries and instances to and from JSON.
nlohmann::json toJson(const Customer &customer);
nlohmann::json toJson(const Key &key);
nlohmann::json toJson(const Upstream &upstream);
nlohmann::json toJson(const Route &route);
nlohmann::json toJson(const Instance &instance);
Result<Instance> instanceFromJson(const nlohmann::json &value);

/// Converts the membership of the entry instances, with its epoch and hints, to and from JSON.
nlohmann::json toJson(const Instances &instances);
Result<Instances> instancesFromJson(const nlohmann::json &value);

/// Converts a change, with its id and expected revision, to and from JSON.
nlohmann::json toJson(const Change &change);
Result<Change> changeFromJson(const nlohmann::json &value);

/// Converts the answer to a change to and from the JSON that operators receive.
nlohmann::json toJson(const Answer &answer);
Result<Answer> answerFromJson(const nlohmann::json &value);

/// Converts a change to and from CBOR, its format in the log and on links. Errors name \p peer
/// only if the bytes are not valid CBOR.
std::string encodeChange(const Change &change);
Result<Change> decodeChange(std::string_view bytes, const std::string &peer);

} // namespace kumquathaven::catalogue

#endif // KUMQUATHAVEN_CATALOGUE_JSON_H
