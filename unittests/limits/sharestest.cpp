#include "kumquathaven/limits/shares.h"

#include "kumquathaven/base/random.h"

#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::limits;
using std::chrono::milliseconds;

namespace {

const std::string customer = "rounds";
constexpr BucketLimits bucket{170000, 170000};

constexpr Duration step = milliseconds(5);

/// Instances that learn each other's demand at regular intervals, and each other's spending some
/// time after it happened.
struct Deployment
{
    explicit Deployment(std::size_t n)
        : instances(n)
    {
        for (Shares &it : instances)
            setInstances(it, n, n);
    }

    /// Applies what is due. \p t is the time since the start.
    void shareKnowledge(Duration t, TimePoint now)
    {
        if (t % demandInterval == Duration(0))
            shareDemand(now);
        for (Shares &from : instances) {
            for (const auto &[name, tokens] : takeUnreportedSpending(from))
                underWay.push_back({now + delay, &from, name, tokens});
        }
        for (; !underWay.empty() && underWay.front().arrivesAt <= now; underWay.pop_front()) {
            for (Shares &to : instances) {
                if (&to != underWay.front().from)
                    applySpendingOfOthers(to, underWay.front().customer,
                                          static_cast<double>(underWay.front().tokens), now);
            }
        }
    }

    void shareDemand(TimePoint now)
    {
        std::map<std::string, std::int64_t> total;
        for (const Shares &it : instances) {
            for (const auto &[name, demand] : ownDemand(it, now))
                total[name] += demand;
        }
        for (Shares &it : instances) {
            const auto own = ownDemand(it, now);
            for (const auto &[name, demand] : total) {
                const auto mine = own.find(name);
                setDemandOfOthers(
                    it, name, static_cast<double>(demand - (mine == own.end() ? 0 : mine->second)));
            }
        }
    }

    struct Spent
    {
        TimePoint arrivesAt;
        const Shares *from = nullptr;
        std::string customer;
        std::int64_t tokens = 0;
    };

    std::vector<Shares> instances;
    Duration demandInterval = milliseconds(400);
    Duration delay = milliseconds(150);
    std::deque<Spent> underWay;
};

struct LoadResult
{
    std::uint64_t requested = 0;
    std::uint64_t spent = 0;
    std::uint64_t refused = 0;
    double maxTokensInWindow = 0;
};

/// Sends requests of 17,000 and 400 tokens to random instances.
LoadResult runLoad(Deployment &deployment, double tokensPerSecond, Duration length,
                   std::uint64_t seed, const BucketLimits &limits = bucket,
                   Duration startTime = Duration(0))
{
    constexpr Duration window = std::chrono::seconds(8);
    Random random(seed);
    LoadResult result;
    std::deque<std::pair<TimePoint, std::uint64_t>> recent;
    double tokensInWindow = 0;
    double pendingTokens = 0;
    const TimePoint start = TimePoint(std::chrono::hours(1)) + startTime;
    for (Duration t{0}; t < length; t += step) {
        const TimePoint now = start + t;
        deployment.shareKnowledge(t, now);
        pendingTokens += tokensPerSecond * 0.005;
        while (pendingTokens > 0) {
            const std::uint64_t tokens = random.below(8) == 0 ? 17000 : 400;
            pendingTokens -= static_cast<double>(tokens);
            result.requested += tokens;
            Shares &shares = deployment.instances[random.below(deployment.instances.size())];
            if (!spend(shares, customer, limits, tokens, now).spending) {
                result.refused += tokens;
                continue;
            }
            result.spent += tokens;
            tokensInWindow += static_cast<double>(tokens);
            recent.emplace_back(now, tokens);
        }
        while (!recent.empty() && recent.front().first < now - window) {
            tokensInWindow -= static_cast<double>(recent.front().second);
            recent.pop_front();
        }
        result.maxTokensInWindow = std::max(result.maxTokensInWindow, tokensInWindow);
    }
    return result;
}

} // namespace

