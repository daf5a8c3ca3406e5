#include "kumquathaven/wire/hub.h"

#include "hubimpl.h"

#include <algorithm>

namespace kumquathaven::wire {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(100);
constexpr unsigned maxDoublings = 10;
/// Larger frames leave a part of the queues of accepted links to smaller ones, such as proofs. A
/// link that has no more than this queued keeps up with what it is sent.
constexpr std::size_t maxSmallFrameBytes = std::size_t{64} * 1024;

Error linkError(ErrorCode code, const std::string &step, const std::string &peer,
                const std::string &message)
{
    return {code, step, peer, message, Outcome::NotRun, {}};
}

} // namespace

Hub::Hub(HubOptions options)
    : m_impl(std::make_unique<Impl>(std::move(options)))
{ }

Hub::~Hub()
{
    m_impl->stop();
}

void Hub::handle(Channel channel, ChannelHandlers handlers)
{
    m_impl->handle(channel, std::move(handlers));
}

Result<void> Hub::start(const std::optional<settings::Address> &listen)
{
    return m_impl->start(listen);
}

void Hub::stop()
{
    m_impl->stop();
}

LinkId Hub::connect(const settings::Address &address)
{
    return m_impl->connect(address);
}

void Hub::disconnect(LinkId link)
{
    m_impl->disconnect(link);
}

void Hub::setQuiet(LinkId link, bool isQuiet)
{
    m_impl->setQuiet(link, isQuiet);
}

Result<void> Hub::send(LinkId link, const Frame &frame)
{
    return m_impl->send(link, frame);
}

std::size_t Hub::queuedBytes(LinkId link) const
{
    return m_impl->queuedBytes(link);
}

HubCounters Hub::counters() const
{
    return m_impl->counters();
}

Hub::Impl::Impl(HubOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed ^ stableHash(m_options.name))
    , m_timer(m_io)
{
    // The library detects the byte order on first use without a lock, which is a data race if
    // several hubs in one process do so at the same time.
    static const std::uint64_t byteOrderProbe = websocketpp::lib::net::_htonll(1);
    static_cast<void>(byteOrderProbe);
}

void Hub::Impl::handle(Channel channel, ChannelHandlers handlers)
{
    assert(!m_thread.joinable() && "handlers must be set before the start");
    m_handlers.at(static_cast<std::size_t>(channel)) = std::move(handlers);
}

Result<void> Hub::Impl::start(const std::optional<settings::Address> &address)
{
    websocketpp::lib::error_code ec;
    m_acceptor.clear_access_channels(websocketpp::log::alevel::all);
    m_acceptor.clear_error_channels(websocketpp::log::elevel::all);
    m_connector.clear_access_channels(websocketpp::log::alevel::all);
    m_connector.clear_error_channels(websocketpp::log::elevel::all);
    m_acceptor.init_asio(&m_io, ec);
    if (!ec)
        m_connector.init_asio(&m_io, ec);
    if (ec)
        return fail(linkError(ErrorCode::Internal, "wire.start", {}, ec.message()));
    if (address)
        BOOST_LEAF_CHECK(listen(*address));
    m_lastTick = monotonicNow();
    scheduleTick();
    m_thread = std::thread([this] {
        m_io.run();
    });
    return {};
}

