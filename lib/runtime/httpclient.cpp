#include "kumquathaven/runtime/httpclient.h"

#include "kumquathaven/http/message.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <istream>
#include <optional>
#include <ostream>

namespace kumquathaven::runtime {

namespace {

constexpr std::size_t readSize = 16384;
constexpr int firstFinalStatus = 200;

Poco::Timespan timespan(Duration d)
{
    return {static_cast<Poco::Timespan::TimeDiff>(d.count())};
}

// A socket on which the time of all reads of a call together is limited, and that of the reads for
// one part of the answer. The library limits the time of each read only. A peer that sends a byte
// now and then, or bytes that the library skips, could hold a call forever.
class LimitedSocket : public Poco::Net::StreamSocketImpl
{
public:
    void limitCall(TimePoint until) { m_callUntil = until; }
    void limitPart(TimePoint until) { m_partUntil = until; }

    int receiveBytes(void *buffer, int length, int flags) override
    {
        if (const auto until = limit()) {
            const Duration left = *until - monotonicNow();
            const Poco::Timespan wait = std::min(timespan(left), getReceiveTimeout());
            if (left <= Duration(0) || !poll(wait, Poco::Net::Socket::SELECT_READ))
                throw Poco::TimeoutException("the answer takes too long");
        }
        const int n = StreamSocketImpl::receiveBytes(buffer, length, flags);
        m_hasEnded = m_hasEnded || (n == 0 && length > 0);
        return n;
    }

    /// Returns whether a read found that the peer has closed the connection.
    bool hasEnded() const { return m_hasEnded; }

private:
    std::optional<TimePoint> limit() const
    {
        if (!m_callUntil || !m_partUntil)
            return m_callUntil ? m_callUntil : m_partUntil;
        return std::min(*m_callUntil, *m_partUntil);
    }

    std::optional<TimePoint> m_callUntil;
    std::optional<TimePoint> m_partUntil;
    bool m_hasEnded = false;
};

// A session that can tell whether a read would wait.
class PollableSession : public Poco::Net::HTTPClientSession
{
public:
    PollableSession(LimitedSocket *socket, const Poco::Net::SocketAddress &peer)
        : HTTPClientSession(Poco::Net::StreamSocket(socket))
    {
        setHost(peer.host().toString());
        setPort(peer.port());
    }

    bool isReadable(Duration timeout)
    {
        return hasBufferedContent()
            || socket().poll(timespan(timeout), Poco::Net::Socket::SELECT_READ);
    }

    void setChunked(bool isChunked) { m_isChunked = isChunked; }

    void open(const Poco::Net::SocketAddress &address) { connect(address); }

private:
    // The line end behind a chunk stays in the buffer until the next chunk is read, and is not
    // content: a read that finds only that would wait for the next chunk.
    bool hasBufferedContent()
    {
        constexpr int lineEndBytes = 2;
        if (buffered() == 0)
            return false;
        if (!m_isChunked || buffered() > lineEndBytes)
            return true;
        const int first = peek();
        return first != '\r' && first != '\n';
    }

    bool m_isChunked = false;
};

} // namespace

struct HttpCall::Impl
{
    settings::Address address;
    CallTimeouts timeouts;
    std::unique_ptr<PollableSession> session;
    /// Owned by the session.
    LimitedSocket *socket = nullptr;
    std::istream *in = nullptr;
    int status = 0;
    HeaderFields headers;
    /// Whether a length or chunks mark the end of the body.
    bool isFramed = false;

    Error error(ErrorCode code, const std::string &step, const std::string &message,
                Outcome outcome) const
    {
        return {code, step, settings::toString(address), message, outcome, {}};
    }
};

HttpCall::HttpCall(settings::Address address, CallTimeouts timeouts)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->address = std::move(address);
    m_impl->timeouts = timeouts;
}

HttpCall::~HttpCall() = default;

Result<void> HttpCall::connect()
{
    try {
        const Poco::Net::SocketAddress peer(m_impl->address.host, m_impl->address.port);
        m_impl->socket = new LimitedSocket;
        m_impl->session = std::make_unique<PollableSession>(m_impl->socket, peer);
        const auto silence = timespan(m_impl->timeouts.silence);
        const auto sending = timespan(m_impl->timeouts.send.value_or(m_impl->timeouts.silence));
        m_impl->session->setTimeout(timespan(m_impl->timeouts.connect), sending, silence);
        // Without it the library would replace the open connection when the request is sent.
        m_impl->session->setKeepAlive(true);
        m_impl->session->open(peer);
        m_impl->session->socket().setNoDelay(true);
        if (m_impl->timeouts.total)
            m_impl->socket->limitCall(monotonicNow() + *m_impl->timeouts.total);
    } catch (const Poco::Exception &e) {
        m_impl->session.reset();
        return fail(m_impl->error(ErrorCode::NoUpstream, "upstream.connect", e.displayText(),
                                  Outcome::NotRun));
    }
    return {};
}

Result<void> HttpCall::send(const std::string &method, const std::string &path,
                            const HeaderFields &headers, const std::string &body)
{
    try {
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
        request.setKeepAlive(false);
        for (const auto &it : headers)
            request.add(it.first, it.second);
        if (method != "GET" || !body.empty())
            request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        std::ostream &out = m_impl->session->sendRequest(request);
        out.write(body.data(), static_cast<std::streamsize>(body.size()));
        out.flush();
        if (!out.good())
            return fail(m_impl->error(ErrorCode::UpstreamFailed, "upstream.send",
                                      "the connection was closed while sending", Outcome::Unknown));
    } catch (const Poco::Exception &e) {
        return fail(m_impl->error(ErrorCode::UpstreamFailed, "upstream.send", e.displayText(),
                                  Outcome::Unknown));
    }
    return {};
}

