// The life cycle of one link: connection, handshake, frames and closing.

#include "hubimpl.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace kumquathaven::wire {

namespace {

// Parameters of the kernel's keepalive probes on a link without traffic.
constexpr int keepaliveIdleSeconds = 60;
constexpr int keepaliveIntervalSeconds = 20;
constexpr int keepaliveProbes = 3;

} // namespace

/// Counts a connection that was accepted just now. Beyond the bound the oldest one ends, since a
/// peer that knows the secret proves it at once.
void Hub::Impl::admitStranger(const websocketpp::connection_hdl &handle)
{
    websocketpp::lib::error_code ec;
    const ConnectionPtr connection = m_acceptor.get_con_from_hdl(handle, ec);
    if (ec || m_stopping)
        return;
    m_strangers.push_back({connection, monotonicNow()});
    if (m_strangers.size() > m_options.maxHandshakes)
        endStranger();
}

void Hub::Impl::forgetStranger(const ConnectionPtr &connection)
{
    const auto it = std::find_if(m_strangers.begin(), m_strangers.end(), [&](const Stranger &each) {
        return each.connection == connection;
    });
    if (it != m_strangers.end())
        m_strangers.erase(it);
}

/// Closes the oldest connection whose peer has proven nothing.
void Hub::Impl::endStranger()
{
    const ConnectionPtr connection = std::move(m_strangers.front().connection);
    m_strangers.pop_front();
    ++m_counters.peersRefused;
    connection->terminate({});
}

void Hub::Impl::checkStrangers(bool wasPaused, TimePoint now)
{
    for (Stranger &it : m_strangers)
        it.acceptedAt = wasPaused ? now : it.acceptedAt;
    while (!m_strangers.empty()
           && now - m_strangers.front().acceptedAt > m_options.handshakeTimeout)
        endStranger();
}

void Hub::Impl::accept(const websocketpp::connection_hdl &handle)
{
    websocketpp::lib::error_code ec;
    const ConnectionPtr connection = m_acceptor.get_con_from_hdl(handle, ec);
    if (ec || m_stopping)
        return;
    if (m_accepted >= m_options.maxAcceptedLinks) {
        ++m_counters.peersRefused;
        forgetStranger(connection);
        connection->terminate({});
        return;
    }
    auto link = std::make_shared<Link>();
    link->connection = connection;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        link->id = m_nextId++;
        m_links.emplace(link->id, link);
    }
    ++m_accepted;
    setHandlers(link);
    startHandshake(link);
}

void Hub::Impl::startConnect(const LinkPtr &link)
{
    if (link->connection || link->removed || m_stopping)
        return;
    websocketpp::lib::error_code ec;
    const ConnectionPtr connection =
        m_connector.get_connection("ws://" + settings::toString(link->address) + "/", ec);
    if (ec) {
        link->nextConnectAt = monotonicNow() + backoff(link->failures++);
        return;
    }
    connection->set_max_message_size(maxHandshakeBytes);
    link->connection = connection;
    link->lastReceivedAt = monotonicNow();
    setHandlers(link);
    connection->set_open_handler([this, link](const websocketpp::connection_hdl &) {
        startHandshake(link);
    });
    m_connector.connect(connection);
}

void Hub::Impl::setHandlers(const LinkPtr &link)
{
    const std::weak_ptr<Link> weak = link;
    const auto *raw = link->connection.get();
    // A late event of an earlier connection must not affect the present one.
    const auto findCurrent = [weak, raw]() -> LinkPtr {
        LinkPtr it = weak.lock();
        return it && it->connection.get() == raw ? it : nullptr;
    };
    const auto onEnd = [this, findCurrent](const websocketpp::connection_hdl &) {
        if (const LinkPtr it = findCurrent())
            drop(it);
    };
    link->connection->set_close_handler(onEnd);
    link->connection->set_fail_handler(onEnd);
    link->connection->set_pong_handler(
        [findCurrent](const websocketpp::connection_hdl &, const std::string &) {
            if (const LinkPtr it = findCurrent())
                it->lastReceivedAt = monotonicNow();
        });
    link->connection->set_ping_handler(
        [findCurrent](const websocketpp::connection_hdl &, const std::string &) {
            const LinkPtr it = findCurrent();
            // A stranger must not fill the queue with answers to its pings.
            if (!it || !it->open)
                return false;
            it->lastReceivedAt = monotonicNow();
            return true;
        });
    link->connection->set_message_handler(
        [this, findCurrent](const websocketpp::connection_hdl &,
                            const EndpointConfig::message_type::ptr &message) {
            if (const LinkPtr it = findCurrent())
                receive(it, message->get_payload());
        });
}

