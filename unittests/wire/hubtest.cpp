#include "kumquathaven/wire/hub.h"
#include "kumquathaven/wire/cbor.h"

#include "kumquathaven/base/random.h"
#include "kumquathaven/base/ring.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

#include <arpa/inet.h>
#include <cerrno>
#include <memory>
#include <mutex>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::wire;

namespace {

constexpr Duration eventTimeout = std::chrono::seconds(10);
constexpr Duration pollInterval = std::chrono::milliseconds(1);

struct Event
{
    std::string what;
    Peer peer;
    Frame frame;
};

/// A TCP socket that is bound to a free port of the loopback interface.
struct BoundSocket
{
    BoundSocket()
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        auto *generic = reinterpret_cast<sockaddr *>(&address);
        REQUIRE(::bind(fd, generic, length) == 0);
        REQUIRE(::getsockname(fd, generic, &length) == 0);
        port = ntohs(address.sin_port);
    }
    ~BoundSocket() { release(); }
    void release()
    {
        if (fd >= 0)
            ::close(fd);
        fd = -1;
    }
    int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    std::uint16_t port = 0;
};

settings::Address freeAddress()
{
    BoundSocket socket;
    return {"127.0.0.1", socket.port};
}

/// A hub that records the events of the feed channel in a ring.
struct Node
{
    explicit Node(const std::string &name, const std::string &secret = "secret",
                  std::size_t maxQueuedBytes = 1 << 20, std::size_t maxAcceptedBytes = 1 << 26)
        : Node(options(name, secret, maxQueuedBytes, maxAcceptedBytes))
    { }
    explicit Node(const HubOptions &options)
        : hub(options)
    {
        hub.handle(Channel::Feed,
                   {[this](const Peer &peer) {
                        events.tryPush({"opened", peer, {}});
                    },
                    [this](const Peer &peer) {
                        events.tryPush({"closed", peer, {}});
                    },
                    [this](const Peer &peer, const Frame &frame) {
                        const std::lock_guard<std::mutex> lock(reading);
                        events.tryPush({"received", peer, frame});
                    }});
    }
    static HubOptions options(const std::string &name, const std::string &secret,
                              std::size_t maxQueuedBytes, std::size_t maxAcceptedBytes)
    {
        HubOptions options;
        options.name = name;
        options.secret = secret;
        options.maxQueuedBytes = maxQueuedBytes;
        options.maxAcceptedBytes = maxAcceptedBytes;
        options.maxMessageBytes = 1 << 20;
        options.pingInterval = std::chrono::milliseconds(100);
        options.silenceTimeout = std::chrono::milliseconds(600);
        return options;
    }
    void start(const std::optional<settings::Address> &address = {})
    {
        orElse(
            [&] {
                return hub.start(address);
            },
            [](const Error &error) {
                FAIL(describe(error));
            });
    }
    Event next(const std::string &what)
    {
        auto event = events.pop(eventTimeout);
        REQUIRE(event.has_value());
        CHECK(event->what == what);
        return *event;
    }
    std::string send(LinkId link, const Frame &frame)
    {
        return orElse(
            [&]() -> Result<std::string> {
                BOOST_LEAF_CHECK(hub.send(link, frame));
                return std::string();
            },
            [](const Error &error) {
                return std::string(errorCodeName(error.code));
            });
    }
    BoundedRing<Event> events{1024};
    /// While a test holds it, the hub's thread stops at the next frame and reads nothing.
    std::mutex reading;
    Hub hub;
};

/// Connections to a hub that send some bytes and stay open.
class Strangers
{
public:
    Strangers(const settings::Address &address, std::size_t count, const std::string &bytes)
    {
        for (std::size_t n = 0; n < count; ++n) {
            sockaddr_in to{};
            to.sin_family = AF_INET;
            to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            to.sin_port = htons(address.port);
            m_sockets.push_back(::socket(AF_INET, SOCK_STREAM, 0));
            REQUIRE(::connect(m_sockets.back(), reinterpret_cast<sockaddr *>(&to), sizeof(to))
                    == 0);
            static_cast<void>(::send(m_sockets.back(), bytes.data(), bytes.size(), MSG_NOSIGNAL));
        }
    }
    Strangers(const Strangers &) = delete;
    Strangers &operator=(const Strangers &) = delete;
    ~Strangers()
    {
        for (const int it : m_sockets)
            ::close(it);
    }

