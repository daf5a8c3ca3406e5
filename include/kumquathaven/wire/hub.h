// The manager of all links of one process: it accepts links, reconnects outgoing ones and passes
// received frames to the handlers of their channels.

#ifndef KUMQUATHAVEN_WIRE_HUB_H
#define KUMQUATHAVEN_WIRE_HUB_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/base/time.h"
#include "kumquathaven/settings/settings.h"
#include "kumquathaven/wire/frame.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace kumquathaven::wire {

/// Identifies a link within one hub. A link created by connect() keeps its id across reconnections;
/// an accepted link has a new id each time.
using LinkId = std::uint64_t;

/// The other end of an open link.
struct Peer
{
    LinkId link = 0;
    /// The peer's instance name, authenticated with the shared secret.
    std::string name;
    /// Whether this process opened the connection.
    bool outgoing = false;
};

/// Settings and bounds of a hub.
struct HubOptions
{
    /// The name of this instance, which is sent to every peer.
    std::string name;
    /// The secret that both ends of a link must know.
    std::string secret;
    /// Maximum size of an encoded frame.
    std::size_t maxMessageBytes = 32UL * 1024 * 1024;
    /// Maximum number of bytes queued on one link. A send that would exceed it is refused.
    std::size_t maxQueuedBytes = 64UL * 1024 * 1024;
    /// Maximum number of bytes queued on all accepted links together, of which frames above 64 KiB
    /// use at most three quarters. Their number depends on the peers, so that a bound for each of
    /// them does not bound the process. A link with at most 64 KiB queued takes one more frame in
    /// any case, so that one frame for each link may come on top.
    std::size_t maxAcceptedBytes = 64UL * 1024 * 1024;
    /// Maximum number of accepted links. Further links are closed at once.
    std::size_t maxAcceptedLinks = 8192;
    /// Maximum number of accepted connections whose peers have not proven yet that they know the
    /// secret. At the bound the one that was accepted first is closed.
    std::size_t maxHandshakes = 512;
    /// Time after its acceptance by which the peer of a connection must have proven that it knows
    /// the secret.
    Duration handshakeTimeout = std::chrono::seconds(5);
    /// Time without anything received from a peer after which it is sent a ping, and interval of
    /// further pings.
    Duration pingInterval = std::chrono::seconds(1);
    /// Time without anything received from a peer after which its link is closed.
    Duration silenceTimeout = std::chrono::seconds(3);
    /// Bounds of the wait before a reconnection. The wait doubles with each failure.
    Duration minBackoff = std::chrono::milliseconds(50);
    Duration maxBackoff = std::chrono::seconds(2);
    /// Seed of the random part of the waits, which spreads the reconnections of many processes.
    std::uint64_t seed = 1;
};

/// The callbacks of a channel. They run on the hub's thread and must not block.
struct ChannelHandlers
{
    std::function<void(const Peer &)> opened;
    std::function<void(const Peer &)> closed;
    std::function<void(const Peer &, const Frame &)> received;
};

/// Counters since the start of the hub, except for openLinks and acceptedBytes, the bytes queued on
/// accepted links, which are the present numbers. Bytes are counted without the overhead of the
/// transport.
struct HubCounters
{
    std::uint64_t openLinks = 0;
    std::uint64_t acceptedBytes = 0;
    std::uint64_t framesSent = 0;
    std::uint64_t framesReceived = 0;
    /// Pings sent. They do not count as frames.
    std::uint64_t pingsSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    /// Sends refused because the link was closed, its queue was full or the frame was too large.
    std::uint64_t sendsRefused = 0;
    /// Links closed because the peer violated the protocol or did not know the secret, or because
    /// there were too many accepted links.
    std::uint64_t peersRefused = 0;
    /// Links closed because nothing was received from the peer for the silence timeout.
    std::uint64_t peersSilent = 0;
};

/// Manages all links of a process on one thread.
class Hub
{
public:
    explicit Hub(HubOptions options);
    Hub(const Hub &) = delete;
    Hub &operator=(const Hub &) = delete;
    /// Stops the hub.
    ~Hub();

    /// Sets the handlers of a channel. Must be called before start().
    void handle(Channel channel, ChannelHandlers handlers);

    /// Starts the thread, and accepts links on \p listen if it is given. Fails with InvalidRequest
    /// if the host is not an IP address, and with Unavailable if listening fails.
    Result<void> start(const std::optional<settings::Address> &listen);

    /// Closes all links and joins the thread. No handler runs after it returns.
    void stop();

    /// Maintains a link to an address until disconnect(), with a reconnection after each failure.
    LinkId connect(const settings::Address &address);

    /// Closes and removes a link. An outgoing link is not reconnected.
    void disconnect(LinkId link);

    /// Sets whether a link is quiet. A quiet link is sent no pings and is not closed when nothing
    /// is received on it; only the transport's keepalive still detects, within some minutes, that
    /// the peer's machine has failed. Each end decides for itself. A reconnected link is not quiet.
    void setQuiet(LinkId link, bool isQuiet);

    /// Queues a frame. Frames on a link arrive in the order in which they were sent, but may be
    /// lost if the link closes. Fails with Unavailable if the link is not open, Overloaded if its
    /// queue is full, and TooLarge if the frame exceeds maxMessageBytes. Any thread may call it.
    Result<void> send(LinkId link, const Frame &frame);

    /// Returns the number of bytes queued on a link; zero if the link is not open. Any thread may
    /// call it.
    std::size_t queuedBytes(LinkId link) const;

    /// Returns a copy of the counters. Any thread may call it.
    HubCounters counters() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace kumquathaven::wire

#endif // KUMQUATHAVEN_WIRE_HUB_H
