#include "kumquathaven/catalogue/weightstimes.h"

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::catalogue;
using std::chrono::seconds;

namespace {

constexpr TimePoint start{seconds(1000)};

Duration since(const WeightsTimes &times, std::uint64_t version)
{
    return timeSinceReplaced(times, "m", version, start + seconds(10));
}

} // namespace

// Guards against a later version that extends the time for which an older one may be used.
TEST_CASE("each version is replaced by the next one")
{
    WeightsTimes times;
    recordWeights(times, "m", 4, 2, start);
    recordWeights(times, "m", 7, 4, start + seconds(3));
    CHECK(since(times, 1) == Duration::max());
    CHECK(since(times, 2) == seconds(10));
    CHECK(since(times, 4) == seconds(7));
    CHECK(since(times, 7) == Duration(0));
    CHECK(timeSinceReplaced(times, "other", 1, start) == Duration(0));
}

TEST_CASE("the earliest known time of a version counts")
{
    WeightsTimes times;
    recordPresent(times, {{"m", 2}});
    CHECK(since(times, 1) == Duration::max());
    CHECK(recordAges(times, {{"m", 2, seconds(4)}}, start + seconds(10)));
    CHECK(since(times, 1) == seconds(4));
    CHECK(recordAges(times, {{"m", 2, seconds(6)}}, start + seconds(10)));
    CHECK_FALSE(recordAges(times, {{"m", 2, seconds(5)}}, start + seconds(10)));
    CHECK_FALSE(recordAges(times, {{"m", 2, std::nullopt}}, start + seconds(10)));
    CHECK(since(times, 1) == seconds(6));
}

TEST_CASE("ages are told of models with a version that was set lately")
{
    WeightsTimes times;
    recordWeights(times, "m", 3, 2, start);
    recordWeights(times, "n", 5, 0, start - seconds(100));
    const auto ages = recentAges(times, seconds(60), start + seconds(10));
    REQUIRE(ages.size() == 2);
    CHECK(ages[0].version == 2);
    CHECK_FALSE(ages[0].age.has_value());
    CHECK(ages[1].version == 3);
    CHECK(ages[1].age == seconds(10));
    CHECK(recentAges(times, seconds(60), start + seconds(70)).empty());
}

TEST_CASE("the number of versions kept is bounded")
{
    WeightsTimes times;
    for (std::uint64_t version = 1; version <= 3 * maxWeightsVersions; ++version)
        recordWeights(times, "m", version, version - 1, start);
    CHECK(times.setAt.at("m").size() == maxWeightsVersions);
    CHECK(since(times, 3 * maxWeightsVersions) == Duration(0));
}
