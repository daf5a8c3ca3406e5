// Whether a request is refused at arrival since its answer would come late, and when its caller is
// to come back.
//
// Answers the load beyond what the servers of a service bear. If all of it is sent to them, their
// queues grow until every answer is late, and stay for as long as the load does. What is refused at
// once leaves the rest in time, and has most of its own time left for another try.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_OVERLOAD_H
#define KUMQUATHAVEN_LIB_GATEWAY_OVERLOAD_H

#include "kumquathaven/base/decayingsum.h"
#include "kumquathaven/base/time.h"

namespace kumquathaven::gateway {

/// Requests of a service that came lately, and those of them that were refused.
struct RefusalRate
{
    DecayingSum offered;
    DecayingSum refused;
};

/// Counts a request.
void noteOffer(RefusalRate &rate, bool isRefused, TimePoint now);

/// Returns the part of the last requests that were refused, from 0 to 1.
double refusedShare(const RefusalRate &rate);

/// Returns how long a request may wait for those before it. \p serviceTime is what its own prompt
/// takes, which may be more than the objective without any wait.
Duration bearableWait(Duration objective, Duration serviceTime);

/// Returns when the caller of a refused request is to come back: once the wait beyond what is
/// bearable has passed, and later the more requests are refused. Then queues are no measure of the
/// overload, since refusals keep them short, and its answer is late whenever the caller returns. \p
/// draw from 0 to 1 spreads callers.
Duration comeBackAfter(const RefusalRate &rate, Duration excess, Duration timeLeft, double draw);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_OVERLOAD_H
