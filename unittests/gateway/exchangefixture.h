// Runs exchanges of a gateway over loopback connections. The test plays the servers and the
// callers.

#ifndef KUMQUATHAVEN_UNITTESTS_GATEWAY_EXCHANGEFIXTURE_H
#define KUMQUATHAVEN_UNITTESTS_GATEWAY_EXCHANGEFIXTURE_H

#include "callerconnection.h"
#include "gateway.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace gatewaytest {

using namespace kumquathaven;
using namespace kumquathaven::gateway;

/// One end of a connection, which the test plays.
class Peer
{
public:
    explicit Peer(boost::asio::ip::tcp::socket socket);

    /// Sends as many bytes as the other end takes now. Returns their number; zero if the connection
    /// has ended.
    std::size_t send(const std::string &bytes);
    /// Ends the connection in order, or by a reset.
    void close();
    void reset();

    /// Adds what has arrived to received.
    void readAvailable();
    /// Removes the first request from received and returns it; empty if none is complete.
    std::string takeRequest();

    std::string received;
    bool hasEnded = false;

private:
    boost::asio::ip::tcp::socket m_socket;
};

/// A server that answers requests as the test says.
class TestServer
{
public:
    TestServer(boost::asio::io_context &loop, std::string id);

    /// Accepts connections, and answers the requests that have arrived.
    void poll();
    /// Resets all connections and refuses new ones.
    void cut();
    /// Closes all connections in order and refuses new ones.
    void end();

    deployment::ListedServer listed(const std::string &service, std::uint64_t weights) const;

    const std::string id;
    /// Called with the connection and the request.
    std::function<void(Peer &, const std::string &)> answer;
    std::vector<std::string> requests;
    bool isCut = false;
    std::vector<std::unique_ptr<Peer>> connections;

private:
    boost::asio::io_context &m_loop;
    /// Holds the port of a server that has ended, so that no other program answers there.
    boost::asio::ip::tcp::socket m_reserved;
    boost::asio::ip::tcp::endpoint m_address;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

/// Settings of an instance on a platform.
settings::Settings platformSettings();
/// A dialect whose fields are "Id" of requests and answers, "Timeout" in milliseconds, "Key",
/// "Prompt" with the ids of parts of 100 tokens, "Scope", "Resume" and "Not-Run". Refusals are 503
/// for what has not run, else 502.
deployment::Dialect testDialect();

/// A gateway with a plain service "app" and an engine service "lm". Routes: "read" (idempotent),
/// "write" (not idempotent), "ask" (resumable streams) and "review" (others), each under a path of
/// its name.
class ExchangeFixture
{
public:
    /// Adds that many servers to each service.
    explicit ExchangeFixture(std::size_t servers = 2);

    /// Connects a caller.
    Peer &connect();
    /// Returns a request of a route; further fields end with line breaks.
    static std::string request(const std::string &route, const std::string &id,
                               const std::string &fields = {});
    /// Runs everything until the condition holds, for \p maxTime at most. Returns whether it holds.
    bool runUntil(const std::function<bool()> &condition,
                  Duration maxTime = std::chrono::seconds(3));

    void runFor(Duration time);
    /// Runs what is due now.
    void runOnce();

    settings::Settings settings = platformSettings();
    deployment::Dialect dialect = testDialect();
    telemetry::Metrics metrics;
    TokenLimits limits{0};
    Gateway gateway{settings, dialect, metrics, limits};
    std::vector<std::unique_ptr<TestServer>> apps;
    std::vector<std::unique_ptr<TestServer>> engines;
    std::vector<std::shared_ptr<CallerConnection>> connections;

private:
    boost::asio::ip::tcp::acceptor m_listener{gateway.loop,
                                              {boost::asio::ip::address_v4::loopback(), 0}};
    std::vector<std::unique_ptr<Peer>> m_callers;
};

/// Returns the number of times that a text contains another one.
std::size_t countOf(const std::string &text, const std::string &part);

/// Returns an answer with a body of known length; further fields end with line breaks.
std::string wholeAnswer(int status, const std::string &fields, const std::string &body);
/// Returns the head of a stream in chunks, and an event in a chunk of its own.
std::string streamHead(const std::string &id);
std::string streamEvent(int n);
/// Returns the value of a field of a request; empty if it has none.
std::string fieldOf(const std::string &request, const std::string &name);

} // namespace gatewaytest

#endif // KUMQUATHAVEN_UNITTESTS_GATEWAY_EXCHANGEFIXTURE_H
