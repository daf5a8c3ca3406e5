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

constexpr Duration step = milliseconds(5);

/// Instances that exchange reports at regular intervals, and sooner after spending from a pool.
struct Deployment
{
    explicit Deployment(std::size_t n)
        : instances(n)
    {
        for (std::size_t i = 0; i < n; ++i) {
            instances[i].incarnation = i + 1;
            setPeers(i, n);
        }
    }

    void setPeers(std::size_t self, std::size_t n)
    {
        std::set<std::string> others;
        for (std::size_t i = 0; i < n; ++i) {
            if (i != self)
                others.insert(std::to_string(i));
        }
        updatePeers(instances[self], others);
    }

    void sendReport(std::size_t from, TimePoint now)
    {
        const UseReport report = makeReport(instances[from], now);
        for (std::size_t to = 0; to < instances.size(); ++to) {
            if (to != from)
                applyReport(instances[to], std::to_string(from), report, now);
        }
    }

    /// Sends the reports that are due. \p t is the time since the start.
    void sendDueReports(Duration t, TimePoint now)
    {
        for (std::size_t from = 0; from < instances.size(); ++from) {
            const bool isUrgent =
                instances[from].hasUnreportedSpending && t % urgentInterval == Duration(0);
            // Each instance reports as soon as it knows the others.
            if (t == Duration(0) || isUrgent || (t + from * step) % regularInterval == Duration(0))
                sendReport(from, now);
        }
    }

    std::vector<Shares> instances;
    Duration regularInterval = milliseconds(400);
    Duration urgentInterval = milliseconds(50);
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
        deployment.sendDueReports(t, now);
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
    updatePeers(self, {"a", "b", "c"});
    const TimePoint now{std::chrono::hours(1)};
    applyReport(self, "a", {1, {}}, now);
    applyReport(self, "b", {2, {}}, now);
    applyReport(self, "c", {3, {{customer, {1000, 0}}}}, now);
    CHECK(shareOf(self, customer, now) < 0.2);
    for (int n = 0; n < 20; ++n)
        spend(self, customer, bucket, 1000, now);
    CHECK(shareOf(self, customer, now) > 0.5);
}

TEST_CASE("instances that report nothing count as average instances, departed ones not at all")
{
    Shares self;
    updatePeers(self, {"a", "b", "c"});
    const TimePoint now{std::chrono::hours(1)};
    CHECK(shareOf(self, customer, now) == doctest::Approx(0.25));
    updatePeers(self, {"a"});
    CHECK(shareOf(self, customer, now) == doctest::Approx(0.5));
    applyReport(self, "c", {3, {{customer, {1e9, 0}}}}, now);
    CHECK(shareOf(self, customer, now) == doctest::Approx(0.5));
}

TEST_CASE("the sums over peers follow their reports, their silence and their departure")
{
    Shares self;
    updatePeers(self, {"a", "b"});
    const TimePoint now{std::chrono::hours(1)};
    spend(self, customer, bucket, 0, now);
    applyReport(self, "a", {1, {{customer, {1000, 0}}}}, now);
    applyReport(self, "b", {1, {{customer, {500, 0}}, {"other", {7, 0}}}}, now);
    applyReport(self, "b", {1, {{customer, {300, 0}}}}, now + milliseconds(2500));
    CHECK(self.countedPeers == 2);
    CHECK(self.countedDemand[customer] == 1300);
    CHECK(self.countedDemand["other"] == 0);
    // Only b has reported recently.
    spend(self, customer, bucket, 0, now + milliseconds(3500));
    CHECK(self.countedPeers == 1);
    CHECK(self.countedDemand[customer] == 300);
    updatePeers(self, {"a"});
    CHECK(self.countedPeers == 0);
    CHECK(self.countedDemand[customer] == 0);
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
    deployment.regularInterval = milliseconds(1400);
    const LoadResult result = runLoad(deployment, bucket.rate / 1.8, std::chrono::seconds(60), 11);
    CHECK(static_cast<double>(result.refused) < 0.02 * static_cast<double>(result.requested));
}

