// Log lines about the times at which weights versions were set.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_WEIGHTSLOG_H
#define KUMQUATHAVEN_LIB_GATEWAY_WEIGHTSLOG_H

#include "kumquathaven/catalogue/weightstimes.h"

namespace kumquathaven::gateway {

/// Logs the newest version of each model if it is new, or if its time has become known or is
/// earlier by more than an age varies with the way of its message.
void logWeights(const catalogue::WeightsTimes &former, const catalogue::WeightsTimes &present,
                TimePoint now);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_WEIGHTSLOG_H
