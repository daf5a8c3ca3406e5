#include "upstreamcall.h"

#include <utility>

namespace kumquathaven::gateway {

namespace {

/// A connection is kept for the time that its server names, divided by this, so that it is not used
/// just as the server closes it.
constexpr int keepAliveDivisor = 2;
/// Time for which a connection is kept if its server names none, and maximum of that time.
constexpr Duration defaultKeepTime = std::chrono::seconds(2);
constexpr Duration maxKeepTime = std::chrono::seconds(20);
/// A connection to a machine that stops responding is given up after this time.
constexpr Duration silenceLimit = std::chrono::seconds(3);
constexpr int firstFinalStatus = 200;

constexpr std::uint32_t maxHeadBytes = 64 * 1024;

} // namespace

UpstreamCall::UpstreamCall(boost::asio::io_context &loop, UpstreamPool &pool, ReadAnswer readAnswer)
    : m_loop(loop)
    , m_pool(pool)
    , m_readAnswer(readAnswer)
    , m_connectTimer(loop)
{ }

void UpstreamCall::start(CallRequest request, CallEvents events, TimePoint now)
{
    m_request = std::move(request);
    m_events = std::move(events);
    startParser();
    // A late second copy of an earlier answer is told apart by the id of its request only.
    if (m_request.mayReuse && !m_request.requestId.empty())
        m_connection = m_pool.take(m_request.start, now);
    if (m_connection) {
        m_isReused = true;
        send();
        return;
    }
    const std::weak_ptr<UpstreamCall> weak = weak_from_this();
    m_connection = http::Connection::connect(m_loop, m_request.address, [weak](bool isConnected) {
        const auto self = weak.lock();
        if (!self || self->m_isFinished)
            return;
        self->m_connectTimer.cancel();
        if (isConnected)
            self->connected();
        else
            self->fail(CallFailure::NotConnected);
    });
    m_connectTimer.expires_after(m_request.connectTimeout);
    m_connectTimer.async_wait([weak](const boost::system::error_code &ec) {
        const auto self = weak.lock();
        if (!ec && self && !self->m_isFinished && !self->m_wasSent)
            self->fail(CallFailure::NotConnected);
    });
}

void UpstreamCall::connected()
{
    m_connection->setSilenceLimit(silenceLimit);
    send();
}

void UpstreamCall::send()
{
    m_wasSent = true;
    const std::weak_ptr<UpstreamCall> weak = weak_from_this();
    http::ConnectionEvents events;
    events.received = [weak](std::string_view bytes) {
        if (const auto self = weak.lock())
            self->received(bytes);
    };
    events.ended = [weak](http::ConnectionEnd end) {
        if (const auto self = weak.lock())
            self->ended(end);
    };
    m_connection->setEvents(std::move(events));
    m_connection->write(std::move(m_request.bytes));
    m_connection->startReading();
}

void UpstreamCall::received(std::string_view bytes)
{
    // The callbacks below may end this call and release it.
    const auto self = shared_from_this();
    std::string pending(bytes);
    while (!m_isFinished) {
        std::string body;
        const http::ParseState state = m_parser->feed(pending, body);
        pending.clear();
        if (m_parser->hasHead() && !m_hasReportedHead && !handleHead()) {
            if (m_isFinished)
                return;
            if (state == http::ParseState::Open)
                return;
            // This was an interim answer or an answer to another request. The next answer may
            // follow in the same bytes.
            pending = m_parser->takeRest();
            startParser();
            if (pending.empty())
                return;
            continue;
        }
        if (!body.empty() && m_hasReportedHead && !m_isFinished)
            m_events.body(body);
        if (m_isFinished)
            return;
        if (state == http::ParseState::Done)
            finish();
        else if (state != http::ParseState::Open)
            fail(CallFailure::Malformed);
        return;
    }
}

/// Prepares to parse the next answer on the connection.
void UpstreamCall::startParser()
{
    http::MessageBounds bounds;
    bounds.maxHeadBytes = maxHeadBytes;
    bounds.maxBodyBytes = m_request.maxBodyBytes;
    m_parser = std::make_unique<http::MessageParser>(http::MessageSide::Answer, bounds);
    if (m_request.isHead)
        m_parser->expectNoBody();
}

/// Reports the head of the answer, unless it is interim or belongs to another request. Returns
/// whether it was reported.
bool UpstreamCall::handleHead()
{
    const http::Head &head = m_parser->head();
    m_answer = m_readAnswer(head.status, head.fields);
    if (head.status < firstFinalStatus || isForOtherRequest())
        return false;
    // On a reused connection an answer without an id may be a second copy of an earlier answer.
    if (m_isReused && !m_request.requestId.empty() && m_answer.requestId.empty()) {
        fail(CallFailure::Malformed);
        return false;
    }
    m_hasReportedHead = true;
    const auto onHead = m_events.head;
    onHead(head, m_answer);
    return true;
}

bool UpstreamCall::isForOtherRequest() const
{
    return !m_request.requestId.empty() && !m_answer.requestId.empty()
        && m_answer.requestId != m_request.requestId;
}

void UpstreamCall::ended(http::ConnectionEnd end)
{
    if (m_isFinished)
        return;
    const bool isComplete = end == http::ConnectionEnd::Closed && m_hasReportedHead
        && m_parser->finish() == http::ParseState::Done;
    if (isComplete)
        finish();
    else if (m_isReused && !m_parser->hasBegun() && !m_hasReportedHead)
        fail(CallFailure::StaleConnection);
    else
        fail(CallFailure::Cut);
}

void UpstreamCall::finish()
{
    const auto done = m_events.done;
    const bool isReusable = !m_request.requestId.empty() && m_parser->head().keepsAlive
        && !m_parser->head().endsWithConnection && m_parser->takeRest().empty()
        && m_connection->queuedBytes() == 0 && m_connection->isOpen() && !m_isPaused;
    const Duration serverKeepTime = m_answer.keepAlive.value_or(defaultKeepTime * keepAliveDivisor);
    const Duration keepTime = std::min(serverKeepTime / keepAliveDivisor, maxKeepTime);
    const std::shared_ptr<http::Connection> connection = m_connection;
    m_isFinished = true;
    m_events = {};
    connection->setEvents({});
    if (isReusable && keepTime > Duration(0))
        m_pool.put(m_request.start, connection, monotonicNow() + keepTime);
    else
        connection->close();
    done();
}

void UpstreamCall::fail(CallFailure failure)
{
    const auto failed = m_events.failed;
    endCall();
    failed(failure);
}

void UpstreamCall::cancel()
{
    if (!m_isFinished)
        endCall();
}

void UpstreamCall::endCall()
{
    m_isFinished = true;
    m_events = {};
    m_connectTimer.cancel();
    if (m_connection)
        m_connection->reset();
}

void UpstreamCall::pause()
{
    m_isPaused = true;
    if (m_connection)
        m_connection->pauseReading();
}

void UpstreamCall::resume()
{
    m_isPaused = false;
    if (m_connection && !m_isFinished)
        m_connection->startReading();
}

} // namespace kumquathaven::gateway
