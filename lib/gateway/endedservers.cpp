#include "endedservers.h"

#include "kumquathaven/telemetry/log.h"

#include <utility>

namespace kumquathaven::gateway {

namespace {

/// A server that neither accepts nor refuses a connection for this long is not known to have ended:
/// the path to it may be interrupted.
constexpr Duration checkTimeout = std::chrono::milliseconds(300);

} // namespace

struct EndedServers::Check
{
    explicit Check(boost::asio::io_context &loop)
        : timer(loop)
    { }

    boost::asio::steady_timer timer;
    std::shared_ptr<http::Connection> connection;
    std::uint32_t requests = 1;
};

EndedServers::EndedServers(boost::asio::io_context &loop, telemetry::Metrics &metrics)
    : m_loop(loop)
    , m_ended(metrics.counter("kumquathaven_servers_ended_total",
                              "servers that ended under requests of this instance"))
    , m_alive(metrics.counter("kumquathaven_server_connections_lost_total",
                              "servers that cut requests of this instance and did not end"))
{ }

void EndedServers::check(const Pick &pick)
{
    const auto [it, isNew] = m_checks.try_emplace(pick.start);
    if (!isNew) {
        ++it->second->requests;
        return;
    }
    const auto check = std::make_shared<Check>(m_loop);
    it->second = check;
    const std::weak_ptr<Check> weak = check;
    check->connection = http::Connection::connect(
        m_loop, pick.address, [this, weak, start = pick.start](bool isConnected) {
            if (!weak.expired())
                finish(start, isConnected);
        });
    check->timer.expires_after(checkTimeout);
    check->timer.async_wait([this, weak, start = pick.start](const boost::system::error_code &ec) {
        if (!ec && !weak.expired())
            finish(start, true);
    });
}

void EndedServers::finish(const std::string &start, bool isAlive)
{
    const auto it = m_checks.find(start);
    const std::shared_ptr<Check> check = std::exchange(it->second, nullptr);
    m_checks.erase(it);
    check->connection->close();
    (isAlive ? m_alive : m_ended).add();
    telemetry::logLine(telemetry::LogLevel::Warn, "servers",
                       isAlive ? "server cut requests" : "server ended under requests",
                       {{"server", start}, {"requests", std::to_string(check->requests)}});
}

} // namespace kumquathaven::gateway
