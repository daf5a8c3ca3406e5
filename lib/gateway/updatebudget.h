// Limits how often an instance sends updates to its peers.
//
// With many instances, a message to each of them costs all of them processor time, so that only few
// can be sent. A placed prompt is sent at once, since other instances choose the same server until
// they know of it, and so is an observation of a server, since other instances send requests to
// that server until then. Other data is sent along, or waits until messages are left over.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_UPDATEBUDGET_H
#define KUMQUATHAVEN_LIB_GATEWAY_UPDATEBUDGET_H

#include "kumquathaven/base/time.h"

#include <cstddef>

namespace kumquathaven::gateway {

/// Messages that an instance may send. They accrue at a constant rate.
struct UpdateBudget
{
    /// Messages that were left after the last update, and when it was sent.
    double messages = 0;
    TimePoint lastSentAt{};
};

/// Returns whether an update may be sent to \p others instances now. \p isUrgent: the update has a
/// placed prompt or an observation of a server.
bool maySendUpdate(const UpdateBudget &budget, std::size_t others, bool isUrgent, TimePoint now);

/// Deducts one message for each of \p others instances.
void recordUpdateSent(UpdateBudget &budget, std::size_t others, TimePoint now);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_UPDATEBUDGET_H