TEST_CASE("many instances stay within the allowed excess when a customer starts to exceed its rate")
{
    for (const double rate : {47000.0, 170000.0, 1'000'000.0}) {
        for (const std::uint64_t seed : {12, 13, 14}) {
            const BucketLimits limits{rate, rate};
            Deployment deployment(57);
            deployment.regularInterval = milliseconds(1400);
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

TEST_CASE("a pool is not trusted while many instances are silent")
{
    const TimePoint startTime{std::chrono::hours(1)};
    const BucketLimits limits{1000, 1000};
    for (const std::size_t reportingPeers : {3, 2}) {
        Shares self;
        const std::vector<std::string> others = {"a", "b", "c", "d"};
        updatePeers(self, {others.begin(), others.end()});
        REQUIRE(spend(self, customer, limits, 0, startTime).spending);
        const TimePoint now = startTime + std::chrono::seconds(2);
        for (std::size_t n = 0; n < reportingPeers; ++n)
            applyReport(self, others[n], {1, {}}, now);
        // The account is overdrawn, so that only the pool can be charged.
        spend(self, customer, limits, 0, now);
        self.accounts[customer].balance = -1000;
        const SpendResult answer = spend(self, customer, limits, 300, now);
        CHECK(answer.spending.has_value() == (reportingPeers == 3));
        CHECK(self.hasUnreportedSpending == (reportingPeers == 3));
        CHECK((!answer.spending || answer.spending->isPooled));
    }
}

TEST_CASE("spending of peers is deducted from the pool, counted from zero after their restart")
{
    Shares self;
    updatePeers(self, {"a"});
    const TimePoint now{std::chrono::hours(1)};
    const BucketLimits limits{1000, 1000};
    spend(self, customer, limits, 0, now);
    applyReport(self, "a", {1, {{customer, {0, 5000}}}}, now);
    CHECK(self.pools[customer].balance == doctest::Approx(500));
    applyReport(self, "a", {1, {{customer, {0, 5300}}}}, now);
    CHECK(self.pools[customer].balance == doctest::Approx(200));
    applyReport(self, "a", {2, {{customer, {0, 200}}}}, now);
    CHECK(self.pools[customer].balance == doctest::Approx(0));
}

TEST_CASE("unreported spending of peers is estimated, and corrected by their reports")
{
    Shares self;
    updatePeers(self, {"a"});
    const TimePoint now{std::chrono::hours(1)};
    const BucketLimits limits{1000, 4000};
    spend(self, customer, limits, 0, now);
    applyReport(self, "a", {1, {{customer, {400, 0}}}}, now);
    spend(self, customer, limits, 0, now + std::chrono::seconds(2));
    CHECK(self.pools[customer].balance == doctest::Approx(3200));
    applyReport(self, "a", {1, {{customer, {400, 100}}}}, now + std::chrono::seconds(2));
    CHECK(self.pools[customer].balance == doctest::Approx(3900));
}

TEST_CASE("reports survive encoding and decoding, and malformed bytes are rejected")
{
    const UseReport report{7, {{"a", {5, 10}}, {"b", {70000, -3}}}};
    const auto decoded = orElse(
        [&] {
            return decodeReport(encodeReport(report), "peer");
        },
        [](const Error &) {
            return UseReport();
        });
    CHECK(decoded.incarnation == report.incarnation);
    REQUIRE(decoded.uses.size() == 2);
    CHECK(decoded.uses.at("a").demand == 5);
    CHECK(decoded.uses.at("a").spent == 10);
    CHECK(decoded.uses.at("b").spent == -3);
    for (const std::string &it : {std::string("x"), std::string("\x81\x01"), std::string()}) {
        const bool isRefused = orElse(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(decodeReport(it, "peer"));
                return false;
            },
            [](const Error &error) {
                return error.code == ErrorCode::InvalidRequest;
            });
        CHECK(isRefused);
    }
}