Result<void> Hub::Impl::listen(const settings::Address &address)
{
    const std::string name = settings::toString(address);
    boost::system::error_code parseError;
    const auto host = boost::asio::ip::make_address(address.host, parseError);
    if (parseError)
        return fail(linkError(ErrorCode::InvalidRequest, "wire.listen", name, "not an IP address"));
    m_acceptor.set_reuse_addr(true);
    m_acceptor.set_max_message_size(maxHandshakeBytes);
    m_acceptor.set_max_http_body_size(0);
    m_acceptor.set_tcp_pre_init_handler([this](const websocketpp::connection_hdl &handle) {
        admitStranger(handle);
    });
    m_acceptor.set_fail_handler([this](const websocketpp::connection_hdl &handle) {
        websocketpp::lib::error_code unknown;
        forgetStranger(m_acceptor.get_con_from_hdl(handle, unknown));
    });
    m_acceptor.set_open_handler([this](const websocketpp::connection_hdl &handle) {
        accept(handle);
    });
    websocketpp::lib::error_code ec;
    m_acceptor.listen(boost::asio::ip::tcp::endpoint(host, address.port), ec);
    if (!ec)
        m_acceptor.start_accept(ec);
    if (ec)
        return fail(linkError(ErrorCode::Unavailable, "wire.listen", name, ec.message()));
    m_listening = true;
    return {};
}

void Hub::Impl::stop()
{
    if (!m_thread.joinable())
        return;
    boost::asio::post(m_io, [this] {
        m_stopping = true;
        m_timer.cancel();
        if (m_listening) {
            websocketpp::lib::error_code ec;
            m_acceptor.stop_listening(ec);
        }
        for (const LinkPtr &it : links())
            drop(it);
        m_strangers.clear();
        m_io.stop();
    });
    m_thread.join();
}

LinkId Hub::Impl::connect(const settings::Address &address)
{
    auto link = std::make_shared<Link>();
    link->outgoing = true;
    link->address = address;
    const std::lock_guard<std::mutex> lock(m_mutex);
    link->id = m_nextId++;
    m_links.emplace(link->id, link);
    boost::asio::post(m_io, [this, link] {
        startConnect(link);
    });
    return link->id;
}

void Hub::Impl::disconnect(LinkId id)
{
    boost::asio::post(m_io, [this, id] {
        const LinkPtr link = find(id);
        if (!link)
            return;
        link->removed = true;
        drop(link);
    });
}

void Hub::Impl::setQuiet(LinkId id, bool isQuiet)
{
    boost::asio::post(m_io, [this, id, isQuiet] {
        const LinkPtr link = find(id);
        if (!link)
            return;
        link->quiet = isQuiet;
        // The silence timeout starts anew when the link stops being quiet.
        link->lastReceivedAt = monotonicNow();
    });
}

Result<void> Hub::Impl::send(LinkId id, const Frame &frame)
{
    const LinkPtr link = find(id);
    if (!link || !link->open) {
        ++m_counters.sendsRefused;
        return fail(linkError(ErrorCode::Unavailable, "wire.send", "link " + std::to_string(id),
                              "the link is not open"));
    }
    auto bytes = std::make_shared<std::string>(encodeFrame(frame));
    const std::string name = "link " + std::to_string(id);
    if (bytes->size() > m_options.maxMessageBytes) {
        ++m_counters.sendsRefused;
        return fail(linkError(ErrorCode::TooLarge, "wire.send", name, "the frame is too large"));
    }
    if (!hasRoom(*link, bytes->size())) {
        ++m_counters.sendsRefused;
        return fail(linkError(ErrorCode::Overloaded, "wire.send", name, "the queue is full"));
    }
    countPosted(*link, bytes->size());
    boost::asio::post(m_io, [this, link, bytes] {
        countUnposted(*link, bytes->size());
        if (link->open) {
            ++m_counters.framesSent;
            write(link, *bytes);
        }
    });
    return {};
}

std::size_t Hub::Impl::queuedBytes(LinkId id) const
{
    const LinkPtr link = find(id);
    return link && link->open ? link->postedBytes + link->bufferedBytes : 0;
}

bool Hub::Impl::hasRoom(const Link &link, std::size_t bytes) const
{
    const std::size_t queued = link.postedBytes + link.bufferedBytes;
    if (queued + bytes > m_options.maxQueuedBytes)
        return false;
    // One change for many subscribers must not disconnect those that keep up.
    if (link.outgoing || queued <= maxSmallFrameBytes)
        return true;
    const std::size_t most = m_options.maxAcceptedBytes;
    const std::size_t available = bytes > maxSmallFrameBytes ? most / 4 * 3 : most;
    return m_counters.acceptedBytes + bytes <= available;
}

