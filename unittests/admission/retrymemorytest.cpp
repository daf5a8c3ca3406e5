#include "kumquathaven/admission/retrymemory.h"

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::admission;

namespace {

TimePoint atSecond(int seconds)
{
    return TimePoint{} + std::chrono::hours(1) + std::chrono::seconds(seconds);
}

RetryHints retryHints(const std::string &customer, std::uint64_t body, const std::string &key = {},
                      std::optional<std::uint32_t> earlier = {})
{
    return {customer, key, earlier, body};
}

} // namespace

TEST_CASE("a retry is recognised by key, by count, and by body after a failure")
{
    struct Case
    {
        const char *name;
        RetryHints before;
        bool failed;
        RetryHints now;
        int seconds;
        AttemptKind expected;
    };
    const std::vector<Case> cases{
        {"same key", retryHints("a", 1, "k"), false, retryHints("a", 1, "k"), 599,
         AttemptKind::Retry},
        {"same key, expired", retryHints("a", 1, "k"), false, retryHints("a", 1, "k"), 600,
         AttemptKind::First},
        {"another customer's key", retryHints("a", 1, "k"), false, retryHints("b", 1, "k"), 1,
         AttemptKind::First},
        {"another key", retryHints("a", 1, "k"), false, retryHints("a", 1, "l"), 1,
         AttemptKind::First},
        {"count of the caller", retryHints("a", 1), false, retryHints("a", 2, "", 1), 1,
         AttemptKind::Retry},
        {"count of zero", retryHints("a", 1), false, retryHints("a", 2, "", 0), 1,
         AttemptKind::First},
        {"same body, no failure", retryHints("a", 1), false, retryHints("a", 1), 1,
         AttemptKind::First},
        {"same body after a failure", retryHints("a", 1), true, retryHints("a", 1), 59,
         AttemptKind::Retry},
        {"same body, long after", retryHints("a", 1), true, retryHints("a", 1), 60,
         AttemptKind::First},
        {"another customer's body", retryHints("a", 1), true, retryHints("b", 1), 1,
         AttemptKind::First},
        {"failed without a key, now with one", retryHints("a", 1), true, retryHints("a", 1, "k"), 1,
         AttemptKind::Retry},
    };
    for (const Case &it : cases) {
        CAPTURE(it.name);
        RetryMemory memory;
        CHECK(classify(memory, it.before, atSecond(0)) == AttemptKind::First);
        if (it.failed)
            recordFailure(memory, it.before, atSecond(0));
        CHECK(classify(memory, it.now, atSecond(it.seconds)) == it.expected);
    }
}

TEST_CASE("marks are bounded for each customer, and a flood evicts only its own marks")
{
    RetryMemory memory;
    memory.limits.maxMarksPerCustomer = 10;
    memory.limits.maxCustomers = 3;
    recordFailure(memory, retryHints("b", 7), atSecond(0));
    for (std::uint64_t body = 0; body < 1'000; ++body)
        recordFailure(memory, retryHints("a", body), atSecond(0));
    CHECK(memory.customers.at("a").expiry.size() == 10);
    CHECK(memory.customers.at("a").order.size() == 10);
    CHECK(classify(memory, retryHints("a", 0), atSecond(1)) == AttemptKind::First);
    CHECK(classify(memory, retryHints("a", 999), atSecond(1)) == AttemptKind::Retry);
    CHECK(classify(memory, retryHints("b", 7), atSecond(1)) == AttemptKind::Retry);
    for (int n = 0; n < 100; ++n)
        recordFailure(memory, retryHints("customer" + std::to_string(n), 1), atSecond(1));
    CHECK(memory.customers.size() == 3);
    CHECK(memory.recentlyUsed.size() == 3);
}

TEST_CASE("all attempts of a request share an identity")
{
    CHECK(workIdentity(retryHints("a", 1, "k")) == workIdentity(retryHints("a", 2, "k", 3)));
    CHECK(workIdentity(retryHints("a", 1)) == workIdentity(retryHints("a", 1, "", 2)));
    CHECK(workIdentity(retryHints("a", 1)) != workIdentity(retryHints("b", 1)));
    CHECK(workIdentity(retryHints("a", 1, "k")) != workIdentity(retryHints("a", 1, "l")));
}
