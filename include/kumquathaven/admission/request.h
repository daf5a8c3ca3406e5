// A request as admission control sees it, and the decision on it.

#ifndef KUMQUATHAVEN_ADMISSION_REQUEST_H
#define KUMQUATHAVEN_ADMISSION_REQUEST_H

#include "kumquathaven/base/error.h"
#include "kumquathaven/base/time.h"
#include "kumquathaven/catalogue/catalogue.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kumquathaven::admission {

/// The entry's number for a request, unique while the request waits or runs.
using RequestId = std::uint64_t;

/// Whether a request is a first attempt or a retry.
enum class AttemptKind { First, Retry };

/// The properties of a request on which admission decisions are based.
struct Request
{
    RequestId id = 0;
    std::string customer;
    /// The customer's weight; zero is treated as one.
    std::uint32_t weight = 1;
    /// Maximum number of the customer's requests that this instance runs at a time. Zero: no limit.
    std::uint32_t maxRunning = 0;
    catalogue::ServiceClass serviceClass = catalogue::ServiceClass::Standard;
    AttemptKind attempt = AttemptKind::First;
    /// Identity from which Retry-After is derived. All attempts of one request share it, and
    /// different requests of one caller differ in it.
    std::uint64_t identity = 0;
    /// The latest time at which a start is of use. Nothing: the caller sets no limit.
    std::optional<TimePoint> startBy;
    /// Estimated wait of requests of this class inside the upstreams after they start.
    Duration upstreamWait{0};
    /// Tokens of the prompt and of the expected answer together.
    std::uint64_t tokens = 1;
};

/// What may run on the upstreams at a time.
struct Capacity
{
    std::uint32_t slots = 0;
    /// Maximum tokens of all running requests together. Zero: only slots are limited.
    std::uint64_t tokens = 0;
};

/// What happens to a request.
enum class Action {
    /// The request starts now and holds a slot until finish() or cancel().
    Admit,
    /// The request waits; a later decision admits or refuses it.
    Wait,
    /// The request is refused for good. The decision carries the error that is returned to the
    /// caller at once.
    Refuse,
};

/// A decision on one request.
struct Decision
{
    RequestId id = 0;
    Action action = Action::Wait;
    /// Wait: the estimated wait.
    Duration expectedWait{0};
    /// Refuse: the reason and the delay before a retry. The outcome is always NotRun.
    std::optional<Error> error;
};

using Decisions = std::vector<Decision>;

} // namespace kumquathaven::admission

#endif // KUMQUATHAVEN_ADMISSION_REQUEST_H