    /// Returns whether the hub closes \p count of the connections within eventTimeout.
    bool waitUntilClosed(std::size_t count)
    {
        const TimePoint end = monotonicNow() + eventTimeout;
        while (closedCount() < count && monotonicNow() < end)
            std::this_thread::sleep_for(pollInterval);
        return closedCount() >= count;
    }

private:
    std::size_t closedCount()
    {
        std::size_t n = 0;
        for (const int it : m_sockets) {
            char buf[4096];
            ssize_t got = 0;
            while ((got = ::recv(it, buf, sizeof(buf), MSG_DONTWAIT)) > 0) { }
            n += got == 0 || (errno != EAGAIN && errno != EWOULDBLOCK) ? 1 : 0;
        }
        return n;
    }

    std::vector<int> m_sockets;
};

} // namespace

TEST_CASE("frames travel in order, both ways, and links come back after a restart")
{
    const settings::Address address = freeAddress();
    Node client("entry-1");
    client.start();
    const LinkId link = client.hub.connect(address);
    for (int round = 0; round < 2; ++round) {
        Node server("control-1");
        server.start(address);
        CHECK(client.next("opened").peer.name == "control-1");
        const Event opened = server.next("opened");
        CHECK(opened.peer.name == "entry-1");
        CHECK_FALSE(opened.peer.outgoing);
        for (int n = 0; n < 100; ++n)
            CHECK(client.send(link, {Channel::Feed, "k", std::to_string(n)}).empty());
        for (int n = 0; n < 100; ++n)
            CHECK(server.next("received").frame.body == std::to_string(n));
        CHECK(server.send(opened.peer.link, {Channel::Feed, "answer", "x"}).empty());
        CHECK(client.next("received").frame.kind == "answer");
        server.hub.stop();
        CHECK(client.next("closed").peer.link == link);
        CHECK(client.send(link, {Channel::Feed, "k", ""}) == "unavailable");
    }
}

TEST_CASE("a peer with another secret gets no link")
{
    const settings::Address address = freeAddress();
    Node server("control-1");
    server.start(address);
    Node client("entry-1", "another secret");
    client.start();
    client.hub.connect(address);
    const TimePoint end = monotonicNow() + eventTimeout;
    while (server.hub.counters().peersRefused + client.hub.counters().peersRefused < 2
           && monotonicNow() < end) { }
    CHECK(server.hub.counters().peersRefused + client.hub.counters().peersRefused >= 2);
    CHECK(server.hub.counters().openLinks == 0);
    CHECK(client.hub.counters().openLinks == 0);
}

// Guards against strangers that fill the memory or the descriptors of a process over its links.
TEST_CASE("peers that prove nothing are few, soon closed, and keep no real peer out")
{
    const std::string upgrade = "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: "
                                "Upgrade\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: "
                                "dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    // Announces a message of 100,000 bytes, which a peer may send once it has proven itself.
    const std::string longMessage("\x82\xFF\0\0\0\0\0\x01\x86\xA0\0\0\0\0", 14);
    constexpr std::size_t maxHandshakes = 4;
    constexpr std::size_t strangerCount = 12;
    struct Row
    {
        const char *name;
        std::string sent;
        Duration handshakeTimeout;
        /// How many strangers are closed in the end. A real peer takes the place of one.
        std::size_t closed;
    };
    const Row rows[] = {
        {"nothing", "", std::chrono::seconds(1), strangerCount},
        {"half of a head", upgrade.substr(0, 40), std::chrono::seconds(1), strangerCount},
        {"a body", "GET / HTTP/1.1\r\nContent-Length: 9\r\n\r\nbody", std::chrono::seconds(60),
         strangerCount},
        {"an upgrade", upgrade, std::chrono::seconds(1), strangerCount},
        {"an upgrade, in time", upgrade, std::chrono::seconds(60),
         strangerCount - maxHandshakes + 1},
        {"a long message", upgrade + longMessage, std::chrono::seconds(60), strangerCount},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        HubOptions options = Node::options("control-1", "secret", 1 << 20, 1 << 26);
        options.maxHandshakes = maxHandshakes;
        options.handshakeTimeout = row.handshakeTimeout;
        options.silenceTimeout = std::chrono::seconds(60);
        const settings::Address address = freeAddress();
        Node server(options);
        server.start(address);
        Strangers strangers(address, strangerCount, row.sent);
        CHECK(strangers.waitUntilClosed(strangerCount - maxHandshakes));
        Node client("entry-1");
        client.start();
        client.hub.connect(address);
        client.next("opened");
        CHECK(strangers.waitUntilClosed(row.closed));
        CHECK(server.next("opened").peer.name == "entry-1");
        CHECK(server.hub.counters().openLinks == 1);
    }
}

