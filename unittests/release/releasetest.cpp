#include "kumquathaven/release/release.h"

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::release;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("delays fall into buckets that double")
{
    CHECK(delayBucketOf(Duration(0)) == 0);
    CHECK(delayBucketOf(milliseconds(1)) == 1);
    CHECK(delayBucketOf(milliseconds(3)) == 2);
    CHECK(delayBucketOf(milliseconds(4)) == 3);
    CHECK(delayBucketOf(std::chrono::hours(9)) == delayBucketCount - 1);
}
