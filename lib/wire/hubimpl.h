// The implementation of a hub. After start() all links are handled on the hub's thread; send(),
// connect(), disconnect(), setQuiet() and counters() may be called from other threads.

#ifndef KUMQUATHAVEN_WIRE_HUBIMPL_H
#define KUMQUATHAVEN_WIRE_HUBIMPL_H

#include "endpoint.h"
#include "handshake.h"

#include "kumquathaven/base/hash.h"
#include "kumquathaven/base/random.h"
#include "kumquathaven/wire/hub.h"

#include <array>
#include <atomic>
#include <deque>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace kumquathaven::wire {

/// The state of one link.
struct Link
{
    LinkId id = 0;
    /// Whether this process opens the connection.
    bool outgoing = false;
    /// The peer's address, for outgoing links only.
    settings::Address address;
    /// Null while the link is not connected.
    ConnectionPtr connection;
    /// The hello messages of the present connection. The peer's is empty until it is received.
    Hello own;
    Hello peer;
    /// Time at which anything was last received from the peer.
    TimePoint lastReceivedAt;
    /// Earliest time of the next connection attempt, for outgoing links only.
    TimePoint nextConnectAt;
    /// Failed connections since the last completed handshake.
    unsigned failures = 0;
    /// Whether disconnect() was called, so that the link is not reconnected.
    bool removed = false;
    /// Whether pings and the silence timeout are off.
    bool quiet = false;
    /// Whether the handshake is completed, so that frames may be sent. Senders on any thread read
    /// it.
    std::atomic<bool> open{false};
    /// Bytes passed to send() that the hub's thread has not yet passed to the transport.
    std::atomic<std::size_t> postedBytes{0};
    /// Bytes in the transport's buffer when it was last queried.
    std::atomic<std::size_t> bufferedBytes{0};
};

using LinkPtr = std::shared_ptr<Link>;

/// An accepted connection whose peer has not proven yet that it knows the secret.
struct Stranger
{
    ConnectionPtr connection;
    TimePoint acceptedAt;
};

class Hub::Impl
{
public:
    explicit Impl(HubOptions options);

    void handle(Channel channel, ChannelHandlers handlers);
    Result<void> start(const std::optional<settings::Address> &listen);
    void stop();
    LinkId connect(const settings::Address &address);
    void disconnect(LinkId id);
    void setQuiet(LinkId id, bool isQuiet);
    Result<void> send(LinkId id, const Frame &frame);
    std::size_t queuedBytes(LinkId id) const;
    HubCounters counters() const;

private:
    Result<void> listen(const settings::Address &address);
    void setHandlers(const LinkPtr &link);
    void admitStranger(const websocketpp::connection_hdl &handle);
    void forgetStranger(const ConnectionPtr &connection);
    void endStranger();
    void checkStrangers(bool wasPaused, TimePoint now);
    void accept(const websocketpp::connection_hdl &handle);
    void startConnect(const LinkPtr &link);
    void startHandshake(const LinkPtr &link);
    void setSocketOptions(const LinkPtr &link);
    void receive(const LinkPtr &link, const std::string &bytes);
    void receiveProof(const LinkPtr &link, const std::string &bytes);
    void deliver(const LinkPtr &link, const std::string &bytes);
    void write(const LinkPtr &link, const std::string &bytes);
    bool hasRoom(const Link &link, std::size_t bytes) const;
    void countPosted(Link &link, std::size_t bytes);
    void countUnposted(Link &link, std::size_t bytes);
    void setBuffered(Link &link, std::size_t bytes);
    /// Closes a link because of a protocol violation or a wrong proof.
    void refuse(const LinkPtr &link);
    /// Closes a link's connection. An outgoing link is reconnected later unless it was removed.
    void drop(const LinkPtr &link);
    void tick();
    void checkLink(const LinkPtr &link, TimePoint now);
    void scheduleTick();
    LinkPtr find(LinkId id) const;
    std::vector<LinkPtr> links() const;
    Peer peerOf(const Link &link) const;
    Duration backoff(unsigned failures);

    HubOptions m_options;
    Random m_random;
    std::array<ChannelHandlers, channelCount> m_handlers;
    boost::asio::io_context m_io;
    boost::asio::steady_timer m_timer;
    Acceptor m_acceptor;
    Connector m_connector;
    bool m_listening = false;
    bool m_stopping = false;
    TimePoint m_lastTick;
    std::size_t m_accepted = 0;
    /// In the order of their acceptance.
    std::deque<Stranger> m_strangers;
    std::thread m_thread;

    mutable std::mutex m_mutex;
    std::unordered_map<LinkId, LinkPtr> m_links;
    LinkId m_nextId = 1;

    struct
    {
        std::atomic<std::uint64_t> openLinks{0};
        std::atomic<std::uint64_t> acceptedBytes{0};
        std::atomic<std::uint64_t> framesSent{0};
        std::atomic<std::uint64_t> framesReceived{0};
        std::atomic<std::uint64_t> pingsSent{0};
        std::atomic<std::uint64_t> bytesSent{0};
        std::atomic<std::uint64_t> bytesReceived{0};
        std::atomic<std::uint64_t> sendsRefused{0};
        std::atomic<std::uint64_t> peersRefused{0};
        std::atomic<std::uint64_t> peersSilent{0};
    } m_counters;
};

} // namespace kumquathaven::wire

#endif // KUMQUATHAVEN_WIRE_HUBIMPL_H
