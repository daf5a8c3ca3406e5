// The customers, their work, and how their clients retry.

#ifndef KUMQUATHAVEN_STORM_WORKLOAD_H
#define KUMQUATHAVEN_STORM_WORKLOAD_H

#include "kumquathaven/admission/request.h"
#include "kumquathaven/base/random.h"

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace storm {

using kumquathaven::Duration;
using kumquathaven::Random;
using kumquathaven::TimePoint;
using kumquathaven::catalogue::ServiceClass;

/// How a client retries, after the published defaults of common clients.
struct RetryHabit
{
    std::string name;
    std::uint32_t maxAttempts = 1;
    Duration firstDelay{0};
    Duration maxDelay{0};
    /// Part of the delay that is random.
    double jitter = 0;
    /// Whether Retry-After is followed, up to a bound.
    std::optional<Duration> followsUpTo;
    /// Whether the client sends its attempt count; otherwise a retry is known by its body.
    bool sendsCount = false;
};

const std::array<RetryHabit, 4> &retryHabits();

/// Returns when a client tries again after its \p attempts -th attempt, or nothing if it gives up.
std::optional<Duration> nextAttempt(const RetryHabit &habit, std::uint32_t attempts,
                                    std::optional<Duration> retryAfter, Random &random);

/// One customer of the measurement.
struct Customer
{
    std::string name;
    /// Part of the regular load that it sends.
    double part = 0;
    /// Factor on its regular load.
    double surge = 1;
};

/// One piece of work that a client wants done.
struct Work
{
    std::size_t customer = 0;
    ServiceClass serviceClass = ServiceClass::Quick;
    /// Prompt and answer. A place works off the same number of either in a second.
    std::uint64_t tokens = 0;
    std::size_t habit = 0;
    TimePoint createdAt{};
    std::uint32_t attempts = 0;
    /// Sent by the storm: its first attempt is long past.
    bool isStorm = false;
    std::optional<TimePoint> firstTokenAt;
    bool served = false;
};

/// Draws the class, the tokens and the client of a piece of work.
Work drawWork(std::size_t customer, TimePoint now, Random &random);

/// How long a client waits for the first token before it tries again.
Duration patienceFor(ServiceClass serviceClass);

/// Returns the mean tokens and the mean seconds in a place of a piece of work.
struct WorkMeans
{
    double tokens = 0;
    double seconds = 0;
};
WorkMeans meansOfWork();

/// Time in a place until the first token, and until the last.
constexpr Duration timeToFirstToken = std::chrono::milliseconds(200);
Duration timeInPlace(std::uint64_t tokens);

} // namespace storm

#endif // KUMQUATHAVEN_STORM_WORKLOAD_H
