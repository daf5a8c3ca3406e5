// Times and requests for the tests of admission control.

#ifndef KUMQUATHAVEN_UNITTESTS_ADMISSION_REQUESTS_H
#define KUMQUATHAVEN_UNITTESTS_ADMISSION_REQUESTS_H

#include "kumquathaven/admission/request.h"

#include <chrono>
#include <string>

namespace kumquathaven::admission {

inline constexpr Duration second = std::chrono::seconds(1);

/// Returns the time that is the given number of seconds after the start of a test.
inline TimePoint atSecond(double seconds)
{
    return TimePoint{} + std::chrono::hours(1) + fromSeconds(seconds);
}

/// Returns a request of a customer. The id is also used as the identity for Retry-After.
inline Request make(RequestId id, const std::string &customer, std::uint64_t tokens = 100,
                    catalogue::ServiceClass serviceClass = catalogue::ServiceClass::Quick,
                    AttemptKind attempt = AttemptKind::First)
{
    Request request;
    request.id = id;
    request.customer = customer;
    request.tokens = tokens;
    request.serviceClass = serviceClass;
    request.attempt = attempt;
    request.identity = id;
    return request;
}

} // namespace kumquathaven::admission

#endif // KUMQUATHAVEN_UNITTESTS_ADMISSION_REQUESTS_H
