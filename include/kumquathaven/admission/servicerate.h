// Estimates the speed of the upstreams from finished requests.

#ifndef KUMQUATHAVEN_ADMISSION_SERVICERATE_H
#define KUMQUATHAVEN_ADMISSION_SERVICERATE_H

#include "kumquathaven/base/time.h"

#include <cstdint>

namespace kumquathaven::admission {

/// Decaying sums over finished requests, from which the speed of the upstreams is estimated.
struct ServiceRate
{
    /// Tokens, seconds for which slots were held, and number of finished requests. They decay with
    /// each finished request rather than with time, so that the estimate survives a quiet hour.
    double tokens = 0;
    double seconds = 0;
    double requests = 0;
};

/// Records a finished request that held a slot for \p held and used \p tokens.
void recordCompletion(ServiceRate &rate, std::uint64_t tokens, Duration held);

/// Returns the tokens per second of one slot, or zero if no request has been recorded yet.
double tokensPerSecondPerSlot(const ServiceRate &rate);

/// Returns the mean time in seconds for which a request holds a slot, or zero if no request has
/// been recorded yet.
double meanSecondsHeld(const ServiceRate &rate);

/// Returns the mean number of tokens of a request, or zero if no request has been recorded yet.
double meanTokens(const ServiceRate &rate);

} // namespace kumquathaven::admission

#endif // KUMQUATHAVEN_ADMISSION_SERVICERATE_H
