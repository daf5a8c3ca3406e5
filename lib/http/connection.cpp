#include "kumquathaven/http/connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace kumquathaven::http {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t scratchBytes = std::size_t{64} * 1024;
/// Reads before other connections get their turn.
constexpr int readsPerTurn = 4;
/// A queue with more than this is released once it was sent.
constexpr std::size_t maxKeptCapacity = std::size_t{16} * 1024;

/// All connections of a loop share one buffer, since none keeps bytes in it.
std::vector<char> &scratch()
{
    static thread_local std::vector<char> buffer(scratchBytes);
    return buffer;
}

bool wouldBlock(const error_code &ec)
{
    return ec == boost::asio::error::would_block || ec == boost::asio::error::try_again;
}

} // namespace

Connection::Connection(tcp::socket socket)
    : m_socket(std::move(socket))
{
    error_code ec;
    // A socket that is not connected yet is set up once it is.
    if (m_socket.is_open()) {
        m_socket.non_blocking(true, ec);
        m_socket.set_option(tcp::no_delay(true), ec);
    }
}

Connection::~Connection() = default;

std::shared_ptr<Connection> Connection::connect(boost::asio::io_context &loop,
                                                const settings::Address &address,
                                                const std::function<void(bool)> &done)
{
    auto connection = std::make_shared<Connection>(tcp::socket(loop));
    error_code ec;
    const auto host = boost::asio::ip::make_address(address.host, ec);
    const tcp::endpoint endpoint(host, address.port);
    connection->m_socket.async_connect(endpoint, [connection, done](const error_code &failed) {
        if (!connection->m_isOpen)
            return;
        if (!failed) {
            error_code ignored;
            connection->m_socket.non_blocking(true, ignored);
            connection->m_socket.set_option(tcp::no_delay(true), ignored);
        } else {
            connection->shut();
        }
        done(!failed);
    });
    return connection;
}

void Connection::setEvents(ConnectionEvents events)
{
    m_events = std::move(events);
}

void Connection::startReading()
{
    m_reads = true;
    if (m_isOpen && !m_isWaitingToRead)
        waitReadable();
}

void Connection::pauseReading()
{
    m_reads = false;
}

void Connection::waitReadable()
{
    m_isWaitingToRead = true;
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code &ec) {
        self->m_isWaitingToRead = false;
        if (!ec && self->m_isOpen && self->m_reads)
            self->readAvailable();
    });
}

void Connection::readAvailable()
{
    std::vector<char> &buffer = scratch();
    for (int n = 0; n < readsPerTurn && m_isOpen && m_reads; ++n) {
        error_code ec;
        const std::size_t bytes = m_socket.read_some(boost::asio::buffer(buffer), ec);
        if (wouldBlock(ec))
            break;
        if (ec) {
            const bool isOrderly = ec == boost::asio::error::eof && !m_hasWriteFailed;
            end(isOrderly ? ConnectionEnd::Closed : ConnectionEnd::Failed);
            return;
        }
        const auto received = m_events.received;
        if (received)
            received(std::string_view(buffer.data(), bytes));
        if (bytes < buffer.size())
            break;
    }
    if (m_isOpen && m_reads && !m_isWaitingToRead)
        waitReadable();
}

void Connection::write(std::string bytes)
{
    if (!m_isOpen || bytes.empty())
        return;
    m_queued += bytes.size();
    if (m_queue.empty()) {
        m_queue = std::move(bytes);
        m_sent = 0;
    } else {
        m_queue += bytes;
    }
    if (!m_isWaitingToWrite)
        writeQueue();
}

void Connection::writeQueue()
{
    while (m_sent < m_queue.size()) {
        error_code ec;
        const std::size_t bytes = m_socket.write_some(
            boost::asio::buffer(m_queue.data() + m_sent, m_queue.size() - m_sent), ec);
        if (wouldBlock(ec)) {
            waitWritable();
            return;
        }
        if (ec) {
            // A failed write takes the error of a reset with it: the next read would see an orderly
            // end.
            m_hasWriteFailed = true;
            // The reader of the connection is told; a writer may be in the middle of its work. What
            // arrived before the failure may be a whole answer.
            boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
                if (self->m_isOpen && self->m_reads)
                    self->readAvailable();
                self->end(ConnectionEnd::Failed);
            });
            m_queue.clear();
            m_queued = 0;
            return;
        }
        m_sent += bytes;
        m_queued -= bytes;
    }
    if (m_queue.capacity() > maxKeptCapacity)
        std::string().swap(m_queue);
    m_queue.clear();
    m_sent = 0;
    if (m_closesAfterWrites)
        close();
}

void Connection::waitWritable()
{
    m_isWaitingToWrite = true;
    m_socket.async_wait(tcp::socket::wait_write, [self = shared_from_this()](const error_code &ec) {
        self->m_isWaitingToWrite = false;
        if (ec || !self->m_isOpen)
            return;
        self->writeQueue();
        const auto drained = self->m_events.drained;
        if (self->m_isOpen && self->m_queued == 0 && drained)
            drained();
    });
}

void Connection::end(ConnectionEnd how)
{
    if (!m_isOpen)
        return;
    shut();
    const auto ended = std::exchange(m_events, {}).ended;
    if (ended)
        ended(how);
}

void Connection::closeAfterWrites()
{
    if (m_queued == 0)
        close();
    else
        m_closesAfterWrites = true;
}

void Connection::close()
{
    m_events = {};
    shut();
}

void Connection::reset()
{
    error_code ec;
    if (m_isOpen)
        m_socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
    close();
}

void Connection::shut()
{
    if (!std::exchange(m_isOpen, false))
        return;
    error_code ec;
    m_socket.close(ec);
}

void Connection::setSilenceLimit(Duration time)
{
    const auto ms =
        static_cast<unsigned>(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
    setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
}

void Connection::setProbes(Duration time)
{
    constexpr int probes = 2;
    const int seconds = static_cast<int>(std::max<std::int64_t>(
        1, std::chrono::duration_cast<std::chrono::seconds>(time).count() / probes));
    const int on = 1;
    const int handle = m_socket.native_handle();
    setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof(seconds));
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof(seconds));
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

} // namespace kumquathaven::http
