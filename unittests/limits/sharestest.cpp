#include "kumquathaven/limits/shares.h"

#include "kumquathaven/base/random.h"

#include <doctest/doctest.h>

#include <deque>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::limits;
using std::chrono::milliseconds;

namespace {

const std::string customer = "rounds";
constexpr BucketLimits bucket{170000, 170000};

/// Instances that tell each other their demands every 400 ms.
struct Deployment
{
    explicit Deployment(std::size_t n)
        : instances(n)
    {
        for (std::size_t i = 0; i < n; ++i)
            setPeers(i, n);
    }

    void setPeers(std::size_t self, std::size_t n)
    {
        std::set<std::string> others;
        for (std::size_t i = 0; i < n; ++i) {
            if (i != self)
                others.insert(std::to_string(i));
        }
        keepPeers(instances[self], others);
    }

    void tell(TimePoint now)
    {
        for (std::size_t from = 0; from < instances.size(); ++from) {
            const Demands demands = ownDemands(instances[from], now);
            for (std::size_t to = 0; to < instances.size(); ++to) {
                if (to != from)
                    takeDemands(instances[to], std::to_string(from), demands, now);
            }
        }
    }

    std::vector<Shares> instances;
};

struct Played
{
    std::uint64_t asked = 0;
    std::uint64_t spent = 0;
    std::uint64_t refused = 0;
    double mostInWindow = 0;
};

/// Plays requests of 17,000 and 400 tokens that arrive at random instances.
Played play(Deployment &deployment, double tokensPerSecond, Duration length, std::uint64_t seed,
            const BucketLimits &limits = bucket)
{
    constexpr Duration window = std::chrono::seconds(8);
    Random random(seed);
    Played played;
    std::deque<std::pair<TimePoint, std::uint64_t>> recent;
    double inWindow = 0;
    double due = 0;
    const TimePoint start{std::chrono::hours(1)};
    for (Duration t{0}; t < length; t += milliseconds(5)) {
        const TimePoint now = start + t;
        if (t % milliseconds(400) == Duration(0))
            deployment.tell(now);
        due += tokensPerSecond * 0.005;
        while (due > 0) {
            const std::uint64_t tokens = random.below(8) == 0 ? 17000 : 400;
            due -= static_cast<double>(tokens);
            played.asked += tokens;
            Shares &shares = deployment.instances[random.below(deployment.instances.size())];
            if (spend(shares, customer, limits, tokens, now)) {
                played.refused += tokens;
                continue;
            }
            played.spent += tokens;
            inWindow += static_cast<double>(tokens);
            recent.emplace_back(now, tokens);
        }
        while (!recent.empty() && recent.front().first < now - window) {
            inWindow -= static_cast<double>(recent.front().second);
            recent.pop_front();
        }
        played.mostInWindow = std::max(played.mostInWindow, inWindow);
    }
    return played;
}

} // namespace

TEST_CASE("a customer inside its rate is hardly ever refused, wherever its requests arrive")
{
    Deployment deployment(8);
    const Played played = play(deployment, bucket.rate / 1.8, std::chrono::seconds(60), 7);
    CHECK(static_cast<double>(played.refused) < 0.02 * static_cast<double>(played.asked));
}

/// What the users allow over all instances in a window of 8 s: a tenth more than rate and burst,
/// and a slack for what instances have not told each other yet.
constexpr double allowedExcess = 1.1;
constexpr double allowedSlack = 190000;

TEST_CASE("a customer that asks for four times its rate stays within what is allowed")
{
    Deployment deployment(8);
    const Played played = play(deployment, 4 * bucket.rate, std::chrono::seconds(60), 8);
    CHECK(played.mostInWindow <= allowedExcess * (8 * bucket.rate + bucket.burst) + allowedSlack);
    CHECK(static_cast<double>(played.spent) > 0.95 * 60 * bucket.rate);
}

TEST_CASE("a small customer's large requests run although no instance's share is as large")
{
    constexpr BucketLimits small{47000, 47000};
    Deployment deployment(8);
    for (Shares &it : deployment.instances)
        it.config.debtTokens = 0.6 * allowedSlack;
    const Played inside = play(deployment, small.rate / 1.8, std::chrono::seconds(120), 9, small);
    CHECK(static_cast<double>(inside.refused) < 0.02 * static_cast<double>(inside.asked));
    const Played above = play(deployment, 4 * small.rate, std::chrono::seconds(60), 10, small);
    CHECK(above.mostInWindow <= allowedExcess * (8 * small.rate + small.burst) + allowedSlack);
}

TEST_CASE("the rate follows the demand to the instance that sees it")
{
    Shares self;
    keepPeers(self, {"a", "b", "c"});
    const TimePoint now{std::chrono::hours(1)};
    takeDemands(self, "a", {}, now);
    takeDemands(self, "b", {}, now);
    takeDemands(self, "c", {{customer, 1000}}, now);
    CHECK(shareOf(self, customer, now) < 0.2);
    for (int n = 0; n < 20; ++n)
        spend(self, customer, bucket, 1000, now);
    CHECK(shareOf(self, customer, now) > 0.5);
}

TEST_CASE("instances that fell silent count as much as the others, those that left not at all")
{
    Shares self;
    keepPeers(self, {"a", "b", "c"});
    const TimePoint now{std::chrono::hours(1)};
    CHECK(shareOf(self, customer, now) == doctest::Approx(0.25));
    keepPeers(self, {"a"});
    CHECK(shareOf(self, customer, now) == doctest::Approx(0.5));
    takeDemands(self, "c", {{customer, 1e9}}, now);
    CHECK(shareOf(self, customer, now) == doctest::Approx(0.5));
}

TEST_CASE("tokens of a request that did not run come back")
{
    Shares self;
    const BucketLimits small{100, 100};
    const TimePoint now{std::chrono::hours(1)};
    REQUIRE_FALSE(spend(self, customer, small, 150, now));
    const auto wait = spend(self, customer, small, 100, now);
    REQUIRE(wait);
    CHECK(*wait > Duration(0));
    giveBack(self, customer, small, 150, now);
    CHECK_FALSE(spend(self, customer, small, 100, now));
}

TEST_CASE("demands survive the way to another instance, and rubbish is refused")
{
    const Demands demands{{"a", 5}, {"b", 70000}};
    const auto decoded = orElse(
        [&] {
            return decodeDemands(encodeDemands(demands), "peer");
        },
        [](const Error &) {
            return Demands();
        });
    CHECK(decoded == demands);
    for (const std::string &it : {std::string("x"), std::string("\x81\x01"), std::string()}) {
        const bool isRefused = orElse(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(decodeDemands(it, "peer"));
                return false;
            },
            [](const Error &error) {
                return error.code == ErrorCode::InvalidRequest;
            });
        CHECK(isRefused);
    }
}
