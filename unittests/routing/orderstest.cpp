#include "kumquathaven/routing/orders.h"
#include "kumquathaven/base/random.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace kumquathaven;
using namespace kumquathaven::routing;
using std::chrono::seconds;

namespace {

constexpr TimePoint start{seconds(100)};

/// The replicated state and its current holder.
struct Issuer
{
    OrderState state;
    HolderMemory memory;
    OrderPolicy policy;

    void takeOver(TimePoint now)
    {
        REQUIRE(apply(state, TakeOver{"m", state.fence + 1}, policy.loadSlots)
                == OrderRefusal::None);
        memory = {};
        memory.fence = state.fence;
        memory.takenOverAt = now;
    }

    /// Plans the next commands and applies them. Returns the orders that may be sent.
    std::vector<Order> advance(const std::map<std::string, Desired> &desired,
                               const std::map<std::string, Observed> &observed, TimePoint now)
    {
        std::vector<Order> orders;
        for (const auto &it : planOrders(state, memory, desired, observed, policy, now)) {
            const bool isGranted = apply(state, it, policy.loadSlots) == OrderRefusal::None;
            const auto *send = std::get_if<SendOrder>(&it);
            if (send && isGranted) {
                recordSent(memory, send->open.order, now);
                orders.push_back(send->open.order);
            }
        }
        return orders;
    }
};

/// A model of an upstream that receives orders. A restart drops its order ids and fencing number.
struct Server
{
    Observed state{1, "1", {}, "mixed", false};
    Duration loadTime = seconds(20);
    TimePoint loadedAt{};
    std::string loadingVersion;
    std::set<std::string> applied;
    std::uint64_t highestFence = 0;
    std::vector<std::string> loads;

    void receive(const Order &order, bool checks, TimePoint now)
    {
        if (checks && order.fence < highestFence)
            return;
        highestFence = std::max(highestFence, order.fence);
        const bool isBusy = order.kind == OrderKind::Load && state.loading;
        if (applied.count(order.id) > 0 || isBusy)
            return;
        applied.insert(order.id);
        if (order.kind == OrderKind::Role) {
            state.role = order.role;
            return;
        }
        loads.push_back(order.weightsVersion);
        state.loading = true;
        loadingVersion = order.weightsVersion;
        loadedAt = now + loadTime;
    }

    void advance(TimePoint now)
    {
        if (!state.loading || now < loadedAt)
            return;
        state.loading = false;
        state.weightsVersion = loadingVersion;
    }

    void restart()
    {
        state = {state.incarnation + 1, "1", {}, "mixed", false};
        applied.clear();
        highestFence = 0;
    }
};

/// A fleet with one issuer. Its orders are lost, delayed, duplicated and reordered, and its holder
/// may be replaced while orders are in flight.
struct Fleet
{
    Random random;
    Issuer issuer;
    std::map<std::string, Server> servers;
    std::map<std::string, Desired> desired;
    std::vector<std::pair<TimePoint, Order>> inFlight;
    TimePoint now = start;

    explicit Fleet(std::uint64_t seed)
        : random(seed)
    {
        issuer.policy.loadSlots = seed % 2 == 0 ? 2 : 3;
        for (int n = 0; n < 9; ++n) {
            const std::string name = "s" + std::to_string(n);
            // Short loads end before delayed copies of their orders arrive.
            servers[name].loadTime = seconds(n % 2 == 0 ? 20 : 1);
            desired[name] = {"m", "2", {}, n % 3 == 0 ? "prefill" : "mixed", n % 2 == 0, false};
        }
        issuer.takeOver(now);
    }

    void send(const Order &order)
    {
        // The holder may send the order as late as its lease permits, and then the delivery takes
        // time.
        const auto maximum = issuer.policy.lease + issuer.policy.maxDeliveryDelay;
        const auto bound = static_cast<std::uint64_t>(maximum.count());
        if (random.below(4) != 0)
            inFlight.emplace_back(now + Duration(random.below(bound)), order);
        if (random.below(4) == 0)
            inFlight.emplace_back(now + Duration(random.below(bound)), order);
    }

    void deliver()
    {
        for (auto it = inFlight.begin(); it != inFlight.end();) {
            if (it->first > now) {
                ++it;
                continue;
            }
            const std::string &name = it->second.upstream;
            servers[name].receive(it->second, desired[name].checksFencing, now);
            it = inFlight.erase(it);
        }
    }

    std::uint32_t step()
    {
        now += seconds(1);
        if (random.below(60) == 0)
            issuer.takeOver(now);
        std::map<std::string, Observed> observed;
        for (const auto &it : servers)
            observed[it.first] = it.second.state;
        for (const Order &it : issuer.advance(desired, observed, now))
            send(it);
        deliver();
        std::uint32_t loading = 0;
        for (auto &it : servers) {
            it.second.advance(now);
            loading += it.second.state.loading ? 1 : 0;
        }
        return loading;
    }
};

} // namespace

