#include "kumquathaven/runtime/httpclient.h"
#include "kumquathaven/runtime/httpserver.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::runtime;

namespace {

settings::Address freeAddress()
{
    Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return {"127.0.0.1", socket.address().port()};
}

ServerBounds smallBounds()
{
    ServerBounds bounds;
    bounds.maxBodyBytes = 1000;
    bounds.idle = std::chrono::seconds(5);
    bounds.wholeRequest = std::chrono::milliseconds(300);
    return bounds;
}

struct Fixture
{
    settings::Address address = freeAddress();
    HttpServer server;

    explicit Fixture(HttpHandler handler)
        : server(smallBounds(), std::move(handler))
    {
        REQUIRE(server.start(address));
    }

    HttpReply get(const std::string &method, const std::string &body)
    {
        return orElse(
            [&] {
                return fetch(address, method, "/p?a=1", {}, body, {}, 100000);
            },
            [](const Error &e) {
                return HttpReply{0, describe(e), {}, {}};
            });
    }
};

void echo(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    exchange.reply({200, "text/plain", {{"X-Path", request.path}}, request.query + request.body});
}

// Sends raw bytes and returns how long the server kept the connection open.
Duration holdsConnection(const settings::Address &address, const std::string &bytes)
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(address.host, address.port));
    socket.setReceiveTimeout(Poco::Timespan(5, 0));
    const TimePoint start = monotonicNow();
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    char buf[1024];
    while (socket.receiveBytes(buf, sizeof(buf)) > 0) { }
    return monotonicNow() - start;
}

} // namespace

TEST_CASE("a request and its answer pass whole")
{
    Fixture fixture(echo);
    const HttpReply reply = fixture.get("POST", "body");
    CHECK(reply.status == 200);
    CHECK(reply.body == "a=1body");
    CHECK(headerValue(reply.headers, "x-path") == "/p");
}

TEST_CASE("a body over the bound gets a clear error")
{
    Fixture fixture(echo);
    const HttpReply reply = fixture.get("POST", std::string(2000, 'x'));
    CHECK(reply.status == 413);
    CHECK(reply.body.find("\"code\":\"tooLarge\"") != std::string::npos);
    CHECK(reply.body.find("\"outcome\":\"notRun\"") != std::string::npos);
}

TEST_CASE("an exception in a handler is an error answer and the server goes on")
{
    Fixture fixture([](HttpExchange &exchange) {
        if (exchange.request().body == "throw")
            throw std::runtime_error("expected");
        echo(exchange);
    });
    CHECK(fixture.get("POST", "throw").status == 500);
    CHECK(fixture.get("POST", "x").status == 200);
}

TEST_CASE("a streamed answer arrives part by part, and its caller's leaving is seen")
{
    std::atomic<bool> sawLeave{false};
    Fixture fixture([&](HttpExchange &exchange) {
        exchange.startStream(200, "text/event-stream", {});
        exchange.write("one");
        for (int n = 0; n < 300 && !exchange.callerGone(); ++n)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        sawLeave = exchange.callerGone();
    });
    {
        HttpCall call(fixture.address, {});
        REQUIRE(call.connect());
        REQUIRE(call.send("GET", "/", {}, ""));
        REQUIRE(call.readHead());
        const ReadPart part = call.read(std::chrono::seconds(5)).value();
        CHECK(part.data == "one");
        CHECK(call.read(Duration(1000)).value().state == ReadState::Timeout);
    }
    for (int n = 0; n < 300 && !sawLeave; ++n)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    CHECK(sawLeave);
}

TEST_CASE("slow and silent peers are cut")
{
    Fixture fixture(echo);
    for (const std::string &it :
         {std::string(), std::string("GET / HTTP/1.1\r\nA:"), std::string("G")}) {
        CAPTURE(it);
        const Duration held = holdsConnection(fixture.address, it);
        CHECK(held < std::chrono::seconds(4));
    }
}

TEST_CASE("a call uses the one connection that connect() opened")
{
    Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    socket.setReceiveTimeout(Poco::Timespan(5, 0));
    HttpCall call({"127.0.0.1", socket.address().port()}, {});
    REQUIRE(call.connect());
    Poco::Net::StreamSocket peer = socket.acceptConnection();
    peer.setReceiveTimeout(Poco::Timespan(5, 0));
    REQUIRE(call.send("POST", "/", {}, ""));
    char buf[1024];
    CHECK(peer.receiveBytes(buf, sizeof(buf)) > 0);
}

