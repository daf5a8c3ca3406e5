// Recognises retries by idempotency key, by the caller's own count of attempts, or by the body of
// an earlier request that failed.

#ifndef KUMQUATHAVEN_ADMISSION_RETRYMEMORY_H
#define KUMQUATHAVEN_ADMISSION_RETRYMEMORY_H

#include "kumquathaven/admission/request.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace kumquathaven::admission {

/// The properties of a request by which a retry is recognised.
struct RetryHints
{
    std::string customer;
    /// The Idempotency-Key header; empty if the caller sent none.
    std::string idempotencyKey;
    /// Number of earlier attempts as counted by the caller, from a header.
    std::optional<std::uint32_t> earlierAttempts;
    /// Hash of method, path and body.
    std::uint64_t bodyFingerprint = 0;
};

/// Bounds of the marks of earlier attempts.
struct RetryMemoryLimits
{
    /// Time for which a request with the same idempotency key counts as a retry.
    Duration keyLifetime = std::chrono::minutes(10);
    /// Time after a refusal or a failure for which a request with the same body counts as a retry.
    Duration bodyLifetime = std::chrono::seconds(60);
    std::size_t maxMarksPerCustomer = 4'096;
    std::size_t maxCustomers = 2'048;
};

/// Marks of earlier attempts: hashes of their keys and bodies. The number of marks is bounded for
/// each customer, so that a flood of one customer's requests cannot evict the marks of another.
struct RetryMemory
{
    /// Marks of one customer with their expiry, and the order in which they were made.
    struct Marks
    {
        std::unordered_map<std::uint64_t, TimePoint> expiry;
        std::deque<std::uint64_t> order;
        std::list<std::string>::iterator usePosition;
    };

    RetryMemoryLimits limits;
    std::unordered_map<std::string, Marks> customers;
    /// Customers, the most recently used first.
    std::list<std::string> recentlyUsed;
};

/// Returns an identity that all attempts of one request share: a hash of the customer and the
/// idempotency key, or of the customer and the body if there is no key.
std::uint64_t workIdentity(const RetryHints &retryHints);

/// Returns whether a request that arrives now is a first attempt or a retry, and records its key.
AttemptKind classify(RetryMemory &memory, const RetryHints &retryHints, TimePoint now);

/// Records that a request was refused or failed, so that requests with the same body count as
/// retries.
void recordFailure(RetryMemory &memory, const RetryHints &retryHints, TimePoint now);

} // namespace kumquathaven::admission

#endif // KUMQUATHAVEN_ADMISSION_RETRYMEMORY_H
