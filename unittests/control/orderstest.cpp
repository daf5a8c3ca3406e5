// Tests the replication of orders and the sending of an order.

#include "cataloguemachine.h"
#include "ordercodec.h"
#include "ordersender.h"

#include "kumquathaven/catalogue/json.h"
#include "kumquathaven/runtime/httpserver.h"

#include <Poco/Net/ServerSocket.h>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <atomic>

using namespace kumquathaven;
using namespace kumquathaven::control;
using routing::OrderRefusal;

namespace {

/// The state machine of one member, driven without a log.
struct Member
{
    int fed = 0;
    CatalogueMachine machine{[this](const feed::ChangeAt &, std::size_t) {
                                 ++fed;
                             },
                             [] {}};
    StateMachine log = machine.stateMachine();
    std::uint64_t index = 0;

    OrderRefusal order(const routing::OrderCommand &command)
    {
        const std::string answer = log.apply(++index, encodeOrderCommand(command));
        return orElse(
            [&] {
                return parseOrderAnswer(answer);
            },
            [](const Error &error) {
                FAIL(error.message);
                return OrderRefusal::Busy;
            });
    }

    OrderRefusal load(const std::string &upstream, const std::string &id)
    {
        return order(routing::SendOrder{
            {{id, 1, upstream, routing::OrderKind::Load, "2", {"a", "b"}, ""}, 7}});
    }

    void putWeightStore(std::uint32_t slots)
    {
        catalogue::Upstream store;
        store.head = {"weights", "team", catalogue::ServiceClass::Standard, {}};
        store.kind = catalogue::UpstreamKind::WeightStore;
        store.address = "10.0.0.9:80";
        store.loadSlots = slots;
        catalogue::PutEntries put;
        put.entries.upstreams["weights"] = store;
        log.apply(++index, catalogue::encodeChange({"", {}, put}));
    }
};

template <typename Attempt>
bool isSuccess(Attempt attempt)
{
    return orElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(attempt());
            return true;
        },
        [](const Error &) {
            return false;
        });
}

} // namespace

TEST_CASE("orders share the log with the catalogue, which sets the number of load slots")
{
    Member member;
    CHECK(member.order(routing::TakeOver{"m1", 5}) == OrderRefusal::None);
    CHECK(member.load("a", "1") == OrderRefusal::None);
    CHECK(member.load("b", "2") == OrderRefusal::NoSlot);
    member.putWeightStore(2);
    CHECK(member.load("b", "2") == OrderRefusal::None);
    CHECK(member.load("c", "3") == OrderRefusal::NoSlot);
    CHECK(member.order(routing::CloseOrder{1, "a", "1", routing::OrderEnd::Failed})
          == OrderRefusal::None);
    CHECK(member.order(routing::CloseOrder{2, "b", "2", routing::OrderEnd::Done})
          == OrderRefusal::Fence);
    const PublishedState state = member.machine.published();
    CHECK(state.orders->holder == "m1");
    CHECK(state.orders->open.count("b") == 1);
    CHECK(state.orders->failures.at("a") == 1);
    // Only the catalogue change is fed to the entry instances; order commands are not.
    CHECK(member.fed == 1);
    CHECK(state.position == 4);
}

TEST_CASE("a snapshot has the open orders, and one of an earlier version has none")
{
    Member member;
    member.putWeightStore(3);
    member.order(routing::TakeOver{"m1", 5});
    member.load("a", "1");
    member.order(routing::CloseOrder{1, "b", "2", routing::OrderEnd::Failed});
    const std::string saved = member.log.save();
    const auto restored = [](const std::string &bytes) {
        Member other;
        CHECK(isSuccess([&] {
            return other.log.restore(bytes);
        }));
        CHECK(other.machine.published().catalogue->upstreams.at("weights").loadSlots == 3);
        return toJson(*other.machine.published().orders);
    };
    CHECK(restored(saved) == toJson(*member.machine.published().orders));
    CHECK(restored(saved)["open"][0]["adapters"] == nlohmann::json({"a", "b"}));
    nlohmann::json earlier = nlohmann::json::from_cbor(saved);
    earlier.erase(2);
    const auto bytes = nlohmann::json::to_cbor(earlier);
    CHECK(restored(std::string(bytes.begin(), bytes.end()))["fence"] == 0);
}

TEST_CASE("malformed order commands are refused and change nothing")
{
    Member member;
    member.order(routing::TakeOver{"m1", 5});
    const nlohmann::json before = toJson(*member.machine.published().orders);
    for (const char *it :
         {R"([])", R"(["takeOver"])", R"(["nothing", {}])", R"(["sendOrder", {"id": 1}])",
          R"(["closeOrder", {"fence": "x"}])", R"(["takeOver", {"holder": "m2", "source": -1}])",
          R"(["takeOver", {"holder": "m2", "source": 6.5}])"}) {
        const auto bytes = nlohmann::json::to_cbor(nlohmann::json::parse(it));
        member.log.apply(9, std::string(bytes.begin(), bytes.end()));
        CHECK(toJson(*member.machine.published().orders) == before);
    }
}

TEST_CASE("no order is sent after its permission has expired")
{
    std::atomic<int> taken{0};
    runtime::HttpServer server({}, [&](runtime::HttpExchange &exchange) {
        ++taken;
        const auto body = nlohmann::json::parse(exchange.request().body);
        const bool isOld = body.at("fence") == 1;
        exchange.reply({isOld ? 409 : 200, "application/json", {}, R"({"reason":"fence"})"});
    });
    const std::uint16_t port =
        Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0)).address().port();
    const settings::Address address{"127.0.0.1", port};
    REQUIRE(isSuccess([&] {
        return server.start(address);
    }));
    catalogue::Upstream upstream;
    upstream.address = settings::toString(address);
    routing::Order order{"1", 2, "a", routing::OrderKind::Load, "2", {}, ""};
    const TimePoint now = monotonicNow();
    CHECK(sendOrder(upstream, order, now).result == SendResult::NotSent);
    CHECK(taken == 0);
    const TimePoint later = now + std::chrono::seconds(10);
    CHECK(sendOrder(upstream, order, later).result == SendResult::Accepted);
    order.fence = 1;
    const SendReport refused = sendOrder(upstream, order, later);
    CHECK(refused.result == SendResult::Refused);
    CHECK(refused.reason == "fence");
    CHECK(taken == 2);
}
