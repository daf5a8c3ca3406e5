// The JSON form in which operators see orders.

#ifndef KUMQUATHAVEN_LIB_CONTROL_ORDERVIEW_H
#define KUMQUATHAVEN_LIB_CONTROL_ORDERVIEW_H

#include "cataloguemachine.h"
#include "orderduty.h"

#include <nlohmann/json_fwd.hpp>

namespace kumquathaven::control {

/// Returns the holder, the load slots and, for each upstream with a desired state or an open order,
/// its desired state, its last observed state and its open order.
nlohmann::json ordersJson(const PublishedState &state, const LocalOrderState &localState,
                          TimePoint now);

} // namespace kumquathaven::control

#endif // KUMQUATHAVEN_LIB_CONTROL_ORDERVIEW_H
