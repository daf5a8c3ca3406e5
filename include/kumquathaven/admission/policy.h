// Settings of admission.

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

/// Returns the position of a class in a PerClass; lower ones are served first.
constexpr std::size_t indexOf(catalogue::ServiceClass serviceClass)
{
    return static_cast<std::size_t>(serviceClass);
}

/// How Retry-After is computed.
enum class Spread {
    /// The time until a place is expected, the same for all.
    Constant,
    /// Random within the window.
    Random,
    /// Fixed by the identity of the work and the window, so that asking again changes nothing.
    ByIdentity,
};

/// How admission orders, bounds and refuses work.
struct Policy
{
    /// Tokens of service by which a customer of weight one may be ahead of the waiting customer
    /// that is furthest behind, before its work of a class comes after everyone else's. Class goes
    /// before fairness within these bounds, and fairness between customers goes before class beyond
    /// them. Earlier classes have more, so that a customer over its share loses its later classes
    /// first.
    PerClass<double> maxAheadTokens{30'000, 20'000, 10'000};
    /// Part of the served tokens that a class gets while it has work waiting, whatever arrives in
    /// the classes before it.
    PerClass<double> minShare{0.0, 0.10, 0.10};
    /// Part of the slots that a class and those after it may hold together. The rest stays free for
    /// the classes before it, since running work is never interrupted.
    PerClass<double> maxSlotShare{1.0, 0.90, 0.60};
    /// Part of a class's slots below which retries start. The slots between are kept for first
    /// attempts: a slot once taken stays taken, and first attempts would wait for it.
    double maxRetrySlotShare = 0.60;
    /// Part of a class's served tokens that its retries get whatever waits and whatever slots are
    /// taken.
    double minRetryShare = 0.02;
    /// Retried tokens that a customer earns with each token of a first attempt that starts.
    double retryRatio = 0.05;
    /// Retried tokens that a customer may have served beyond what it earned.
    double retryBurstTokens = 20'000;
    /// Tokens of service that a customer may catch up on after others were served before it.
    double maxLagTokens = 20'000;
    /// Bounds of the waiting work.
    std::size_t maxWaiting = 2'000;
    std::uint64_t maxWaitingTokens = 20'000'000;
    /// Half-life of what is learned about rates.
    Duration halfLife = std::chrono::seconds(10);
    /// Half-life of refused work that is expected back.
    Duration retryHalfLife = std::chrono::seconds(30);
    /// Shortest time over which returns are spread while there is no capacity at all.
    Duration noCapacityWindow = std::chrono::seconds(10);
    /// Bounds of Retry-After.
    Duration minRetryAfter = std::chrono::seconds(1);
    Duration maxRetryAfter = std::chrono::seconds(120);
    Spread spread = Spread::ByIdentity;
    /// Seed of Spread::Random.
    std::uint64_t seed = 1;
    /// Customers without work that are remembered for their tags and budgets.
    std::size_t maxIdleCustomers = 4'096;
};

} // namespace kumquathaven::admission

#endif // KUMQUATHAVEN_ADMISSION_POLICY_H
