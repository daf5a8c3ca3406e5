// How fast upstreams work, learned from finished requests.

#ifndef KUMQUATHAVEN_ADMISSION_SERVICERATE_H
#define KUMQUATHAVEN_ADMISSION_SERVICERATE_H

#include "kumquathaven/base/time.h"

#include <cstdint>

namespace kumquathaven::admission {

/// How fast upstreams work, learned from finished requests.
struct ServiceRate
{
    /// Tokens, seconds and number of finished requests. They decay by request rather than by time,
    /// so that a quiet hour is not forgotten knowledge.
    double tokens = 0;
    double seconds = 0;
    double requests = 0;
};

/// Learns from a request that held a place for \p held and used \p tokens.
void recordCompletion(ServiceRate &rate, std::uint64_t tokens, Duration held);

/// Returns the tokens per second of one place, or zero if nothing was learned yet.
double tokensPerSecondPerSlot(const ServiceRate &rate);

/// Returns the mean time in seconds that a request holds a place, or zero.
double meanSecondsHeld(const ServiceRate &rate);

/// Returns the mean tokens of a request, or zero.
double meanTokens(const ServiceRate &rate);

} // namespace kumquathaven::admission

#endif // KUMQUATHAVEN_ADMISSION_SERVICERATE_H
