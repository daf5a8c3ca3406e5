#include "kumquathaven/base/hash.h"
#include "kumquathaven/base/hex.h"
#include "kumquathaven/base/random.h"
#include "kumquathaven/base/result.h"
#include "kumquathaven/base/ring.h"

#include <doctest/doctest.h>

#include <string>
#include <thread>

using namespace kumquathaven;

TEST_CASE("a ring refuses elements when full and keeps their order")
{
    BoundedRing<int> ring(2);
    CHECK(ring.tryPush(1));
    CHECK(ring.tryPush(2));
    CHECK_FALSE(ring.tryPush(3));
    CHECK(ring.pop(Duration(0)) == 1);
    CHECK(ring.tryPush(4));
    CHECK(ring.pop(Duration(0)) == 2);
    CHECK(ring.pop(Duration(0)) == 4);
    CHECK_FALSE(ring.pop(Duration(0)).has_value());
}

// Guards against a queue whose elements are few and large.
TEST_CASE("a ring with a bound of bytes is full once its elements hold that many")
{
    BoundedRing<std::string> ring(100, 10, [](const std::string &it) {
        return it.size();
    });
    CHECK(ring.tryPush("123456789"));
    CHECK(ring.tryPush("an element is accepted whole"));
    CHECK_FALSE(ring.tryPush(""));
    CHECK(ring.bytes() == 37);
    CHECK(ring.pop(Duration(0)) == "123456789");
    CHECK_FALSE(ring.tryPush("x"));
    CHECK(ring.pop(Duration(0)).has_value());
    CHECK(ring.bytes() == 0);
    CHECK(ring.tryPush("x"));
}

TEST_CASE("closing a ring wakes the thread that waits on it")
{
    BoundedRing<int> ring(1);
    std::thread closer([&] {
        ring.close();
    });
    CHECK_FALSE(ring.pop(std::chrono::seconds(30)).has_value());
    closer.join();
    CHECK_FALSE(ring.tryPush(1));
}

TEST_CASE("hashes are the same in every build")
{
    CHECK(crc32c("123456789") == 0xe3069283U);
    CHECK(stableHash("abc") == stableHash("abc"));
    CHECK(stableHash("abc") != stableHash(std::string_view("abc\0", 4)));
    CHECK(combineHash(1, 2) != combineHash(2, 1));
}

TEST_CASE("a failure carries its step and peer to the handler")
{
    const auto attempt = []() -> Result<int> {
        return fail(
            {ErrorCode::Timeout, "upstream.connect", "a:1", "no answer", Outcome::NotRun, {}});
    };
    std::string description;
    const int value = orElse(attempt, [&](const Error &e) {
        description = describe(e);
        return 7;
    });
    CHECK(value == 7);
    CHECK(description == "timeout at upstream.connect (a:1): no answer");
}

TEST_CASE("outcomes and codes have names")
{
    CHECK(outcomeName(Outcome::NotRun) == "notRun");
    CHECK(outcomeFromName("unknown") == Outcome::Unknown);
    CHECK_FALSE(outcomeFromName("maybe").has_value());
    CHECK(errorCodeName(ErrorCode::StaleConfiguration) == "staleConfiguration");
    CHECK(httpStatus(ErrorCode::RateLimited) == 429);
}

TEST_CASE("hexadecimal numbers are parsed back, and other text gives zero")
{
    for (const std::uint64_t it : {0ULL, 0xabcULL, ~0ULL})
        CHECK(fromHex(toHex(it)) == it);
    CHECK(toHex(0xabc) == "0000000000000abc");
    for (const char *it : {"", "x1", "11111111111111111"})
        CHECK(fromHex(it) == 0);
}
