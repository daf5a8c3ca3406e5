// Effects that the limits' state machines return for the caller to carry out: messages to send and
// decisions on waiting requests.

#ifndef KUMQUATHAVEN_LIMITS_EFFECTS_H
#define KUMQUATHAVEN_LIMITS_EFFECTS_H

#include "kumquathaven/base/error.h"
#include "kumquathaven/limits/messages.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace kumquathaven::limits {

/// The decision on a request that waited for tokens: it is admitted or refused.
struct Resolution
{
    std::uint64_t reservation = 0;
    /// The error of a refused request. Empty if the request is admitted.
    std::optional<Error> refusal;
};

/// Effects of one or more calls, in the order in which they arose.
struct Effects
{
    std::vector<Envelope> messages;
    std::vector<Resolution> resolutions;
};

} // namespace kumquathaven::limits

#endif // KUMQUATHAVEN_LIMITS_EFFECTS_H
