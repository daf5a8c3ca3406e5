#include "kumquathaven/deployment/rollout.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace kumquathaven;
using namespace kumquathaven::deployment;
using std::chrono::milliseconds;

namespace {

const std::string model = "m";

/// Simulated servers that answer reports and accept or lose orders.
struct Servers
{
    explicit Servers(std::size_t n, std::uint64_t version)
    {
        for (std::size_t i = 0; i < n; ++i) {
            ListedServer it;
            it.id = "s" + std::to_string(i);
            it.weights[model] = version;
            listed.push_back(it);
        }
    }

    /// Records the changes of a step in the catalogue and answers its calls.
    void applyStep(Rollout &rollout, const RolloutStep &step, const RolloutTimes &times,
                   TimePoint now)
    {
        for (const catalogue::ServerWeights &it : step.records)
            catalogue.serverWeights[it.server + "/" + it.model] = it;
        for (const RolloutCall &it : step.calls) {
            const std::string start = startIdOf(it.server);
            RolloutAnswer answer{start, it.kind, std::nullopt, std::nullopt};
            if (it.kind == RolloutCall::Kind::Report) {
                EngineReport report;
                report.orders = orders[start];
                report.weights[model] =
                    versions.count(start) ? versions[start] : it.server.weights.at(model);
                answer.report = report;
            } else {
                ++ordersSent;
                const bool isExpected = it.expectedOrders == orders[start];
                answer.order = isExpected ? OrderAnswer::Accepted : OrderAnswer::Busy;
                if (losesOrders)
                    answer.order.reset();
                else if (isExpected) {
                    ++orders[start];
                    versions[start] = it.version;
                }
            }
            handleAnswer(rollout, answer, times, now);
        }
    }

    std::size_t loading() const
    {
        return static_cast<std::size_t>(std::count_if(
            catalogue.serverWeights.begin(), catalogue.serverWeights.end(), [](const auto &it) {
                return it.second.isLoading;
            }));
    }

    std::vector<ListedServer> listed;
    catalogue::Catalogue catalogue;
    std::map<std::string, std::uint64_t> orders;
    std::map<std::string, std::uint64_t> versions;
    std::size_t ordersSent = 0;
    bool losesOrders = false;
};

TimePoint at(int ms)
{
    return TimePoint(std::chrono::hours(1)) + milliseconds(ms);
}

} // namespace

TEST_CASE("all servers reach a new version, a part of them at a time")
{
    Servers servers(9, 1);
    servers.catalogue.weights[model] = 2;
    Rollout rollout;
    const RolloutTimes times;
    std::size_t maxLoadingSeen = 0;
    int ms = 0;
    for (; ms < 10000; ms += 50) {
        const RolloutStep step =
            nextStep(rollout, servers.listed, servers.catalogue, times, at(ms));
        servers.applyStep(rollout, step, times, at(ms));
        maxLoadingSeen = std::max(maxLoadingSeen, servers.loading());
        if (servers.versions.size() == 9 && servers.loading() == 0)
            break;
    }
    CHECK(servers.versions.size() == 9);
    CHECK(servers.ordersSent == 9);
    CHECK(maxLoadingSeen == maxLoading(9));
    CHECK(ms < 6000);
}

TEST_CASE("an order is sent only after entries were informed that the server loads")
{
    Servers servers(3, 1);
    servers.catalogue.weights[model] = 2;
    Rollout rollout;
    const RolloutTimes times;
    RolloutStep step = nextStep(rollout, servers.listed, servers.catalogue, times, at(0));
    REQUIRE(step.records.size() == 1);
    CHECK(step.records[0].isLoading);
    REQUIRE(step.calls.size() == 1);
    CHECK(step.calls[0].kind == RolloutCall::Kind::Report);
    servers.applyStep(rollout, step, times, at(1));
    step = nextStep(rollout, servers.listed, servers.catalogue, times, at(50));
    CHECK(step.calls.empty());
    step = nextStep(rollout, servers.listed, servers.catalogue, times, at(110));
    REQUIRE(step.calls.size() == 1);
    CHECK(step.calls[0].kind == RolloutCall::Kind::Order);
    CHECK(step.calls[0].expectedOrders == 0U);
}

TEST_CASE("the oldest weights go first")
{
    Servers servers(6, 2);
    servers.listed[4].weights[model] = 1;
    servers.listed[5].weights[model] = 1;
    servers.catalogue.weights[model] = 3;
    Rollout rollout;
    const RolloutStep step =
        nextStep(rollout, servers.listed, servers.catalogue, RolloutTimes(), at(0));
    REQUIRE(step.records.size() == 2);
    CHECK(step.records[0].server == startIdOf(servers.listed[4]));
    CHECK(step.records[1].server == startIdOf(servers.listed[5]));
}

TEST_CASE("a lost order is sent again with the number of orders accepted so far")
{
    Servers servers(1, 1);
    servers.catalogue.weights[model] = 2;
    servers.losesOrders = true;
    Rollout rollout;
    const RolloutTimes times;
    for (int ms = 0; ms < 2000; ms += 50)
        servers.applyStep(rollout,
                          nextStep(rollout, servers.listed, servers.catalogue, times, at(ms)),
                          times, at(ms));
    CHECK(servers.ordersSent >= 2);
    servers.losesOrders = false;
    for (int ms = 2000; ms < 4000; ms += 50)
        servers.applyStep(rollout,
                          nextStep(rollout, servers.listed, servers.catalogue, times, at(ms)),
                          times, at(ms));
    CHECK(servers.versions.size() == 1);
}