void Hub::Impl::startHandshake(const LinkPtr &link)
{
    setSocketOptions(link);
    link->quiet = false;
    link->lastReceivedAt = monotonicNow();
    link->own = {m_options.name, makeNonce()};
    link->peer = {};
    write(link, encodeHello(link->own));
}

void Hub::Impl::setSocketOptions(const LinkPtr &link)
{
    auto &socket = link->connection->get_raw_socket();
    boost::system::error_code ec;
    // Disables Nagle's algorithm: a frame must not wait for the acknowledgement of an earlier one.
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
    // On a quiet link only the kernel's probes detect that the peer's machine has failed.
    socket.set_option(boost::asio::socket_base::keep_alive(true), ec);
    const int handle = socket.native_handle();
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &keepaliveIdleSeconds, sizeof(int));
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &keepaliveIntervalSeconds, sizeof(int));
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &keepaliveProbes, sizeof(int));
}

void Hub::Impl::receive(const LinkPtr &link, const std::string &bytes)
{
    link->lastReceivedAt = monotonicNow();
    if (link->open) {
        deliver(link, bytes);
        return;
    }
    if (!link->peer.nonce.empty()) {
        receiveProof(link, bytes);
        return;
    }
    const std::string name = settings::toString(link->address);
    link->peer = orElse(
        [&] {
            return decodeHello(bytes, name);
        },
        [](const Error &) {
            return Hello{};
        });
    if (link->peer.nonce.empty()) {
        refuse(link);
        return;
    }
    write(link, makeProof(m_options.secret, link->own, link->peer.nonce, link->outgoing));
}

void Hub::Impl::receiveProof(const LinkPtr &link, const std::string &bytes)
{
    const std::string expected =
        makeProof(m_options.secret, link->peer, link->own.nonce, !link->outgoing);
    if (!equalInConstantTime(bytes, expected)) {
        refuse(link);
        return;
    }
    forgetStranger(link->connection);
    link->connection->set_max_message_size(m_options.maxMessageBytes);
    link->failures = 0;
    link->open = true;
    ++m_counters.openLinks;
    for (const ChannelHandlers &it : m_handlers) {
        if (it.opened)
            it.opened(peerOf(*link));
    }
}

void Hub::Impl::deliver(const LinkPtr &link, const std::string &bytes)
{
    const std::optional<Frame> frame = orElse(
        [&]() -> Result<std::optional<Frame>> {
            BOOST_LEAF_AUTO(decoded, decodeFrame(bytes, link->peer.name));
            return std::optional<Frame>(std::move(decoded));
        },
        [](const Error &) {
            return std::optional<Frame>();
        });
    if (!frame) {
        refuse(link);
        return;
    }
    ++m_counters.framesReceived;
    m_counters.bytesReceived += bytes.size();
    const ChannelHandlers &handlers = m_handlers.at(static_cast<std::size_t>(frame->channel));
    if (handlers.received)
        handlers.received(peerOf(*link), *frame);
}

void Hub::Impl::write(const LinkPtr &link, const std::string &bytes)
{
    if (!link->connection)
        return;
    m_counters.bytesSent += bytes.size();
    const websocketpp::lib::error_code ec =
        link->connection->send(bytes, websocketpp::frame::opcode::binary);
    setBuffered(*link, link->connection->get_buffered_amount());
    if (ec)
        drop(link);
}

void Hub::Impl::refuse(const LinkPtr &link)
{
    ++m_counters.peersRefused;
    drop(link);
}

void Hub::Impl::drop(const LinkPtr &link)
{
    const ConnectionPtr connection = std::move(link->connection);
    link->connection.reset();
    setBuffered(*link, 0);
    if (link->open.exchange(false)) {
        --m_counters.openLinks;
        for (const ChannelHandlers &it : m_handlers) {
            if (it.closed)
                it.closed(peerOf(*link));
        }
    }
    if (connection) {
        forgetStranger(connection);
        connection->terminate({});
    }
    if (link->outgoing && !link->removed) {
        link->nextConnectAt = monotonicNow() + backoff(link->failures++);
        return;
    }
    if (!link->outgoing && connection)
        --m_accepted;
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_links.erase(link->id);
}

} // namespace kumquathaven::wire
