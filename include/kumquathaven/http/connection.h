// One TCP connection on an event loop.

#ifndef KUMQUATHAVEN_HTTP_CONNECTION_H
#define KUMQUATHAVEN_HTTP_CONNECTION_H

#include "kumquathaven/settings/settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace kumquathaven::http {

/// How a connection ended.
enum class ConnectionEnd {
    /// The other side closed it in order.
    Closed,
    /// It was reset, or failed in another way.
    Failed,
};

/// What happens on a connection. All are called on the loop; after ended() none is.
struct ConnectionEvents
{
    std::function<void(std::string_view bytes)> received;
    std::function<void(ConnectionEnd end)> ended;
    /// Everything that was written has left, after some of it had to wait.
    std::function<void()> drained;
};

/// Reads as long as it is told to, and keeps no buffer while nothing arrives. Used on the loop's
/// thread only. It lives as long as somebody holds it or an operation is under way.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    explicit Connection(boost::asio::ip::tcp::socket socket);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Begins to connect to an address; \p done is told whether that succeeded. A connection that
    /// is closed before tells nothing.
    static std::shared_ptr<Connection> connect(boost::asio::io_context &loop,
                                               const settings::Address &address,
                                               const std::function<void(bool)> &done);

    /// Sets who is told of events, in place of whoever was before.
    void setEvents(ConnectionEvents events);

    void startReading();
    void pauseReading();

    /// Sends bytes, at once as far as the other side takes them.
    void write(std::string bytes);
    /// Bytes that wait to be sent.
    std::size_t queuedBytes() const { return m_queued; }

    /// Sends what waits, then closes.
    void closeAfterWrites();
    /// Closes at once, in order.
    void close();
    /// Closes at once in a way that the other side takes for a failure.
    void reset();
    bool isOpen() const { return m_isOpen; }

    /// Lets the system find out within \p time that the other side is gone while bytes wait.
    void setSilenceLimit(Duration time);

    /// Has the system probe an idle connection, so that it ends about \p time after the other side
    /// fell silent.
    void setProbes(Duration time);

private:
    void waitReadable();
    void readAvailable();
    void waitWritable();
    void writeQueue();
    void end(ConnectionEnd how);
    void shut();

    boost::asio::ip::tcp::socket m_socket;
    ConnectionEvents m_events;
    bool m_isOpen = true;
    bool m_reads = false;
    bool m_isWaitingToRead = false;
    bool m_isWaitingToWrite = false;
    bool m_hasWriteFailed = false;
    bool m_closesAfterWrites = false;
    std::string m_queue;
    std::size_t m_sent = 0;
    std::size_t m_queued = 0;
};

} // namespace kumquathaven::http

#endif // KUMQUATHAVEN_HTTP_CONNECTION_H
