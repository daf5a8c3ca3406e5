// JSON conversion of the single entries of a catalogue, the declaration and the servers' weights.

#ifndef KUMQUATHAVEN_CATALOGUE_ENTRIES_H
#define KUMQUATHAVEN_CATALOGUE_ENTRIES_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/catalogue/catalogue.h"

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace kumquathaven::catalogue {

Result<Customer> customerFromJson(const nlohmann::json &value);
Result<Key> keyFromJson(const nlohmann::json &value);
Result<Upstream> upstreamFromJson(const nlohmann::json &value);
Result<Route> routeFromJson(const nlohmann::json &value);

nlohmann::json toJson(const Declaration &declaration);
Result<Declaration> declarationFromJson(const nlohmann::json &value);
nlohmann::json toJson(const std::vector<ServerWeights> &servers);
Result<std::vector<ServerWeights>> serverWeightsFromJson(const nlohmann::json &value);

} // namespace kumquathaven::catalogue

#endif // KUMQUATHAVEN_CATALOGUE_ENTRIES_H