TEST_CASE("a customer inside its rate is hardly ever refused, wherever its requests arrive")
{
    Deployment deployment(8);
    const LoadResult result = runLoad(deployment, bucket.rate / 1.8, std::chrono::seconds(60), 7);
    CHECK(static_cast<double>(result.refused) < 0.02 * static_cast<double>(result.requested));
}

/// The users' requirement for all instances together in a window of 8 s: spending may exceed rate
/// and burst by a tenth, and by a slack for spending that has not been reported yet.
constexpr double allowedExcess = 1.1;
constexpr double allowedSlack = 190000;

TEST_CASE("a customer that requests four times its rate stays within the allowed excess")
{
    Deployment deployment(8);
    const LoadResult result = runLoad(deployment, 4 * bucket.rate, std::chrono::seconds(60), 8);
    CHECK(result.maxTokensInWindow
          <= allowedExcess * (8 * bucket.rate + bucket.burst) + allowedSlack);
    CHECK(static_cast<double>(result.spent) > 0.95 * 60 * bucket.rate);
}

TEST_CASE("a small customer's large requests run although no instance's share is as large")
{
    constexpr BucketLimits small{47000, 47000};
    Deployment deployment(8);
    for (Shares &it : deployment.instances)
        it.config.debtTokens = 0.6 * allowedSlack;
    const LoadResult inside =
        runLoad(deployment, small.rate / 1.8, std::chrono::seconds(120), 9, small);
    CHECK(static_cast<double>(inside.refused) < 0.02 * static_cast<double>(inside.requested));
    const LoadResult above =
        runLoad(deployment, 4 * small.rate, std::chrono::seconds(60), 10, small);
    CHECK(above.maxTokensInWindow <= allowedExcess * (8 * small.rate + small.burst) + allowedSlack);
}

TEST_CASE("the rate follows the demand to the instance that sees it")
{
    Shares self;
    setInstances(self, 4, 4);
    const TimePoint now{std::chrono::hours(1)};
    setDemandOfOthers(self, customer, 1000);
    CHECK(shareOf(self, customer, now) < 0.2);
    for (int n = 0; n < 20; ++n)
        spend(self, customer, bucket, 1000, now);
    CHECK(shareOf(self, customer, now) > 0.5);
}

TEST_CASE(
    "instances of which nothing is known count as average instances, departed ones not at all")
{
    Shares self;
    setInstances(self, 4, 4);
    const TimePoint now{std::chrono::hours(1)};
    CHECK(shareOf(self, customer, now) == doctest::Approx(0.25));
    setInstances(self, 2, 2);
    CHECK(shareOf(self, customer, now) == doctest::Approx(0.5));
    // Of ten instances this one and one other are known, with equal demand.
    setInstances(self, 10, 2);
    spend(self, customer, bucket, 1000, now);
    setDemandOfOthers(self, customer, static_cast<double>(ownDemand(self, now).at(customer)));
    CHECK(shareOf(self, customer, now) == doctest::Approx(0.1));
    // More may be connected than are in service.
    setInstances(self, 2, 5);
    CHECK(self.knownInstances == 2);
    setInstances(self, 0, 0);
    CHECK(self.instances == 1);
}

TEST_CASE("demand that ends elsewhere is forgotten")
{
    Shares self;
    setInstances(self, 3, 3);
    setDemandOfOthers(self, customer, 1300);
    setDemandOfOthers(self, "other", 7);
    CHECK(self.demandOfOthers.size() == 2);
    setDemandOfOthers(self, "other", 0);
    CHECK(self.demandOfOthers.size() == 1);
}

TEST_CASE("tokens of a request that did not run come back")
{
    Shares self;
    const BucketLimits small{100, 100};
    const TimePoint now{std::chrono::hours(1)};
    const SpendResult first = spend(self, customer, small, 150, now);
    REQUIRE(first.spending);
    const SpendResult second = spend(self, customer, small, 100, now);
    REQUIRE_FALSE(second.spending);
    CHECK(second.wait > Duration(0));
    giveBack(self, customer, small, *first.spending, now);
    CHECK(spend(self, customer, small, 100, now).spending);
}