TEST_CASE("a server that does not answer is released and not retried for a while")
{
    Servers servers(1, 1);
    servers.catalogue.weights[model] = 2;
    Rollout rollout;
    const RolloutTimes times;
    bool wasReleased = false;
    std::size_t started = 0;
    for (int ms = 0; ms < 6500; ms += 50) {
        const RolloutStep step =
            nextStep(rollout, servers.listed, servers.catalogue, times, at(ms));
        for (const catalogue::ServerWeights &it : step.records) {
            started += it.isLoading ? 1 : 0;
            wasReleased = wasReleased || !it.isLoading;
        }
        for (const RolloutCall &it : step.calls)
            handleAnswer(rollout, {startIdOf(it.server), it.kind, std::nullopt, std::nullopt},
                         times, at(ms));
    }
    CHECK(wasReleased);
    CHECK(started == 1);
}

TEST_CASE("departed servers are removed")
{
    Servers servers(1, 1);
    servers.catalogue.serverWeights["old@1/m"] = {"old@1", model, 1, true};
    Rollout rollout;
    const RolloutStep step =
        nextStep(rollout, servers.listed, servers.catalogue, RolloutTimes(), at(0));
    REQUIRE(step.departed.size() == 1);
    CHECK(step.departed[0] == "old@1");
}

// Guards against servers that get no requests any more after the holder of orders has ended.
TEST_CASE("a new holder takes over the servers that are recorded as loading")
{
    Servers servers(1, 1);
    servers.catalogue.weights[model] = 3;
    servers.catalogue.serverWeights["s0@0/m"] = {"s0@0", model, 1, true};
    std::size_t orders = 0;
    SUBCASE("the server has loaded the new version and is listed with it")
    {
        servers.listed[0].weights[model] = 3;
    }
    SUBCASE("the server has loaded the new version and is not listed with it yet")
    {
        servers.versions["s0@0"] = 3;
        servers.orders["s0@0"] = 1;
    }
    SUBCASE("the server was not ordered yet")
    {
        orders = 1;
    }
    Rollout rollout;
    const RolloutTimes times;
    for (int ms = 0; ms < 1'000; ms += 50)
        servers.applyStep(rollout,
                          nextStep(rollout, servers.listed, servers.catalogue, times, at(ms)),
                          times, at(ms));
    CHECK(servers.loading() == 0);
    CHECK(servers.catalogue.serverWeights.at("s0@0/m").version == 3);
    CHECK(servers.ordersSent == orders);
    CHECK(rollout.servers.empty());
}

TEST_CASE("servers that were recorded as loading count towards those that may load at a time")
{
    Servers servers(9, 1);
    servers.catalogue.weights[model] = 2;
    for (const char *it : {"s6@0", "s7@0", "s8@0"})
        servers.catalogue.serverWeights[std::string(it) + "/m"] = {it, model, 1, true};
    Rollout rollout;
    const RolloutTimes times;
    std::size_t maxLoadingSeen = 0;
    for (int ms = 0; ms < 10'000 && servers.versions.size() < 9; ms += 50) {
        servers.applyStep(rollout,
                          nextStep(rollout, servers.listed, servers.catalogue, times, at(ms)),
                          times, at(ms));
        maxLoadingSeen = std::max(maxLoadingSeen, servers.loading());
    }
    CHECK(servers.versions.size() == 9);
    CHECK(maxLoadingSeen == maxLoading(9));
}

// Guards against a record that is lost because the leadership ended before it was committed.
TEST_CASE("the end of a rollout is proposed until the catalogue has it")
{
    Servers servers(1, 1);
    servers.catalogue.weights[model] = 2;
    Rollout rollout;
    const RolloutTimes times;
    std::size_t lost = 0;
    for (int ms = 0; ms < 4'000; ms += 50) {
        RolloutStep step = nextStep(rollout, servers.listed, servers.catalogue, times, at(ms));
        const bool isEnd = !step.records.empty() && !step.records[0].isLoading;
        if (isEnd && ++lost <= 3) {
            step.records.clear();
            // By then the list has the new version.
            servers.listed[0].weights[model] = 2;
        }
        servers.applyStep(rollout, step, times, at(ms));
    }
    CHECK(lost == 4);
    CHECK(servers.loading() == 0);
    CHECK(servers.ordersSent == 1);
}

// Guards against a rollout that replaces the one of another model on the same server.
TEST_CASE("the models of a server are rolled out one after the other")
{
    Servers servers(1, 1);
    servers.listed[0].weights["n"] = 1;
    servers.catalogue.weights = {{model, 2}, {"n", 2}};
    std::map<std::string, std::uint64_t> versions{{model, 1}, {"n", 1}};
    Rollout rollout;
    const RolloutTimes times;
    std::size_t orders = 0;
    for (int ms = 0; ms < 4'000; ms += 50) {
        const RolloutStep step =
            nextStep(rollout, servers.listed, servers.catalogue, times, at(ms));
        for (const catalogue::ServerWeights &it : step.records)
            servers.catalogue.serverWeights[it.server + "/" + it.model] = it;
        CHECK(servers.loading() <= 1);
        for (const RolloutCall &it : step.calls) {
            RolloutAnswer answer{startIdOf(it.server), it.kind, std::nullopt, std::nullopt};
            if (it.kind == RolloutCall::Kind::Report) {
                answer.report.emplace();
                answer.report->weights = versions;
            } else {
                ++orders;
                versions[it.model] = it.version;
                answer.order = OrderAnswer::Accepted;
            }
            handleAnswer(rollout, answer, times, at(ms));
        }
    }
    CHECK(versions == std::map<std::string, std::uint64_t>{{model, 2}, {"n", 2}});
    CHECK(servers.loading() == 0);
    CHECK(orders == 2);
}