TEST_CASE("a refused connection is an error with outcome notRun")
{
    const settings::Address address = freeAddress();
    const std::string text = orElse(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(fetch(address, "GET", "/", {}, "", {}, 10));
            return std::string();
        },
        [](const Error &e) {
            return e.step + " " + std::string(outcomeName(e.outcome)) + " " + e.peer;
        });
    CHECK(text == "upstream.connect notRun " + settings::toString(address));
}

namespace {

/// A peer that accepts one connection and runs a function on it.
class Peer
{
public:
    explicit Peer(const std::function<void(Poco::Net::StreamSocket &)> &run)
        : m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_thread([this, run] {
            Poco::Net::StreamSocket connection = m_socket.acceptConnection();
            connection.setReceiveTimeout(Poco::Timespan(5, 0));
            try {
                run(connection);
            } catch (const Poco::Exception &) {
                // The caller has closed the connection.
            }
        })
    { }
    ~Peer() { m_thread.join(); }

    settings::Address address() const { return {"127.0.0.1", m_socket.address().port()}; }

private:
    Poco::Net::ServerSocket m_socket;
    std::thread m_thread;
};

std::string failureOf(const settings::Address &address, const CallTimeouts &timeouts,
                      const std::function<bool()> &maySend = {})
{
    return orElse(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(fetch(address, "POST", "/", {}, "x", timeouts, 1'000'000, maySend));
            return std::string();
        },
        [](const Error &e) {
            return std::string(errorCodeName(e.code)) + " " + std::string(outcomeName(e.outcome));
        });
}

} // namespace

TEST_CASE("an answer whose bytes come one by one is given up when the whole call takes too long")
{
    for (const std::string head : {"HTTP/1.1 200 OK\r\nA: ", "HTTP/1.1 200 OK\r\n\r\n", ""}) {
        CAPTURE(head);
        const Peer peer([&](Poco::Net::StreamSocket &it) {
            it.sendBytes(head.data(), static_cast<int>(head.size()));
            for (int n = 0; n < 100; ++n) {
                it.sendBytes("x", 1);
                std::this_thread::sleep_for(std::chrono::milliseconds(50));
            }
        });
        CallTimeouts timeouts;
        timeouts.silence = std::chrono::seconds(2);
        timeouts.total = std::chrono::milliseconds(400);
        const TimePoint begun = monotonicNow();
        CHECK(!failureOf(peer.address(), timeouts).empty());
        CHECK(monotonicNow() - begun < std::chrono::seconds(2));
    }
}

TEST_CASE("an answer whose status is none is an error")
{
    for (const std::string status : {"000", "099", "101", "102", "600", "999", "1000", "2xx"}) {
        CAPTURE(status);
        const Peer peer([&](Poco::Net::StreamSocket &it) {
            const std::string answer =
                "HTTP/1.1 " + status + " None\r\nContent-Length: 2\r\n\r\nab";
            it.sendBytes(answer.data(), static_cast<int>(answer.size()));
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        });
        CHECK(failureOf(peer.address(), {}) == "upstreamFailed unknown");
    }
}

TEST_CASE("a call that may not be sent any more once its connection stands sends no byte")
{
    std::atomic<int> received{-1};
    {
        const Peer peer([&](Poco::Net::StreamSocket &it) {
            char buf[100];
            received = it.receiveBytes(buf, sizeof(buf));
        });
        CHECK(failureOf(peer.address(), {},
                        [] {
                            return false;
                        })
              == "cancelled notRun");
    }
    CHECK(received == 0);
}

// Guards against an error in the middle of a streamed answer.
TEST_CASE("a second answer cuts the first one, which does not look complete")
{
    Fixture fixture([](HttpExchange &exchange) {
        exchange.startStream(200, "text/event-stream", {});
        exchange.write("one");
        CHECK_FALSE(exchange.reply({502, "text/plain", {}, "two"}));
    });
    Poco::Net::StreamSocket socket(
        Poco::Net::SocketAddress(fixture.address.host, fixture.address.port));
    socket.setReceiveTimeout(Poco::Timespan(5, 0));
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    std::string received;
    char buf[1024];
    for (int n = socket.receiveBytes(buf, sizeof(buf)); n > 0;
         n = socket.receiveBytes(buf, sizeof(buf)))
        received.append(buf, static_cast<std::size_t>(n));
    CHECK(received.find("one") != std::string::npos);
    CHECK(received.find("two") == std::string::npos);
    CHECK(received.find("0\r\n\r\n") == std::string::npos);
}