TEST_CASE("a send over the bound of the queue or of a message is refused")
{
    const settings::Address address = freeAddress();
    Node server("control-1");
    server.start(address);
    Node client("entry-1", "secret", 600000);
    client.start();
    const LinkId link = client.hub.connect(address);
    client.next("opened");
    CHECK(client.send(link, {Channel::Feed, "k", std::string(700000, 'x')}) == "overloaded");
    CHECK(client.send(link, {Channel::Feed, "k", std::string(1 << 20, 'x')}) == "tooLarge");
    CHECK(client.send(link, {Channel::Feed, "k", std::string(500000, 'x')}).empty());
    server.next("opened");
    CHECK(server.next("received").frame.body.size() == 500000);
}

// Guards against many peers that read slowly and together fill the memory of a process.
TEST_CASE("the queues of all accepted links together are bounded, with a reserve for small frames")
{
    // Three quarters of the bound and one frame for each link leave room for small frames.
    constexpr std::size_t maxBytes = 8'000'000;
    constexpr std::size_t frameBytes = 200'000;
    constexpr std::size_t peers = 8;
    const settings::Address address = freeAddress();
    Node server("control-1", "secret", 1 << 26, maxBytes);
    server.start(address);
    std::vector<std::unique_ptr<Node>> clients;
    std::vector<std::unique_lock<std::mutex>> stalled;
    std::vector<LinkId> links;
    for (std::size_t n = 0; n < peers; ++n) {
        clients.push_back(std::make_unique<Node>("entry-" + std::to_string(n)));
        clients[n]->start();
        clients[n]->hub.connect(address);
        links.push_back(server.next("opened").peer.link);
        server.hub.setQuiet(links.back(), true);
        stalled.emplace_back(clients[n]->reading);
    }
    const Frame large{Channel::Feed, "k", std::string(frameBytes, 'x')};
    const Frame small{Channel::Feed, "k", "x"};
    const TimePoint end = monotonicNow() + eventTimeout;
    std::size_t refused = 0;
    std::size_t most = 0;
    // The sockets of a peer take a few megabytes until they are full.
    while (refused < 20 && monotonicNow() < end) {
        for (const LinkId it : links)
            refused += server.send(it, large) == "overloaded" ? 1 : 0;
        most = std::max(most, static_cast<std::size_t>(server.hub.counters().acceptedBytes));
    }
    CHECK(refused >= 20);
    CHECK(most <= maxBytes + peers * large.body.size());
    CHECK(server.send(links.front(), small).empty());
    stalled.clear();
    while (server.hub.counters().acceptedBytes > 0 && monotonicNow() < end)
        std::this_thread::sleep_for(pollInterval);
    CHECK(server.hub.counters().acceptedBytes == 0);
    // Peers that read get one frame each, whatever its size.
    const Frame larger{Channel::Feed, "k", std::string(maxBytes / peers, 'x')};
    for (const LinkId it : links)
        CHECK(server.send(it, larger).empty());
}

