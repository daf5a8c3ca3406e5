// What the loop, the connections and the threads of one HTTP server share.

#ifndef KUMQUATHAVEN_LIB_RUNTIME_SERVERCORE_H
#define KUMQUATHAVEN_LIB_RUNTIME_SERVERCORE_H

#include "kumquathaven/runtime/httpserver.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>

namespace kumquathaven::runtime {

class ServerPeer;

/// Counts the requests that are being answered. No request passes once it is closed, so that a
/// server that found none running can end its connections without cutting an answer.
class RequestGate
{
public:
    /// Returns whether the request may be answered. If so, leave() must follow.
    bool enter();
    void leave();
    /// Closes the gate if no request is being answered. Returns whether it is closed.
    bool closeIfIdle();
    void close();
    std::uint32_t active() const;

private:
    mutable std::mutex m_mutex;
    std::uint32_t m_active = 0;
    bool m_isClosed = false;
};

struct ServerCore
{
    ServerBounds bounds;
    HttpHandler handler;
    RequestGate gate;
    boost::asio::io_context loop{1};
    /// Set while the server stops: each connection then ends with its next answer.
    std::atomic<bool> isStopping{false};
    /// Hands a request that was read whole to a thread. Returns false if too many wait.
    std::function<bool(const std::shared_ptr<ServerPeer> &)> dispatch;
    /// Takes back a request that no thread has begun. Returns false if one has.
    std::function<bool(const std::shared_ptr<ServerPeer> &)> withdraw;
    /// Forgets a connection that has closed.
    std::function<void(const std::shared_ptr<ServerPeer> &)> forget;
};

} // namespace kumquathaven::runtime

#endif // KUMQUATHAVEN_LIB_RUNTIME_SERVERCORE_H