void Hub::Impl::countPosted(Link &link, std::size_t bytes)
{
    link.postedBytes += bytes;
    if (!link.outgoing)
        m_counters.acceptedBytes += bytes;
}

void Hub::Impl::countUnposted(Link &link, std::size_t bytes)
{
    link.postedBytes -= bytes;
    if (!link.outgoing)
        m_counters.acceptedBytes -= bytes;
}

/// Records what the transport of a link holds. Called on the hub's thread only.
void Hub::Impl::setBuffered(Link &link, std::size_t bytes)
{
    const std::size_t before = link.bufferedBytes.exchange(bytes);
    if (!link.outgoing) {
        m_counters.acceptedBytes += bytes;
        m_counters.acceptedBytes -= before;
    }
}

HubCounters Hub::Impl::counters() const
{
    HubCounters copy;
    copy.openLinks = m_counters.openLinks;
    copy.acceptedBytes = m_counters.acceptedBytes;
    copy.framesSent = m_counters.framesSent;
    copy.framesReceived = m_counters.framesReceived;
    copy.pingsSent = m_counters.pingsSent;
    copy.bytesSent = m_counters.bytesSent;
    copy.bytesReceived = m_counters.bytesReceived;
    copy.sendsRefused = m_counters.sendsRefused;
    copy.peersRefused = m_counters.peersRefused;
    copy.peersSilent = m_counters.peersSilent;
    return copy;
}

LinkPtr Hub::Impl::find(LinkId id) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_links.find(id);
    return it == m_links.end() ? nullptr : it->second;
}

std::vector<LinkPtr> Hub::Impl::links() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<LinkPtr> all;
    all.reserve(m_links.size());
    for (const auto &it : m_links)
        all.push_back(it.second);
    return all;
}

Peer Hub::Impl::peerOf(const Link &link) const
{
    return {link.id, link.peer.name, link.outgoing};
}

Duration Hub::Impl::backoff(unsigned failures)
{
    const Duration maxWait = std::min(
        m_options.maxBackoff, m_options.minBackoff * (1U << std::min(failures, maxDoublings)));
    // Half of the wait is random, so that many processes do not reconnect at the same moment.
    return fromSeconds(toSeconds(maxWait) * (0.5 + m_random.uniform() / 2));
}

void Hub::Impl::scheduleTick()
{
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const boost::system::error_code &ec) {
        if (ec || m_stopping)
            return;
        tick();
        scheduleTick();
    });
}

void Hub::Impl::tick()
{
    const TimePoint now = monotonicNow();
    const bool wasPaused = now - m_lastTick > m_options.silenceTimeout / 2;
    m_lastTick = now;
    checkStrangers(wasPaused, now);
    for (const LinkPtr &it : links()) {
        // If this process itself was paused, the silence of its peers is no evidence of a failure.
        if (wasPaused)
            it->lastReceivedAt = now;
        checkLink(it, now);
    }
}

void Hub::Impl::checkLink(const LinkPtr &link, TimePoint now)
{
    if (!link->connection) {
        if (link->outgoing && !link->removed && now >= link->nextConnectAt)
            startConnect(link);
        return;
    }
    setBuffered(*link, link->connection->get_buffered_amount());
    if (link->quiet)
        return;
    const Duration silence = now - link->lastReceivedAt;
    if (silence > m_options.silenceTimeout) {
        ++m_counters.peersSilent;
        drop(link);
        return;
    }
    const bool isPingDue =
        silence / m_options.pingInterval != (silence - tickInterval) / m_options.pingInterval;
    if (link->open && silence >= m_options.pingInterval && isPingDue) {
        websocketpp::lib::error_code ec;
        link->connection->ping({}, ec);
        ++m_counters.pingsSent;
    }
}

} // namespace kumquathaven::wire
