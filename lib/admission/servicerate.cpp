#include "kumquathaven/admission/servicerate.h"

namespace kumquathaven::admission {

namespace {

// Factor by which the sums decay with each finished request: they cover about the last hundred
// requests.
constexpr double decayPerRequest = 0.99;

} // namespace

void recordCompletion(ServiceRate &rate, std::uint64_t tokens, Duration held)
{
    rate.tokens = rate.tokens * decayPerRequest + static_cast<double>(tokens);
    rate.seconds = rate.seconds * decayPerRequest + toSeconds(held);
    rate.requests = rate.requests * decayPerRequest + 1;
}

double tokensPerSecondPerSlot(const ServiceRate &rate)
{
    return rate.seconds > 0 ? rate.tokens / rate.seconds : 0;
}

double meanSecondsHeld(const ServiceRate &rate)
{
    return rate.requests > 0 ? rate.seconds / rate.requests : 0;
}

double meanTokens(const ServiceRate &rate)
{
    return rate.requests > 0 ? rate.tokens / rate.requests : 0;
}

} // namespace kumquathaven::admission
