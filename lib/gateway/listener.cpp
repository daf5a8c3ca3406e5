#include "listener.h"

#include <algorithm>
#include <iterator>

namespace kumquathaven::gateway {

namespace {

/// Descriptors that are reserved for connections to servers, links and files.
constexpr std::size_t reservedDescriptors = 800;
constexpr int acceptsPerTurn = 32;
constexpr int backlog = 1024;

std::size_t connectionsFor(const settings::Settings &settings)
{
    const std::size_t descriptors = settings.platform->maxDescriptors;
    return std::max<std::size_t>(descriptors / 2,
                                 descriptors - std::min(descriptors, reservedDescriptors));
}

} // namespace

Listener::Listener(Gateway &gateway)
    : m_gateway(gateway)
    , m_acceptor(gateway.loop)
    , m_maxConnections(connectionsFor(gateway.settings))
{ }

Result<void> Listener::start(const settings::Address &address)
{
    using boost::asio::ip::tcp;
    boost::system::error_code ec;
    const auto host = boost::asio::ip::make_address(address.host, ec);
    const tcp::endpoint endpoint(host, address.port);
    if (!ec)
        m_acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        m_acceptor.bind(endpoint, ec);
    if (!ec)
        m_acceptor.listen(backlog, ec);
    if (!ec)
        m_acceptor.non_blocking(true, ec);
    if (ec)
        return fail({ErrorCode::Unavailable,
                     "gateway.listen",
                     settings::toString(address),
                     ec.message(),
                     Outcome::NotRun,
                     {}});
    waitForCaller();
    return {};
}

void Listener::waitForCaller()
{
    m_acceptor.async_wait(boost::asio::ip::tcp::acceptor::wait_read,
                          [this](const boost::system::error_code &ec) {
                              if (ec)
                                  return;
                              acceptAll(acceptsPerTurn);
                              waitForCaller();
                          });
}

/// Accepts the connections that wait, at most \p most.
void Listener::acceptAll(int most)
{
    for (int n = 0; n < most; ++n) {
        boost::system::error_code ec;
        boost::asio::ip::tcp::socket socket = m_acceptor.accept(ec);
        if (ec)
            return;
        // Without room the connection is closed at once, so that the caller turns to another entry.
        if (m_connections.size() >= m_maxConnections && !makeRoom())
            continue;
        auto connection = std::make_shared<CallerConnection>(
            m_gateway, std::make_shared<http::Connection>(std::move(socket)));
        m_connections.insert(connection);
        connection->start(monotonicNow());
    }
}

/// Forgets closed connections, or ends the one that has waited longest.
bool Listener::makeRoom()
{
    forgetClosed();
    if (m_connections.size() < m_maxConnections)
        return true;
    const bool isEnded = m_gateway.budget->replaceOne(&m_gateway);
    forgetClosed();
    return isEnded;
}

void Listener::forgetClosed()
{
    for (auto it = m_connections.begin(); it != m_connections.end();)
        it = (*it)->isOpen() ? std::next(it) : m_connections.erase(it);
}

void Listener::checkTimeouts(TimePoint now)
{
    for (auto it = m_connections.begin(); it != m_connections.end();)
        it = (*it)->checkTimeouts(now) ? std::next(it) : m_connections.erase(it);
}

void Listener::stopAccepting()
{
    if (!m_acceptor.is_open())
        return;
    // Closing resets the connections that wait to be accepted, although their callers may have sent
    // a request already.
    acceptAll(backlog);
    boost::system::error_code ec;
    m_acceptor.close(ec);
}

void Listener::instanceEnds()
{
    for (const auto &it : m_connections)
        it->instanceEnds();
}

bool Listener::hasQueuedOutput() const
{
    return std::any_of(m_connections.begin(), m_connections.end(), [](const auto &it) {
        return it->queuedBytes() > 0;
    });
}

void Listener::stop()
{
    stopAccepting();
    for (const auto &it : m_connections)
        it->close();
    m_connections.clear();
}

} // namespace kumquathaven::gateway
