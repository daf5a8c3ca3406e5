// Sends one order to an engine over HTTP.

#ifndef KUMQUATHAVEN_LIB_CONTROL_ORDERSENDER_H
#define KUMQUATHAVEN_LIB_CONTROL_ORDERSENDER_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/catalogue/catalogue.h"
#include "kumquathaven/routing/orders.h"

#include <string>

namespace kumquathaven::control {

/// The known outcome of sending an order.
enum class SendResult {
    /// The engine accepts the order, or had accepted it before.
    Accepted,
    /// The engine refuses the order and has changed nothing.
    Refused,
    /// No byte of the order was sent.
    NotSent,
    /// The order may have arrived.
    Unknown,
};

/// The outcome of sending an order and the reason for a failure.
struct SendReport
{
    SendResult result = SendResult::Unknown;
    /// Why the order was not accepted, for operators.
    std::string reason;
};

/// Sends an order, unless \p permittedUntil has passed by the time the connection is open. Blocks
/// until the engine has answered or a timeout expires.
SendReport sendOrder(const catalogue::Upstream &upstream, const routing::Order &order,
                     TimePoint permittedUntil);

} // namespace kumquathaven::control

#endif // KUMQUATHAVEN_LIB_CONTROL_ORDERSENDER_H
