// Upstreams that send bytes without an end.

#include "collectingsink.h"
#include "upstreamattempt.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <doctest/doctest.h>

#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::entry;

namespace {

constexpr Duration floodTime = std::chrono::seconds(3);
constexpr std::uint32_t maxBodyBytes = 500'000;

/// Accepts one connection and sends a beginning, then a piece again and again until the other end
/// closes, for floodTime at most.
class FloodingUpstream
{
public:
    FloodingUpstream(std::string beginning, std::string piece)
        : m_beginning(std::move(beginning))
        , m_piece(std::move(piece))
        , m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_thread([this] {
            run();
        })
    { }
    ~FloodingUpstream() { m_thread.join(); }

    std::string address() const { return m_socket.address().toString(); }

private:
    void run()
    {
        Poco::Net::StreamSocket peer = m_socket.acceptConnection();
        char buf[4096];
        peer.receiveBytes(buf, sizeof(buf));
        peer.setSendTimeout(Poco::Timespan(1, 0));
        const TimePoint end = monotonicNow() + floodTime;
        try {
            send(peer, m_beginning);
            while (monotonicNow() < end)
                send(peer, m_piece);
        } catch (const Poco::Exception &) {
            // The other end has closed the connection.
        }
    }

    static void send(Poco::Net::StreamSocket &peer, const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const int n =
                peer.sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent));
            if (n <= 0)
                throw Poco::IOException("closed");
            sent += static_cast<std::size_t>(n);
        }
    }

    const std::string m_beginning;
    const std::string m_piece;
    Poco::Net::ServerSocket m_socket;
    std::thread m_thread;
};

} // namespace

// Guards against a thread and memory that a faulty upstream takes for as long as it sends.
TEST_CASE("bytes without an end fail the attempt in bounded time, whatever part they belong to")
{
    struct Row
    {
        std::string name;
        std::string beginning;
        std::string piece;
    };
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string events = head + "Content-Type: text/event-stream\r\n\r\n";
    const std::string bytes(4096, 'x');
    const std::vector<Row> rows{
        {"no answer", "", bytes},
        {"blanks before an answer", "", std::string(4096, ' ')},
        {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"a reason", "HTTP/1.1 200 ", bytes},
        {"a field", head + "A: ", bytes},
        {"a folded field", head + "A: x", "\r\n x"},
        {"fields", head, "A: 1\r\n"},
        {"the size of a chunk", chunked, std::string(4096, '0')},
        {"blanks before a chunk", chunked, std::string(4096, ' ')},
        {"an extension of a chunk", chunked + "3;", bytes},
        {"a body", head + "\r\n", bytes},
        {"a body in chunks", chunked, "1000\r\n" + bytes + "\r\n"},
        {"an event", events, bytes},
    };
    for (const Row &it : rows) {
        CAPTURE(it.name);
        FloodingUpstream upstream(it.beginning, it.piece);
        catalogue::Route route;
        route.model = "m";
        CallerRequest request;
        request.route = &route;
        request.requestId = "r1";
        request.method = "POST";
        request.target = "/v1/completions";
        catalogue::Upstream target;
        target.head.name = "e1";
        target.address = upstream.address();
        settings::Bounds bounds;
        bounds.upstreamSilence = std::chrono::milliseconds(500);
        bounds.maxBodyBytes = maxBodyBytes;
        CollectingSink sink;
        const TimePoint begun = monotonicNow();
        const AttemptReport report = runAttempt(request, target, bounds, {}, sink, {});
        CHECK(monotonicNow() - begun < floodTime - std::chrono::seconds(1));
        CHECK(report.end == AttemptEnd::Failed);
        CHECK(sink.text.empty());
    }
}
