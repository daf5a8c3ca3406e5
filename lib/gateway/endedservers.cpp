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
    Check(boost::asio::io_context &loop, TimePoint now)
        : timer(loop)
        , cutAt(now)
    { }

    boost::asio::steady_timer timer;
    std::shared_ptr<http::Connection> connection;
    TimePoint cutAt;
    /// Subjects of the requests that were cut.
    std::vector<std::vector<std::string>> requests;
    std::vector<Result> results;
};

EndedServers::EndedServers(boost::asio::io_context &loop, telemetry::Metrics &metrics, Ended ended)
    : m_loop(loop)
    , m_onEnded(std::move(ended))
    , m_ended(metrics.counter("kumquathaven_servers_ended_total",
                              "servers that ended under requests of this instance"))
    , m_alive(metrics.counter("kumquathaven_server_connections_lost_total",
                              "servers that cut requests of this instance and did not end"))
{ }

void EndedServers::check(const Pick &pick, const std::vector<std::string> &subjects, TimePoint now)
{
    startCheck(pick, now).requests.push_back(subjects);
}

void EndedServers::ask(const Pick &pick, Result result, TimePoint now)
{
    startCheck(pick, now).results.push_back(std::move(result));
}

/// Returns the running check of a server, or starts one.
EndedServers::Check &EndedServers::startCheck(const Pick &pick, TimePoint now)
{
    const auto running = m_checks.find(pick.start);
    if (running != m_checks.end())
        return *running->second;
    const auto check = std::make_shared<Check>(m_loop, now);
    m_checks[pick.start] = check;
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
    return *check;
}

void EndedServers::finish(const std::string &start, bool isAlive)
{
    const auto it = m_checks.find(start);
    const std::shared_ptr<Check> check = std::exchange(it->second, nullptr);
    m_checks.erase(it);
    check->connection->close();
    if (!check->requests.empty()) {
        (isAlive ? m_alive : m_ended).add();
        telemetry::logLine(
            telemetry::LogLevel::Warn, "servers",
            isAlive ? "server cut requests" : "server ended under requests",
            {{"server", start}, {"requests", std::to_string(check->requests.size())}});
        if (!isAlive)
            m_onEnded(start, check->cutAt, check->requests);
    }
    for (const Result &result : check->results)
        result(!isAlive);
}

} // namespace kumquathaven::gateway
