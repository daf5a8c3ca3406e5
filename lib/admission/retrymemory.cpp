#include "kumquathaven/admission/retrymemory.h"

#include "kumquathaven/base/hash.h"

namespace kumquathaven::admission {

namespace {

constexpr std::uint64_t keySeed = 1;
constexpr std::uint64_t bodySeed = 2;

std::uint64_t keyMark(const RetryHints &retryHints)
{
    return stableHash(retryHints.idempotencyKey, keySeed);
}

std::uint64_t bodyMark(const RetryHints &retryHints)
{
    return combineHash(bodySeed, retryHints.bodyFingerprint);
}

/// Returns the marks of a customer and moves the customer to the front of the list of recently used
/// ones. Drops the least recently used customer if there are too many.
RetryMemory::Marks &marksOf(RetryMemory &memory, const std::string &customer)
{
    const auto it = memory.customers.find(customer);
    if (it != memory.customers.end()) {
        memory.recentlyUsed.splice(memory.recentlyUsed.begin(), memory.recentlyUsed,
                                   it->second.usePosition);
        return it->second;
    }
    if (memory.customers.size() >= memory.limits.maxCustomers) {
        memory.customers.erase(memory.recentlyUsed.back());
        memory.recentlyUsed.pop_back();
    }
    memory.recentlyUsed.push_front(customer);
    RetryMemory::Marks &marks = memory.customers[customer];
    marks.usePosition = memory.recentlyUsed.begin();
    return marks;
}

/// Adds a mark or renews its expiry. Drops the customer's oldest mark if it has too many.
void addMark(RetryMemory &memory, const std::string &customer, std::uint64_t value,
             TimePoint expiry)
{
    RetryMemory::Marks &marks = marksOf(memory, customer);
    const auto [it, isNew] = marks.expiry.insert_or_assign(value, expiry);
    if (!isNew)
        return;
    marks.order.push_back(value);
    if (marks.order.size() > memory.limits.maxMarksPerCustomer) {
        marks.expiry.erase(marks.order.front());
        marks.order.pop_front();
    }
}

/// Returns whether a customer has the mark and it has not expired.
bool hasMark(const RetryMemory &memory, const std::string &customer, std::uint64_t value,
             TimePoint now)
{
    const auto marks = memory.customers.find(customer);
    if (marks == memory.customers.end())
        return false;
    const auto it = marks->second.expiry.find(value);
    return it != marks->second.expiry.end() && now < it->second;
}

} // namespace

std::uint64_t workIdentity(const RetryHints &retryHints)
{
    const std::uint64_t work =
        retryHints.idempotencyKey.empty() ? bodyMark(retryHints) : keyMark(retryHints);
    return combineHash(stableHash(retryHints.customer), work);
}

AttemptKind classify(RetryMemory &memory, const RetryHints &retryHints, TimePoint now)
{
    bool isRetry = retryHints.earlierAttempts.value_or(0) > 0;
    isRetry = isRetry || hasMark(memory, retryHints.customer, bodyMark(retryHints), now);
    if (!retryHints.idempotencyKey.empty()) {
        isRetry = isRetry || hasMark(memory, retryHints.customer, keyMark(retryHints), now);
        addMark(memory, retryHints.customer, keyMark(retryHints), now + memory.limits.keyLifetime);
    }
    return isRetry ? AttemptKind::Retry : AttemptKind::First;
}

void recordFailure(RetryMemory &memory, const RetryHints &retryHints, TimePoint now)
{
    addMark(memory, retryHints.customer, bodyMark(retryHints), now + memory.limits.bodyLifetime);
}

} // namespace kumquathaven::admission
