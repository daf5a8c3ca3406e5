#include "router.h"
#include "upstreamwatch.h"

#include "kumquathaven/runtime/httpserver.h"

#include <Poco/Net/ServerSocket.h>
#include <doctest/doctest.h>

#include <atomic>
#include <thread>

using namespace kumquathaven;
using namespace kumquathaven::entry;

namespace {

constexpr Duration waitStep = std::chrono::milliseconds(5);
constexpr Duration longestWait = std::chrono::seconds(20);

template <typename Condition>
bool waitFor(Condition condition)
{
    const TimePoint until = monotonicNow() + longestWait;
    while (!condition()) {
        if (monotonicNow() > until)
            return false;
        std::this_thread::sleep_for(waitStep);
    }
    return true;
}

std::uint16_t freePort()
{
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return socket.address().port();
}

/// What a fake engine was asked for.
struct Asked
{
    std::atomic<int> streams{0};
    std::atomic<int> reports{0};
    std::atomic<bool> stopping{false};
};

/// Says hello on each event stream and then nothing more.
void answer(Asked &asked, runtime::HttpExchange &exchange)
{
    if (exchange.request().path != "/events") {
        ++asked.reports;
        exchange.reply({200, "application/json", {}, R"({"incarnation":"07"})"});
        return;
    }
    exchange.startStream(200, "text/event-stream", {});
    exchange.write("data: {\"incarnation\":\"07\"}\n\n");
    ++asked.streams;
    while (!asked.stopping && !exchange.callerGone())
        std::this_thread::sleep_for(waitStep);
}

} // namespace

TEST_CASE("a stream that was opened before the router knows its engine counts once it does")
{
    Asked engine;
    const settings::Address address{"127.0.0.1", freePort()};
    runtime::HttpServer server({}, [&](runtime::HttpExchange &exchange) {
        answer(engine, exchange);
    });
    REQUIRE(server.start(address));
    catalogue::Catalogue catalogue;
    catalogue.revision = 1;
    // The duty under test watches the second engine. That of the first would review the router.
    for (const std::string name : {"a", "e"}) {
        catalogue.upstreams[name].head.name = name;
        catalogue.upstreams[name].address = settings::toString(address);
    }
    catalogue::Snapshot snapshot;
    snapshot.catalogue = std::make_shared<catalogue::Catalogue>(catalogue);
    catalogue::View view;
    view.offer(snapshot);
    const settings::Settings settings;
    telemetry::Metrics metrics;
    UpstreamTable table;
    KvTransfer kv(metrics);
    Router router(settings, view, table, kv);
    runtime::StopSignal stop;
    std::thread watch([&] {
        watchUpstreams(router, view, {1, 2}, stop);
    });
    CHECK(waitFor([&] {
        return engine.streams > 0;
    }));
    // The duty reads the stream between its reports.
    constexpr int twoRounds = 6;
    const int before = engine.reports;
    CHECK(waitFor([&] {
        return engine.reports >= before + twoRounds;
    }));
    router.review();
    CHECK(waitFor([&] {
        bool isStreaming = false;
        router.with("e", [&](routing::Fleet &fleet, routing::Slot slot) {
            isStreaming = fleet.upstreams[slot].streaming;
        });
        return isStreaming;
    }));
    stop.request();
    watch.join();
    engine.stopping = true;
}
