// When an instance tells the others its news.
//
// Answers the load of many instances: a message to each of them costs all of them processor time,
// so that few can be sent. A prompt that was placed is told at once, since until then others choose
// the same server, and so is what was found of a server, since until then others send there; what
// else there is goes along, or waits until messages are left over.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_UPDATEBUDGET_H
#define KUMQUATHAVEN_LIB_GATEWAY_UPDATEBUDGET_H

#include "kumquathaven/base/time.h"

#include <cstddef>

namespace kumquathaven::gateway {

/// The messages that an instance may send, which come in at a constant rate.
struct UpdateBudget
{
    /// Those that were left when news were last told, and that time.
    double messages = 0;
    TimePoint lastSentAt{};
};

/// Returns whether news may be told to \p others instances now. \p isUrgent: a prompt was placed.
bool maySendUpdate(const UpdateBudget &budget, std::size_t others, bool isUrgent, TimePoint now);

/// Takes a message for each of \p others instances.
void recordUpdateSent(UpdateBudget &budget, std::size_t others, TimePoint now);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_UPDATEBUDGET_H