TEST_CASE("where there are many instances large requests inside the rate run from the pool")
{
    // Each account's share of the rate is a fifth of a large request.
    Deployment deployment(57);
    const LoadResult result = runLoad(deployment, bucket.rate / 1.8, std::chrono::seconds(60), 11);
    CHECK(static_cast<double>(result.refused) < 0.02 * static_cast<double>(result.requested));
}

TEST_CASE("many instances stay within the allowed excess when a customer starts to exceed its rate")
{
    for (const double rate : {47000.0, 170000.0, 1'000'000.0}) {
        for (const std::uint64_t seed : {12, 13, 14}) {
            const BucketLimits limits{rate, rate};
            Deployment deployment(57);
            for (Shares &it : deployment.instances)
                it.config.debtTokens = 0.6 * allowedSlack;
            runLoad(deployment, rate / 1.8, std::chrono::seconds(10), seed, limits);
            const LoadResult above = runLoad(deployment, 4 * rate, std::chrono::seconds(20), seed,
                                             limits, std::chrono::seconds(10));
            CAPTURE(rate);
            CHECK(above.maxTokensInWindow <= allowedExcess * (8 * rate + rate) + allowedSlack);
            CHECK(static_cast<double>(above.spent) > 0.9 * 20 * rate);
        }
    }
}

TEST_CASE("a pool is not trusted while little is known of many instances")
{
    const TimePoint startTime{std::chrono::hours(1)};
    const BucketLimits limits{1000, 1000};
    for (const std::size_t known : {4, 3}) {
        Shares self;
        setInstances(self, 5, known);
        REQUIRE(spend(self, customer, limits, 0, startTime).spending);
        const TimePoint now = startTime + std::chrono::seconds(2);
        // The account is overdrawn, so that only the pool can be charged.
        spend(self, customer, limits, 0, now);
        self.accounts[customer].balance = -1000;
        const SpendResult answer = spend(self, customer, limits, 300, now);
        CHECK(answer.spending.has_value() == (known == 4));
        CHECK((!answer.spending || answer.spending->isPooled));
    }
}

TEST_CASE("what others spend and give back changes the pool")
{
    Shares self;
    setInstances(self, 2, 2);
    const TimePoint now{std::chrono::hours(1)};
    const BucketLimits limits{1000, 1000};
    spend(self, customer, limits, 0, now);
    CHECK(self.pools[customer].balance == doctest::Approx(500));
    applySpendingOfOthers(self, customer, 300, now);
    CHECK(self.pools[customer].balance == doctest::Approx(200));
    applySpendingOfOthers(self, customer, -100, now);
    CHECK(self.pools[customer].balance == doctest::Approx(300));
    applySpendingOfOthers(self, "unknown", 100, now);
    CHECK(self.pools.size() == 1);
    spend(self, customer, limits, 0, now + milliseconds(500));
    CHECK(self.pools[customer].balance == doctest::Approx(800));
}

TEST_CASE("spending that others have not reported yet is expected from their demand")
{
    const TimePoint startTime{std::chrono::hours(1)};
    const BucketLimits limits{1000, 1000};
    // The account is overdrawn; the pool has 200 tokens above its reserve.
    for (const double demand : {100.0, 900.0}) {
        CAPTURE(demand);
        Shares self;
        setInstances(self, 2, 2);
        spend(self, customer, limits, 0, startTime);
        spend(self, customer, limits, 0, startTime + milliseconds(200));
        self.accounts[customer].balance = -2000;
        setDemandOfOthers(self, customer, demand);
        const SpendResult answer =
            spend(self, customer, limits, 100, startTime + milliseconds(200));
        CHECK(answer.spending.has_value() == (demand < 500));
    }
}

TEST_CASE("spending is reported once, and what was given back is deducted")
{
    Shares self;
    const TimePoint now{std::chrono::hours(1)};
    CHECK(takeUnreportedSpending(self).empty());
    const SpendResult first = spend(self, customer, bucket, 500, now);
    spend(self, customer, bucket, 400, now);
    CHECK(takeUnreportedSpending(self).at(customer) == 900);
    CHECK(takeUnreportedSpending(self).empty());
    giveBack(self, customer, bucket, *first.spending, now);
    CHECK(takeUnreportedSpending(self).at(customer) == -500);
}