Result<bool> HttpCall::waitForHead(Duration timeout)
{
    try {
        return m_impl->session->isReadable(timeout);
    } catch (const Poco::Exception &e) {
        return fail(m_impl->error(ErrorCode::UpstreamFailed, "upstream.wait", e.displayText(),
                                  Outcome::Unknown));
    }
}

Result<void> HttpCall::readHead()
{
    try {
        Poco::Net::HTTPResponse response;
        m_impl->socket->limitPart(monotonicNow() + m_impl->timeouts.silence);
        m_impl->in = &m_impl->session->receiveResponse(response);
        // The library takes a head that ends early for a whole one. It reads no byte behind a head.
        if (m_impl->socket->hasEnded())
            return fail(m_impl->error(ErrorCode::UpstreamFailed, "upstream.readHead",
                                      "the connection was closed inside the head",
                                      Outcome::Unknown));
        m_impl->status = response.getStatus();
        // The library skips 100 and takes any other interim answer for the final one.
        if (!http::isStatus(m_impl->status) || m_impl->status < firstFinalStatus)
            return fail(m_impl->error(ErrorCode::UpstreamFailed, "upstream.readHead",
                                      "status " + std::to_string(m_impl->status)
                                          + " is no status of an answer",
                                      Outcome::Unknown));
        m_impl->session->setChunked(response.getChunkedTransferEncoding());
        m_impl->isFramed = response.getChunkedTransferEncoding() || response.hasContentLength();
        for (const auto &it : response)
            m_impl->headers.emplace_back(it.first, it.second);
    } catch (const Poco::Exception &e) {
        return fail(m_impl->error(ErrorCode::UpstreamFailed, "upstream.readHead", e.displayText(),
                                  Outcome::Unknown));
    }
    return {};
}

int HttpCall::status() const
{
    return m_impl->status;
}

const HeaderFields &HttpCall::headers() const
{
    return m_impl->headers;
}

Result<ReadPart> HttpCall::read(Duration timeout)
{
    try {
        std::streambuf &buf = *m_impl->in->rdbuf();
        if (buf.in_avail() <= 0 && !m_impl->session->isReadable(timeout))
            return ReadPart{ReadState::Timeout, {}};
        m_impl->socket->limitPart(monotonicNow() + m_impl->timeouts.silence);
        if (buf.sgetc() == std::char_traits<char>::eof()) {
            // The library takes the end of the connection for the end of any body. It reads no byte
            // behind a body with a length or in chunks.
            if (m_impl->isFramed && m_impl->socket->hasEnded())
                return fail(m_impl->error(ErrorCode::UpstreamFailed, "upstream.read",
                                          "the connection was closed inside the body",
                                          Outcome::Unknown));
            return ReadPart{ReadState::End, {}};
        }
        ReadPart part{ReadState::Data, {}};
        const auto n = std::min<std::streamsize>(buf.in_avail(), readSize);
        part.data.resize(static_cast<std::size_t>(n));
        buf.sgetn(part.data.data(), n);
        return part;
    } catch (const Poco::Exception &e) {
        return fail(m_impl->error(ErrorCode::UpstreamFailed, "upstream.read", e.displayText(),
                                  Outcome::Unknown));
    }
}

bool refusesConnections(const settings::Address &address, Duration timeout)
{
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(address.host, address.port), timespan(timeout));
    } catch (const Poco::Net::ConnectionRefusedException &) {
        return true;
    } catch (const Poco::Exception &) {
        // The path to it may be interrupted.
        return false;
    }
    return false;
}

Result<HttpReply> fetch(const settings::Address &address, const std::string &method,
                        const std::string &path, const HeaderFields &headers,
                        const std::string &body, CallTimeouts timeouts, std::size_t maxBytes,
                        const std::function<bool()> &maySend)
{
    HttpCall call(address, timeouts);
    BOOST_LEAF_CHECK(call.connect());
    if (maySend && !maySend())
        return fail({ErrorCode::Cancelled,
                     "http.fetch",
                     settings::toString(address),
                     "the call may not be sent any more",
                     Outcome::NotRun,
                     {}});
    BOOST_LEAF_CHECK(call.send(method, path, headers, body));
    BOOST_LEAF_AUTO(isReady, call.waitForHead(timeouts.silence));
    const auto peer = settings::toString(address);
    const auto failed = [&](ErrorCode code, const std::string &message) {
        return fail({code, "http.fetch", peer, message, Outcome::Unknown, {}});
    };
    if (!isReady)
        return failed(ErrorCode::Timeout, "no answer in time");
    BOOST_LEAF_CHECK(call.readHead());
    HttpReply reply{call.status(), headerValue(call.headers(), "Content-Type"), call.headers(), {}};
    while (true) {
        BOOST_LEAF_AUTO(part, call.read(timeouts.silence));
        if (part.state == ReadState::Timeout)
            return failed(ErrorCode::Timeout, "the answer stopped");
        if (part.state == ReadState::End)
            return reply;
        reply.body += part.data;
        if (reply.body.size() > maxBytes)
            return failed(ErrorCode::TooLarge, "the answer is too large");
    }
}

} // namespace kumquathaven::runtime