TEST_CASE("a peer that accepts and stays silent is disconnected")
{
    BoundSocket silent;
    REQUIRE(::listen(silent.fd, 8) == 0);
    Node client("entry-1");
    client.start();
    client.hub.connect({"127.0.0.1", silent.port});
    const TimePoint end = monotonicNow() + eventTimeout;
    while (client.hub.counters().peersSilent == 0 && monotonicNow() < end) { }
    CHECK(client.hub.counters().peersSilent > 0);
}

TEST_CASE("a quiet link gets no pings, stays open, and can be made active again")
{
    const settings::Address address = freeAddress();
    Node server("control-1");
    server.start(address);
    Node quiet("entry-1");
    quiet.start();
    const LinkId link = quiet.hub.connect(address);
    quiet.next("opened");
    const LinkId accepted = server.next("opened").peer.link;
    quiet.hub.setQuiet(link, true);
    server.hub.setQuiet(accepted, true);
    // The hub's thread handles calls in order: a received frame shows that the earlier setQuiet()
    // has taken effect.
    CHECK(quiet.send(link, {Channel::Feed, "k", "x"}).empty());
    server.next("received");
    CHECK(server.send(accepted, {Channel::Feed, "k", "x"}).empty());
    quiet.next("received");
    Node other("entry-2");
    other.start();
    other.hub.connect(address);
    other.next("opened");
    server.next("opened");
    const auto pingsSentBy = [](Node &node) {
        return node.hub.counters().pingsSent;
    };
    const std::uint64_t before = pingsSentBy(quiet);
    // Each end of the other link sends at most ten pings a second, so that 20 pings take longer
    // than the silence timeout of 600 ms.
    const std::uint64_t minPings = pingsSentBy(other) + pingsSentBy(server) + 20;
    const TimePoint end = monotonicNow() + eventTimeout;
    while (pingsSentBy(other) + pingsSentBy(server) < minPings && monotonicNow() < end)
        std::this_thread::sleep_for(pollInterval);
    REQUIRE(pingsSentBy(other) + pingsSentBy(server) >= minPings);
    CHECK(pingsSentBy(quiet) == before);
    CHECK(quiet.send(link, {Channel::Feed, "k", "x"}).empty());
    CHECK(server.next("received").frame.body == "x");
    quiet.hub.setQuiet(link, false);
    while (pingsSentBy(quiet) == before && monotonicNow() < end)
        std::this_thread::sleep_for(pollInterval);
    CHECK(pingsSentBy(quiet) > before);
    CHECK(server.hub.counters().peersSilent == 0);
}

TEST_CASE("decoding refuses what is not a frame")
{
    const auto outcome = [](const std::string &bytes) {
        return orElse(
            [&]() -> Result<std::string> {
                BOOST_LEAF_AUTO(frame, decodeFrame(bytes, "entry-1"));
                return frame.kind;
            },
            [](const Error &error) {
                CHECK(error.peer == "entry-1");
                return std::string(errorCodeName(error.code));
            });
    };
    const std::string good = encodeFrame({Channel::Ledger, "kind", std::string("\0\xff", 2)});
    CHECK(outcome(good) == "kind");
    CHECK(outcome("") == "invalidRequest");
    CHECK(outcome(good + "x") == "invalidRequest");
    CHECK(outcome(std::string(100000, '\x81')) == "invalidRequest");
    // An array of 2^62 elements.
    CHECK(outcome(std::string("\x83\x9b\x40\0\0\0\0\0\0\0", 10)) == "invalidRequest");
    CHECK(outcome(toCbor(nlohmann::json::array({9, "k", nlohmann::json::binary({})})))
          == "invalidRequest");
    for (std::size_t n = 0; n < good.size(); ++n)
        CHECK(outcome(good.substr(0, n)) == "invalidRequest");
    Random random(7);
    for (int n = 0; n < 20000; ++n) {
        std::string bytes = good;
        bytes[random.below(bytes.size())] = static_cast<char>(random.next());
        outcome(bytes);
    }
}
