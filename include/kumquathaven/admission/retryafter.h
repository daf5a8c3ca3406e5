// When a refused caller should come back.

#ifndef KUMQUATHAVEN_ADMISSION_RETRYAFTER_H
#define KUMQUATHAVEN_ADMISSION_RETRYAFTER_H

#include "kumquathaven/admission/policy.h"
#include "kumquathaven/base/time.h"

#include <cstdint>

namespace kumquathaven::admission {

/// What a spread is computed from.
struct RetryWindow
{
    /// Time until a caller with this deadline could be accepted.
    Duration start{0};
    /// Time that upstreams need for all the refused work that is expected back.
    Duration length{0};
};

/// Returns the Retry-After of the work with the given identity. With Spread::ByIdentity the time of
/// return is a fixed moment of a window of the clock: work that asks again before it gets the same
/// moment, and no record of it is needed. \p draw is a random number, used by Spread::Random only.
Duration retryAfter(const Policy &policy, const RetryWindow &window, std::uint64_t identity,
                    TimePoint now, double draw);

} // namespace kumquathaven::admission

#endif // KUMQUATHAVEN_ADMISSION_RETRYAFTER_H