TEST_CASE("fencing numbers only grow, and a former holder changes nothing")
{
    Issuer issuer;
    issuer.takeOver(start);
    const OpenOrder open{{"1", 1, "a", OrderKind::Load, "2", {}, ""}, 1};
    REQUIRE(apply(issuer.state, SendOrder{open}, 1) == OrderRefusal::None);
    issuer.takeOver(start);
    CHECK(issuer.state.fence == 2);
    OpenOrder other = open;
    other.order.upstream = "b";
    CHECK(apply(issuer.state, SendOrder{open}, 9) == OrderRefusal::Fence);
    CHECK(apply(issuer.state, SendOrder{other}, 9) == OrderRefusal::Fence);
    CHECK(apply(issuer.state, CloseOrder{1, "a", "1", OrderEnd::Done}, 9) == OrderRefusal::Fence);
    CHECK(issuer.state.open.size() == 1);
    CHECK(issuer.state.open.at("a").order.fence == 1);
}

TEST_CASE("the state keeps to the load slots and to one order for each upstream")
{
    Issuer issuer;
    issuer.takeOver(start);
    const auto send = [&](const std::string &upstream, const std::string &id, OrderKind kind) {
        return apply(issuer.state, SendOrder{{{id, 1, upstream, kind, "2", {}, "r"}, 1}}, 2);
    };
    CHECK(send("a", "1", OrderKind::Load) == OrderRefusal::None);
    CHECK(send("a", "1", OrderKind::Load) == OrderRefusal::None);
    CHECK(send("a", "2", OrderKind::Role) == OrderRefusal::Busy);
    CHECK(send("b", "3", OrderKind::Load) == OrderRefusal::None);
    CHECK(send("c", "4", OrderKind::Load) == OrderRefusal::NoSlot);
    CHECK(send("c", "5", OrderKind::Role) == OrderRefusal::None);
    CHECK(openLoads(issuer.state) == 2);
    for (int n = 0; n < 2; ++n)
        CHECK(apply(issuer.state, CloseOrder{1, "a", "1", OrderEnd::Failed}, 2)
              == OrderRefusal::None);
    CHECK(issuer.state.failures.at("a") == 1);
    CHECK(send("d", "6", OrderKind::Load) == OrderRefusal::None);
}

TEST_CASE("upstreams that ignore fencing get no order until those of earlier holders have expired")
{
    const std::map<std::string, Desired> desired = {{"checks", {"m", "2", {}, "", true, false}},
                                                    {"ignores", {"n", "2", {}, "", false, false}}};
    const std::map<std::string, Observed> observed = {{"checks", {1, "1", {}, "", false}},
                                                      {"ignores", {1, "1", {}, "", false}}};
    Issuer issuer;
    issuer.policy.loadSlots = 2;
    issuer.takeOver(start);
    CHECK(issuer.advance(desired, observed, start).size() == 2);
    // The order to the upstream that checks fencing numbers is resent at once under the new number.
    issuer.takeOver(start);
    const auto first = issuer.advance(desired, observed, start);
    REQUIRE(first.size() == 1);
    CHECK(first[0].upstream == "checks");
    CHECK(first[0].fence == 2);
    const TimePoint settled = start + issuer.policy.lease + issuer.policy.maxDeliveryDelay;
    for (const Order &it : issuer.advance(desired, observed, settled - Duration(1)))
        CHECK(it.upstream == "checks");
    bool isOrdered = false;
    for (const Order &it : issuer.advance(desired, observed, settled))
        isOrdered = isOrdered || it.upstream == "ignores";
    CHECK(isOrdered);
}

TEST_CASE(
    "random histories load each desired version once on each upstream, in order, within the slots")
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        Fleet fleet(seed);
        for (int step = 0; step < 1500; ++step) {
            if (step == 40) {
                for (auto &it : fleet.desired)
                    it.second.weightsVersion = "3";
            }
            CHECK(fleet.step() <= fleet.issuer.policy.loadSlots);
        }
        for (const auto &it : fleet.servers) {
            const std::string &name = it.first;
            const Server &server = it.second;
            CAPTURE(name);
            CHECK(server.state.weightsVersion == "3");
            CHECK(server.state.role == fleet.desired[name].role);
            CHECK(server.loads.size() <= 2);
            CHECK(std::is_sorted(server.loads.begin(), server.loads.end()));
            CHECK(std::set<std::string>(server.loads.begin(), server.loads.end()).size()
                  == server.loads.size());
        }
        CHECK(fleet.issuer.state.open.empty());
    }
}

