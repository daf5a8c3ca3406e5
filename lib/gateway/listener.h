// Accepts callers' connections and closes those that wait for too long.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_LISTENER_H
#define KUMQUATHAVEN_LIB_GATEWAY_LISTENER_H

#include "callerconnection.h"
#include "gateway.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <set>

namespace kumquathaven::gateway {

/// Used on the loop's thread only, but for start().
class Listener
{
public:
    explicit Listener(Gateway &gateway);
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    /// Listens on an address. Fails with Unavailable if it is taken.
    Result<void> start(const settings::Address &address);

    /// Closes what callers left open, or let wait for too long.
    void checkTimeouts(TimePoint now);

    /// Accepts no more connections.
    void stopAccepting();

    /// Accepts no more connections and closes all.
    void stop();

    std::size_t connections() const { return m_connections.size(); }

private:
    void waitForCaller();
    void acceptAll();

    Gateway &m_gateway;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<CallerConnection>> m_connections;
    const std::size_t m_maxConnections;
};

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_LISTENER_H
