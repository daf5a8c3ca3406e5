// Computes the Retry-After of refused requests.

#ifndef KUMQUATHAVEN_ADMISSION_RETRYAFTER_H
#define KUMQUATHAVEN_ADMISSION_RETRYAFTER_H

#include "kumquathaven/admission/policy.h"
#include "kumquathaven/base/time.h"

#include <cstdint>

namespace kumquathaven::admission {

/// The window over which retries are spread, counted from the current time.
struct RetryWindow
{
    /// Time until a request with the same deadline could be accepted.
    Duration start{0};
    /// Time that the upstreams need for all refused requests that are expected to be retried.
    Duration length{0};
};

/// Returns the Retry-After of the request with the given identity, within the bounds of \p policy.
/// With Spread::ByIdentity the time of the retry is a fixed point in windows that are aligned to
/// the clock: a request that is repeated earlier gets the same point, and no record of it is
/// needed. \p draw is a random number in [0, 1), used only with Spread::Random.
Duration retryAfter(const Policy &policy, const RetryWindow &window, std::uint64_t identity,
                    TimePoint now, double draw);

} // namespace kumquathaven::admission

#endif // KUMQUATHAVEN_ADMISSION_RETRYAFTER_H
