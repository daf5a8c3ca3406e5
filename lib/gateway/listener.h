// Accepts callers' connections and closes those that time out.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_LISTENER_H
#define KUMQUATHAVEN_LIB_GATEWAY_LISTENER_H

#include "callerconnection.h"
#include "gateway.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <set>

namespace kumquathaven::gateway {

/// Used on the loop's thread only, except for start().
class Listener
{
public:
    explicit Listener(Gateway &gateway);
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    /// Listens on an address. Fails with Unavailable if the address is in use.
    Result<void> start(const settings::Address &address);

    /// Closes connections that are idle or whose requests arrive too slowly.
    void checkTimeouts(TimePoint now);

    /// Stops accepting connections. Open ones are kept.
    void stopAccepting();

    /// Called shortly before this instance ends. Answers the requests that are still running with
    /// an error.
    void instanceEnds();

    /// Returns whether a part of any answer has not been sent yet.
    bool hasQueuedOutput() const;

    /// Stops accepting connections and closes all open ones.
    void stop();

    std::size_t connections() const { return m_connections.size(); }

private:
    void waitForCaller();
    void acceptAll(int most);
    bool makeRoom();
    void forgetClosed();

    Gateway &m_gateway;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<CallerConnection>> m_connections;
    const std::size_t m_maxConnections;
};

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_LISTENER_H
