// Decides whether a request is refused on arrival because its answer would be late, and when its
// caller should retry.
//
// This handles more load than the servers of a service can process. If all of it is sent to them,
// their queues grow until every answer is late, and stay long while the load lasts. Refusing some
// requests at once keeps the other answers in time and leaves the refused callers most of their
// time for a retry.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_OVERLOAD_H
#define KUMQUATHAVEN_LIB_GATEWAY_OVERLOAD_H

#include "kumquathaven/base/decayingsum.h"
#include "kumquathaven/base/time.h"

namespace kumquathaven::gateway {

/// Decaying counts of the recent requests of a service and of those that were refused.
struct RefusalRate
{
    DecayingSum offered;
    DecayingSum refused;
};

/// Records a request and whether it was refused.
void recordRequest(RefusalRate &rate, bool isRefused, TimePoint now);

/// Returns the share of recent requests that were refused, from 0 to 1.
double refusedShare(const RefusalRate &rate);

/// Returns how long a request may wait for the requests ahead of it. \p serviceTime is the time for
/// its own prompt, which may exceed the objective without any wait.
Duration toleratedWait(Duration objective, Duration serviceTime);

/// Returns the time after which the caller of a refused request should retry: when the excess wait
/// has passed, and later the more requests are refused. With many refusals, queue lengths are no
/// measure of the overload, since refusals keep them short, and the answer is late whenever the
/// caller retries. \p draw, from 0 to 1, spreads the callers over time.
Duration retryDelay(const RefusalRate &rate, Duration excess, Duration timeLeft, double draw);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_OVERLOAD_H
