#include "collectingsink.h"
#include "upstreamattempt.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <doctest/doctest.h>

#include <string>
#include <thread>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::entry;

namespace {

// Accepts one connection, reads a request head, sends raw bytes and closes. The last \p heldBytes
// follow after \p held. With \p ends it refuses connections before it closes.
class RawUpstream
{
public:
    explicit RawUpstream(std::string answer, Duration held = Duration(0), std::size_t heldBytes = 0,
                         bool ends = false)
        : m_held(held)
        , m_heldBytes(heldBytes)
        , m_ends(ends)
        , m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_thread([this, text = std::move(answer)] {
            run(text);
        })
    { }
    ~RawUpstream() { m_thread.join(); }

    std::string address() { return m_socket.address().toString(); }

private:
    void run(const std::string &answer)
    {
        Poco::Net::StreamSocket peer = m_socket.acceptConnection();
        std::string seen;
        char buf[4096];
        while (seen.find("\r\n\r\n") == std::string::npos) {
            const int n = peer.receiveBytes(buf, sizeof(buf));
            if (n <= 0)
                return;
            seen.append(buf, static_cast<std::size_t>(n));
        }
        const std::size_t first = answer.size() - m_heldBytes;
        if (!answer.empty()) {
            peer.sendBytes(answer.data(), static_cast<int>(first));
            std::this_thread::sleep_for(m_held);
            if (m_heldBytes > 0)
                peer.sendBytes(answer.data() + first, static_cast<int>(m_heldBytes));
        } else
            std::this_thread::sleep_for(std::chrono::milliseconds(600));
        if (m_ends)
            m_socket.close();
    }

    Duration m_held;
    std::size_t m_heldBytes;
    bool m_ends;
    Poco::Net::ServerSocket m_socket;
    std::thread m_thread;
};

struct Outcomes
{
    AttemptReport report;
    std::string text;
};

Outcomes attemptWith(const std::string &address, bool isGone = false,
                     const FirstPartWatch &watch = {},
                     Duration silence = std::chrono::milliseconds(300),
                     const std::string &model = "m")
{
    catalogue::Route route;
    route.model = model;
    CallerRequest request;
    request.route = &route;
    request.requestId = "req-1";
    request.method = "POST";
    request.target = "/v1/completions";
    catalogue::Upstream upstream;
    upstream.head.name = "e1";
    upstream.address = address;
    settings::Bounds bounds;
    bounds.upstreamSilence = silence;
    CollectingSink sink;
    sink.isGone = isGone;
    Outcomes out;
    out.report = runAttempt(request, upstream, bounds, {}, sink, watch);
    out.text = sink.text;
    return out;
}

Outcomes answeredWith(const std::string &head, const std::string &body)
{
    RawUpstream upstream("HTTP/1.1 " + head + "\r\n\r\n" + body);
    return attemptWith(upstream.address());
}

const std::string streamHead = "200 OK\r\nContent-Type: text/event-stream\r\nConnection: close";
const std::string stream = "data: {\"n\":1}\n\ndata: {\"usage\":{\"prompt_tokens\":9,"
                           "\"completion_tokens\":2}}\n\ndata: [DONE]\n\n";

} // namespace

TEST_CASE("a stream cut at any byte hands over whole events only and is not complete")
{
    for (std::size_t n = 0; n < stream.size(); ++n) {
        CAPTURE(n);
        const auto out = answeredWith(streamHead, stream.substr(0, n));
        CHECK(out.report.end == (out.text.empty() ? AttemptEnd::Failed : AttemptEnd::Cut));
        CHECK(out.report.error->outcome == Outcome::Unknown);
        CHECK(stream.compare(0, out.text.size(), out.text) == 0);
        CHECK((out.text.empty() || out.text.substr(out.text.size() - 2) == "\n\n"));
    }
    const auto whole = answeredWith(streamHead, stream);
    CAPTURE(whole.report.error.has_value() ? describe(*whole.report.error) : "");
    CHECK(whole.report.end == AttemptEnd::Complete);
    CHECK(whole.text == stream);
    CHECK(whole.report.usage->prompt == 9);
    CHECK(whole.report.events == 3);
}

TEST_CASE("answers that are cut, crossed, refused or late are told apart")
{
    struct Case
    {
        std::string name;
        std::string head;
        std::string body;
        Outcome outcome;
        std::string step;
    };
    const std::string type = "\r\nContent-Type: application/json";
    const std::vector<Case> cases{
        {"short body", "200 OK" + type + "\r\nContent-Length: 20", "{}", Outcome::Unknown,
         "upstream.read"},
        {"broken json", "200 OK" + type + "\r\nConnection: close", "{\"a\":", Outcome::Unknown,
         "upstream.read"},
        {"crossed", "200 OK" + type + "\r\nX-Request-Id: req-2\r\nContent-Length: 2", "{}",
         Outcome::Unknown, "upstream.match"},
        {"refused", "503 No" + type + "\r\nContent-Length: 2", "{}", Outcome::NotRun,
         "upstream.refused"},
        {"not http", "garbage", "", Outcome::Unknown, "upstream.readHead"},
    };
    for (const auto &it : cases) {
        CAPTURE(it.name);
        const auto out = answeredWith(it.head, it.body);
        CHECK(out.report.end == AttemptEnd::Failed);
        REQUIRE(out.report.error.has_value());
        CHECK(out.report.error->outcome == it.outcome);
        CHECK(out.report.error->step == it.step);
        CHECK(out.report.error->peer == "e1");
        CHECK(out.text.empty());
    }
}

