// Settings of admission control.

#ifndef KUMQUATHAVEN_ADMISSION_POLICY_H
#define KUMQUATHAVEN_ADMISSION_POLICY_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/catalogue/catalogue.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace kumquathaven::admission {

constexpr std::size_t classCount = 3;
constexpr std::size_t attemptCount = 2;

/// One value for each service class.
template <typename T>
using PerClass = std::array<T, classCount>;

/// Returns the index of a class in a PerClass. Classes with a lower index are served first.
constexpr std::size_t indexOf(catalogue::ServiceClass serviceClass)
{
    return static_cast<std::size_t>(serviceClass);
}

/// How Retry-After values are spread over time.
enum class Spread {
    /// The time until a slot is expected to be free, the same for all callers.
    Constant,
    /// A random time within the window.
    Random,
    /// A time derived from the identity of the request and the window, so that a repeated request
    /// gets the same time.
    ByIdentity,
};

/// How admission control orders, bounds and refuses requests.
struct Policy
{
    /// Tokens of service by which a customer of weight one may be ahead of the waiting customer
    /// that is furthest behind. Beyond this bound, the customer's requests of the class are served
    /// after those of all other customers: class takes precedence over fairness within the bounds,
    /// and fairness between customers takes precedence over class beyond them. Earlier classes have
    /// larger bounds, so that a customer over its share loses its later classes first.
    PerClass<double> maxAheadTokens{30'000, 20'000, 10'000};
    /// Share of the served tokens that a class is guaranteed while it has requests waiting,
    /// whatever arrives in earlier classes.
    PerClass<double> minShare{0.0, 0.10, 0.10};
    /// Share of the slots that a class and the later classes may hold together. The remaining slots
    /// stay free for the earlier classes, since running requests are never interrupted.
    PerClass<double> maxSlotShare{1.0, 0.90, 0.60};
    /// Share of a class's slots up to which retries may start. The remaining slots are reserved for
    /// first attempts, since a retry that holds a slot is never interrupted and first attempts
    /// would have to wait for it.
    double maxRetrySlotShare = 0.60;
    /// Share of a class's served tokens that its retries are guaranteed, whatever else is waiting
    /// and however many slots are in use.
    double minRetryShare = 0.02;
    /// Tokens by which a customer's retry budget grows for each token of a first attempt that
    /// starts.
    double retryRatio = 0.05;
    /// Maximum of a customer's retry budget in tokens, and its initial value.
    double retryBurstTokens = 20'000;
    /// Tokens of service that a customer may catch up on after other customers were served first.
    double maxLagTokens = 20'000;
    /// Maximum number of waiting requests and of their tokens, over all customers.
    std::size_t maxWaiting = 2'000;
    std::uint64_t maxWaitingTokens = 20'000'000;
    /// Half-life of the rates at which tokens are accepted.
    Duration halfLife = std::chrono::seconds(10);
    /// Half-life of the tokens of refused requests that are expected to be retried.
    Duration retryHalfLife = std::chrono::seconds(30);
    /// Minimum window over which retries are spread while there is no capacity at all.
    Duration noCapacityWindow = std::chrono::seconds(10);
    /// Smallest and largest Retry-After.
    Duration minRetryAfter = std::chrono::seconds(1);
    Duration maxRetryAfter = std::chrono::seconds(120);
    Spread spread = Spread::ByIdentity;
    /// Seed of Spread::Random.
    std::uint64_t seed = 1;
    /// Number of customers above which the tags and budgets of customers without requests are
    /// dropped.
    std::size_t maxIdleCustomers = 4'096;
};

} // namespace kumquathaven::admission

#endif // KUMQUATHAVEN_ADMISSION_POLICY_H
