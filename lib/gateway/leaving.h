// Decides which requests a leaving entry accepts, and when the last of them must be answered.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_LEAVING_H
#define KUMQUATHAVEN_LIB_GATEWAY_LEAVING_H

#include "kumquathaven/base/time.h"

namespace kumquathaven::gateway {

/// Times of an entry that leaves.
struct Leaving
{
    /// No connection is accepted from this time on.
    TimePoint acceptsUntil{};
    /// Requests that are still running at this time are answered with an error.
    TimePoint answersUntil{};
    /// The process ends at this time, whatever has not been sent yet.
    TimePoint endsAt{};
};

/// Returns the times of an entry that began to leave at \p now and is killed \p grace later.
Leaving leavingFrom(Duration grace, TimePoint now);

/// Returns whether a leaving entry accepts a request that is to be answered by \p deadline, the
/// earlier of what its caller and its route allow. Requests of all kinds are accepted only if the
/// deadline is before the last answers: how long an answer takes is not known before, and one that
/// is cut costs its caller more time than a refusal, after which it turns to another entry at once.
bool acceptsWhileLeaving(const Leaving &leaving, TimePoint deadline);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_LEAVING_H