// Guards against half of an upstream's head becoming a whole answer with an empty or short body.
TEST_CASE("an upstream that stops anywhere in its head has not answered")
{
    const std::string answer =
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nbody";
    for (std::size_t n = 1; n <= answer.size(); ++n) {
        CAPTURE(answer.substr(0, n));
        RawUpstream upstream(answer.substr(0, n));
        const auto out =
            attemptWith(upstream.address(), false, {}, std::chrono::milliseconds(300), "");
        const bool isWhole = n == answer.size();
        CHECK(out.report.end == (isWhole ? AttemptEnd::Complete : AttemptEnd::Failed));
        if (!isWhole && out.report.error)
            CHECK(out.report.error->outcome == Outcome::Unknown);
    }
}

// Guards against a plain answer that was broken off and becomes a whole one.
TEST_CASE("a plain answer that ends before its frame, or with its upstream, is not complete")
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
    const auto attemptOf = [](const std::string &answer, bool upstreamEnds) {
        RawUpstream upstream(answer, Duration(0), 0, upstreamEnds);
        return attemptWith(upstream.address(), false, {}, std::chrono::milliseconds(300), "");
    };
    SUBCASE("chunks")
    {
        const std::string answer = head
            + "Transfer-Encoding: chunked\r\n\r\n4\r\nfirs\r\n12\r\nt and second "
              "piece\r\n0\r\n\r\n";
        const std::size_t headLength = answer.find("\r\n\r\n") + 4;
        for (std::size_t n = headLength; n <= answer.size(); ++n) {
            CAPTURE(answer.substr(headLength, n - headLength));
            const auto out = attemptOf(answer.substr(0, n), false);
            const bool isWhole = n == answer.size();
            CHECK(out.report.end == (isWhole ? AttemptEnd::Complete : AttemptEnd::Failed));
            CHECK((isWhole || out.report.error->outcome == Outcome::Unknown));
        }
    }
    SUBCASE("a length")
    {
        const std::string answer = head + "Content-Length: 4\r\n\r\nbody";
        for (std::size_t n = 0; n < 4; ++n)
            CHECK(attemptOf(answer.substr(0, answer.size() - 4 + n), false).report.end
                  == AttemptEnd::Failed);
        CHECK(attemptOf(answer, true).report.end == AttemptEnd::Complete);
    }
    SUBCASE("the connection")
    {
        const std::string answer = head + "Connection: close\r\n\r\nbody";
        CHECK(attemptOf(answer, false).report.end == AttemptEnd::Complete);
        const auto out = attemptOf(answer, true);
        CHECK(out.report.end == AttemptEnd::Failed);
        REQUIRE(out.report.error);
        CHECK(out.report.error->outcome == Outcome::Unknown);
    }
}

TEST_CASE("a silent upstream ends in a timeout, and at once if the caller has gone")
{
    {
        RawUpstream silent("");
        const auto out = attemptWith(silent.address());
        CHECK(out.report.error->code == ErrorCode::Timeout);
        CHECK(out.report.error->outcome == Outcome::Unknown);
    }
    RawUpstream silent("");
    const TimePoint start = monotonicNow();
    const auto out = attemptWith(silent.address(), true);
    CHECK(out.report.end == AttemptEnd::CallerGone);
    CHECK(monotonicNow() - start < std::chrono::milliseconds(290));
}

TEST_CASE("an attempt that does not begin to answer is given up or makes way")
{
    // Sooner than the silence that ends any attempt, which would be another error.
    for (const bool makesWay : {false, true}) {
        CAPTURE(makesWay);
        RawUpstream silent("");
        FirstPartWatch watch;
        watch.giveUpAt = monotonicNow() + std::chrono::milliseconds(makesWay ? 60000 : 150);
        watch.makesWay = [makesWay] {
            return makesWay;
        };
        const auto out = attemptWith(silent.address(), false, watch);
        CHECK(out.report.end == AttemptEnd::Failed);
        CHECK(out.report.madeWay == makesWay);
        CHECK(out.report.error->code
              == (makesWay ? ErrorCode::Timeout : ErrorCode::DeadlineExceeded));
        CHECK(out.report.error->step == "upstream.wait");
        CHECK(out.report.error->outcome == Outcome::Unknown);
    }
}

TEST_CASE("an answer that has begun is not given up, and its first part is told once")
{
    int told = 0;
    FirstPartWatch watch;
    watch.giveUpAt = monotonicNow() + std::chrono::hours(1);
    watch.arrived = [&](TimePoint at) {
        ++told;
        watch.giveUpAt = at;
    };
    RawUpstream upstream("HTTP/1.1 " + streamHead + "\r\n\r\n" + stream,
                         std::chrono::milliseconds(250), stream.size() / 2);
    const auto out = attemptWith(upstream.address(), false, watch, std::chrono::seconds(30));
    CHECK(out.report.end == AttemptEnd::Complete);
    CHECK(out.text == stream);
    CHECK(told == 1);
}

TEST_CASE("an upstream that can not be reached did not run the request")
{
    std::string address;
    {
        const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
        address = socket.address().toString();
    }
    const auto out = attemptWith(address);
    CHECK(out.report.end == AttemptEnd::Failed);
    CHECK(out.report.error->outcome == Outcome::NotRun);
}
