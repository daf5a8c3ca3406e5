// Decides which requests a leaving entry accepts, and when the last of them must be answered.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_LEAVING_H
#define KUMQUATHAVEN_LIB_GATEWAY_LEAVING_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/deployment/plan.h"

namespace kumquathaven::gateway {

/// Times of an entry that leaves.
struct Leaving
{
    /// No connection is accepted from this time on.
    TimePoint acceptsUntil{};
    /// False once requests on the open connections are refused, too.
    bool acceptsRequests = true;
    /// Requests that are still running at this time are answered with an error.
    TimePoint answersUntil{};
    /// The process ends at this time, whatever has not been sent yet.
    TimePoint endsAt{};
};

/// Returns the times of an entry that began to leave at \p now and is killed \p grace later.
Leaving leavingFrom(Duration grace, TimePoint now);

/// Returns whether a leaving entry accepts a request of a route whose caller waits until \p
/// deadline. A request that may run only once and is no stream is accepted only if its deadline is
/// before the last answers: its caller could not tell whether it has run.
bool acceptsWhileLeaving(const Leaving &leaving, const deployment::Route &route,
                         TimePoint deadline);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_LEAVING_H