TEST_CASE("no order for an earlier version reaches a restarted upstream after a later one")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        Fleet fleet(seed);
        for (int step = 0; step < 400; ++step) {
            // The desired version changes, upstreams restart and the holder is replaced at once.
            if (step == 5) {
                for (auto &it : fleet.desired)
                    it.second.weightsVersion = "3";
                for (auto &it : fleet.servers)
                    it.second.restart();
                fleet.issuer.takeOver(fleet.now);
            }
            fleet.step();
        }
        for (const auto &it : fleet.servers) {
            const std::string &name = it.first;
            const Server &server = it.second;
            CAPTURE(name);
            CHECK(server.state.weightsVersion == "3");
            CHECK(std::is_sorted(server.loads.begin(), server.loads.end()));
        }
    }
}

TEST_CASE("a restarted upstream gets a new order once the earlier one must have arrived")
{
    const std::map<std::string, Desired> desired = {{"a", {"m", "2", {}, "", true, false}}};
    std::map<std::string, Observed> observed = {{"a", {1, "1", {}, "", false}}};
    Issuer issuer;
    issuer.takeOver(start);
    const auto first = issuer.advance(desired, observed, start);
    REQUIRE(first.size() == 1);
    observed["a"].incarnation = 2;
    CHECK(issuer.advance(desired, observed, start + issuer.policy.maxDeliveryDelay).empty());
    CHECK(issuer.state.open.size() == 1);
    const TimePoint later = start + issuer.policy.maxDeliveryDelay + Duration(1);
    CHECK(issuer.advance(desired, observed, later).empty());
    const auto second = issuer.advance(desired, observed, later);
    REQUIRE(second.size() == 1);
    CHECK(second[0].id != first[0].id);
}

TEST_CASE("a failed load releases its slot, and is retried under another id after a pause")
{
    const std::map<std::string, Desired> desired = {{"a", {"m", "2", {}, "", true, false}},
                                                    {"b", {"n", "2", {}, "", true, false}}};
    std::map<std::string, Observed> observed = {{"a", {1, "1", {}, "", false}},
                                                {"b", {1, "1", {}, "", false}}};
    Issuer issuer;
    issuer.takeOver(start);
    const auto first = issuer.advance(desired, observed, start);
    REQUIRE(first.size() == 1);
    SUBCASE("the upstream was observed loading")
    {
        observed["a"].loading = true;
    }
    SUBCASE("the upstream accepted the order and was never observed loading")
    {
        recordAccepted(issuer.memory, first[0]);
    }
    TimePoint now = start + seconds(1);
    CHECK(issuer.advance(desired, observed, now).empty());
    observed["a"].loading = false;
    now = start + issuer.policy.maxDeliveryDelay + Duration(1);
    CHECK(issuer.advance(desired, observed, now).empty());
    CHECK(issuer.state.failures.at("a") == 1);
    const auto next = issuer.advance(desired, observed, now);
    REQUIRE(next.size() == 1);
    CHECK(next[0].upstream == "b");
    observed["b"].weightsVersion = "2";
    issuer.advance(desired, observed, now);
    CHECK(issuer.advance(desired, observed, now).empty());
    const auto again = issuer.advance(desired, observed, now + issuer.policy.retryPause);
    REQUIRE(again.size() == 1);
    CHECK(again[0].id != first[0].id);
}

TEST_CASE("an order without an observed effect releases its slot after the maximum load time")
{
    const std::map<std::string, Desired> desired = {{"a", {"m", "2", {}, "", true, false}}};
    std::map<std::string, Observed> observed = {{"a", {1, "1", {}, "", false}}};
    Issuer issuer;
    issuer.takeOver(start);
    REQUIRE(issuer.advance(desired, observed, start).size() == 1);
    SUBCASE("the upstream is unreachable")
    {
        observed.clear();
    }
    SUBCASE("the upstream never finishes loading")
    {
        observed["a"].loading = true;
    }
    issuer.advance(desired, observed, start + issuer.policy.maxLoadTime);
    CHECK(openLoads(issuer.state) == 1);
    issuer.advance(desired, observed, start + issuer.policy.maxLoadTime + Duration(1));
    CHECK(openLoads(issuer.state) == 0);
}

TEST_CASE("half of a model's upstreams keep serving while others load")
{
    struct Row
    {
        int listed;
        int leaving;
        std::size_t ordered;
    };
    for (const Row &row : {Row{1, 0, 1}, Row{2, 0, 1}, Row{3, 0, 1}, Row{6, 0, 3}, Row{2, 1, 2}}) {
        CAPTURE(row.listed);
        Issuer issuer;
        issuer.policy.loadSlots = 9;
        issuer.takeOver(start);
        std::map<std::string, Desired> desired;
        std::map<std::string, Observed> observed;
        for (int n = 0; n < row.listed; ++n) {
            const std::string name = "s" + std::to_string(n);
            desired[name] = {"m", "2", {}, "", true, n < row.leaving};
            observed[name] = {1, "1", {}, "", false};
        }
        CHECK(issuer.advance(desired, observed, start).size() == row.ordered);
        CHECK(issuer.advance(desired, observed, start).empty());
    }
}
