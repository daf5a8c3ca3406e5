// Recognises a retry: by idempotency key, by the caller's attempt count, or by its body.

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

/// What a request shows of its earlier attempts.
struct RetryHints
{
    std::string customer;
    /// The Idempotency-Key header; empty if the caller sent none.
    std::string idempotencyKey;
    /// Earlier attempts by the caller's own count, from a header.
    std::optional<std::uint32_t> earlierAttempts;
    /// Hash of method, path and body.
    std::uint64_t bodyFingerprint = 0;
};

/// Bounds of the memory.
struct RetryMemoryLimits
{
    /// How long a key counts as seen before.
    Duration keyLifetime = std::chrono::minutes(10);
    /// How long after a refusal or a failure the same body counts as a retry.
    Duration bodyLifetime = std::chrono::seconds(60);
    std::size_t maxMarksPerCustomer = 4'096;
    std::size_t maxCustomers = 2'048;
};

/// Marks of earlier attempts. Each customer has its own bound, so that one customer's flood cannot
/// make the instance forget another's attempts.
struct RetryMemory
{
    /// Marks of one customer, with the order in which they were made.
    struct Marks
    {
        std::unordered_map<std::uint64_t, TimePoint> expiry;
        std::deque<std::uint64_t> order;
        std::list<std::string>::iterator usePosition;
    };

    RetryMemoryLimits limits;
    std::unordered_map<std::string, Marks> customers;
    /// Customers, the latest used first.
    std::list<std::string> recentlyUsed;
};

/// Returns the identity of a piece of work: its customer with its key, or else with its body. All
/// its attempts share it.
std::uint64_t workIdentity(const RetryHints &retryHints);

/// Returns whether a request that arrives now is a retry, and remembers its key.
AttemptKind classify(RetryMemory &memory, const RetryHints &retryHints, TimePoint now);

/// Remembers that a request was refused or failed, so that the same body counts as a retry.
void recordFailure(RetryMemory &memory, const RetryHints &retryHints, TimePoint now);

} // namespace kumquathaven::admission

#endif // KUMQUATHAVEN_ADMISSION_RETRYMEMORY_H