// Guards against requests that a stopping server takes just before it cuts all.
TEST_CASE("a server that stops takes no request in the second half of its time")
{
    const auto time = std::chrono::milliseconds(2000);
    std::atomic<bool> isHeld{true};
    ServerBounds bounds = smallBounds();
    bounds.wholeRequest = bounds.idle;
    const settings::Address at = freeAddress();
    HttpServer server(bounds, [&](HttpExchange &exchange) {
        while (exchange.request().path == "/long" && isHeld)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        echo(exchange);
    });
    REQUIRE(server.start(at));
    const auto statusOf = [&](Poco::Net::StreamSocket &socket, const std::string &path) {
        const std::string request = "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
        socket.sendBytes(request.data(), static_cast<int>(request.size()));
        char buf[1024];
        const int got = socket.receiveBytes(buf, sizeof(buf));
        const std::string text(buf, static_cast<std::size_t>(std::max(0, got)));
        return text.size() < 12 ? std::string("none") : text.substr(9, 3);
    };
    const Poco::Net::SocketAddress address(at.host, at.port);
    Poco::Net::StreamSocket first(address);
    Poco::Net::StreamSocket early(address);
    Poco::Net::StreamSocket late(address);
    std::string firstStatus;
    std::thread caller([&] {
        firstStatus = statusOf(first, "/long");
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    std::thread stopping([&] {
        server.stop(time);
    });
    std::this_thread::sleep_for(time / 16);
    CHECK(statusOf(early, "/p") == "200");
    std::this_thread::sleep_for(time / 2);
    CHECK(statusOf(late, "/p") == "503");
    isHeld = false;
    caller.join();
    stopping.join();
    CHECK(firstStatus == "200");
}

// Guards against requests that are handled and then cut when the server stops.
TEST_CASE("a server that stops cuts no request that it handles, on connections that stay in use")
{
    std::atomic<int> handled{0};
    std::atomic<int> answered{0};
    std::atomic<bool> isOver{false};
    Fixture fixture([&](HttpExchange &exchange) {
        ++handled;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        echo(exchange);
    });
    constexpr std::size_t callerCount = 6;
    std::vector<std::thread> callers;
    callers.reserve(callerCount);
    for (std::size_t n = 0; n < callerCount; ++n)
        callers.emplace_back([&] {
            const std::string request = "GET /p?a=1 HTTP/1.1\r\nHost: a\r\n\r\n";
            // Uses a connection for as long as the server keeps it, then another one.
            while (!isOver) {
                try {
                    Poco::Net::StreamSocket socket(
                        Poco::Net::SocketAddress(fixture.address.host, fixture.address.port));
                    socket.setReceiveTimeout(Poco::Timespan(5, 0));
                    bool isOpen = true;
                    while (isOpen) {
                        socket.sendBytes(request.data(), static_cast<int>(request.size()));
                        char buf[1024];
                        const int got = socket.receiveBytes(buf, sizeof(buf));
                        const std::string text(buf, static_cast<std::size_t>(std::max(0, got)));
                        answered += text.find(" 200 ") != std::string::npos ? 1 : 0;
                        isOpen = got > 0 && text.find("Connection: Close") == std::string::npos;
                    }
                } catch (const Poco::Exception &) {
                    std::this_thread::sleep_for(std::chrono::milliseconds(1));
                }
            }
        });
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    const TimePoint begun = monotonicNow();
    fixture.server.stop(std::chrono::seconds(2));
    CHECK(monotonicNow() - begun < std::chrono::seconds(1));
    isOver = true;
    for (std::thread &it : callers)
        it.join();
    CHECK(handled > 12);
    CHECK(answered == handled);
}

TEST_CASE("callers that read no answers give way to one that does")
{
    ServerBounds bounds = smallBounds();
    bounds.maxThreads = 1;
    bounds.maxConnections = 4;
    bounds.idle = bounds.wholeRequest = std::chrono::seconds(30);
    const settings::Address address = freeAddress();
    HttpServer server(bounds, [](HttpExchange &exchange) {
        exchange.reply({200, "text/plain", {}, std::string(100000, 'x')});
    });
    REQUIRE(server.start(address));
    std::string requests;
    for (int n = 0; n < 200; ++n)
        requests += "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    std::vector<Poco::Net::StreamSocket> crowd;
    for (int n = 0; n < 8; ++n) {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(address.host, address.port));
        socket.sendBytes(requests.data(), static_cast<int>(requests.size()));
        crowd.push_back(socket);
    }
    const int status = orElse(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(reply, fetch(address, "GET", "/", {}, "", {}, 200000));
            return reply.status;
        },
        [](const Error &) {
            return 0;
        });
    CHECK(status == 200);
}
