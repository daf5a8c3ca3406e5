// Rollouts of releases in the catalogue: how orders and steps change them, and their JSON.

#ifndef KUMQUATHAVEN_LIB_CATALOGUE_ROLLOUTS_H
#define KUMQUATHAVEN_LIB_CATALOGUE_ROLLOUTS_H

#include "fields.h"

#include "kumquathaven/catalogue/change.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace kumquathaven::catalogue {

/// Applies an order to the catalogue. Fails with Conflict while another rollout of the service is
/// running, or if the release runs already, and with NotFound if a catalogue without a declaration
/// has no such route. The catalogue is unchanged after a failure.
Result<void> startRollout(Catalogue &catalogue, const StartRollout &order);

/// Applies a step. Fails with NotFound if the service has no rollout, and with Conflict if the
/// rollout has ended or is another one or at another step.
Result<void> recordRolloutStep(Catalogue &catalogue, const RecordRolloutStep &step);

nlohmann::json toJson(const std::map<std::string, ServiceRollout> &rollouts);
/// Reads a list of rollouts. Unknown fields of a rollout are skipped, since later versions may add
/// some.
Result<std::map<std::string, ServiceRollout>> rolloutsFromJson(const nlohmann::json &value);

void writeOrder(const StartRollout &order, nlohmann::json &value);
void writeStep(const RecordRolloutStep &step, nlohmann::json &value);
StartRollout readOrder(Fields &fields);
RecordRolloutStep readStep(Fields &fields);

} // namespace kumquathaven::catalogue

#endif // KUMQUATHAVEN_LIB_CATALOGUE_ROLLOUTS_H
