#include "callerconnection.h"

#include "exchange.h"

#include <algorithm>
#include <utility>

namespace kumquathaven::gateway {

namespace {

/// Bytes of further requests that are kept while one is being answered.
constexpr std::size_t maxWaitingBytes = std::size_t{64} * 1024;
/// A body may take this long without a byte.
constexpr Duration bodySilence = std::chrono::seconds(10);

http::MessageBounds boundsOf(const Gateway &gateway)
{
    const deployment::CallerLimits limits =
        gateway.plan ? gateway.plan->plan.limits : deployment::CallerLimits();
    return {limits.maxHeaderBytes, limits.maxBodyBytes};
}

deployment::CallerLimits limitsOf(const Gateway &gateway)
{
    return gateway.plan ? gateway.plan->plan.limits : deployment::CallerLimits();
}

ErrorCode codeOf(http::ParseState state)
{
    return state == http::ParseState::BodyTooLarge ? ErrorCode::TooLarge
                                                   : ErrorCode::InvalidRequest;
}

constexpr int statusHeadTooLarge = 431;
constexpr int statusRequestTimeout = 408;

} // namespace

CallerConnection::CallerConnection(Gateway &gateway, std::shared_ptr<http::Connection> connection)
    : m_gateway(gateway)
    , m_connection(std::move(connection))
{ }

CallerConnection::~CallerConnection() = default;

void CallerConnection::start(TimePoint now)
{
    m_waitsSince = now;
    const std::weak_ptr<CallerConnection> weak = weak_from_this();
    http::ConnectionEvents events;
    events.received = [weak](std::string_view bytes) {
        if (const auto self = weak.lock())
            self->received(bytes);
    };
    events.ended = [weak](http::ConnectionEnd) {
        if (const auto self = weak.lock())
            self->ended();
    };
    events.drained = [weak] {
        const auto self = weak.lock();
        if (self && self->m_exchange)
            self->m_exchange->callerDrained();
    };
    m_connection->setEvents(std::move(events));
    m_connection->startReading();
}

void CallerConnection::received(std::string_view bytes)
{
    const auto self = shared_from_this();
    m_waiting.append(bytes);
    if (!m_exchange)
        parse();
    else if (m_waiting.size() > maxWaitingBytes)
        m_connection->pauseReading();
}

void CallerConnection::ended()
{
    const auto self = shared_from_this();
    m_isOver = true;
    const std::shared_ptr<Exchange> exchange = std::exchange(m_exchange, nullptr);
    if (exchange)
        exchange->callerLeft();
}

void CallerConnection::parse()
{
    while (!m_exchange && !m_isOver && !m_waiting.empty()) {
        const TimePoint now = monotonicNow();
        if (!m_parser) {
            m_parser = std::make_unique<http::MessageParser>(http::MessageSide::Request,
                                                             boundsOf(m_gateway));
            m_body.clear();
            m_hasContinued = false;
            m_waitsSince = now;
        }
        m_bodyAt = now;
        const http::ParseState state = m_parser->feed(std::exchange(m_waiting, {}), m_body);
        if (state == http::ParseState::Done)
            takeRequest();
        else if (state != http::ParseState::Open)
            refuseRequest(state);
        else
            answerContinue();
    }
}

void CallerConnection::answerContinue()
{
    if (m_hasContinued || !m_parser->hasHead())
        return;
    const std::string expects = runtime::headerValue(m_parser->head().fields, "Expect");
    if (expects.empty())
        return;
    m_hasContinued = true;
    m_connection->write("HTTP/1.1 100 Continue\r\n\r\n");
}

void CallerConnection::takeRequest()
{
    http::Head head = m_parser->head();
    m_waiting = m_parser->takeRest();
    m_parser.reset();
    m_keepsAlive = head.keepsAlive;
    m_isHead = head.method == "HEAD";
    m_isVersion11 = head.isVersion11;
    m_exchange = std::make_shared<Exchange>(m_gateway, weak_from_this(), std::move(head),
                                            std::exchange(m_body, {}), monotonicNow());
    // It may be answered before this returns.
    const std::shared_ptr<Exchange> exchange = m_exchange;
    exchange->begin();
}

void CallerConnection::refuseRequest(http::ParseState state)
{
    m_gateway.counters.malformed.add();
    m_keepsAlive = false;
    m_isHead = false;
    Error error{
        codeOf(state), "gateway.read", {}, "the request can not be read", Outcome::NotRun, {}};
    runtime::HttpReply answer = m_gateway.dialect.requests.refuse(error);
    if (state == http::ParseState::HeadTooLarge)
        answer.status = statusHeadTooLarge;
    reply(answer);
}

runtime::HeaderFields CallerConnection::framing(std::uint64_t length) const
{
    runtime::HeaderFields fields{{"Content-Length", std::to_string(length)}};
    if (!m_keepsAlive || m_gateway.isDraining)
        fields.emplace_back("Connection", "close");
    return fields;
}

void CallerConnection::reply(const runtime::HttpReply &reply)
{
    if (m_isOver)
        return;
    runtime::HeaderFields fields = reply.headers;
    fields.emplace_back("Content-Type", reply.contentType);
    for (auto &it : framing(reply.body.size()))
        fields.push_back(std::move(it));
    std::string bytes = http::answerHead(reply.status, {}, fields);
    if (!m_isHead)
        bytes += reply.body;
    m_connection->write(std::move(bytes));
    endAnswer();
}

void CallerConnection::sendHead(const http::Head &head)
{
    if (m_isOver)
        return;
    runtime::HeaderFields fields;
    for (const auto &it : head.fields) {
        const bool isOfConnection = runtime::sameFieldName(it.first, "Connection")
            || runtime::sameFieldName(it.first, "Keep-Alive")
            || runtime::sameFieldName(it.first, "Transfer-Encoding")
            || runtime::sameFieldName(it.first, "Content-Length")
            || runtime::sameFieldName(it.first, "Proxy-Connection")
            || runtime::sameFieldName(it.first, "Upgrade")
            || runtime::sameFieldName(it.first, "Trailer");
        if (!isOfConnection)
            fields.push_back(it);
    }
    m_isChunked = !head.contentLength && !m_isHead && m_isVersion11;
    if (head.contentLength)
        fields.emplace_back("Content-Length", std::to_string(*head.contentLength));
    else if (m_isChunked)
        fields.emplace_back("Transfer-Encoding", "chunked");
    else
        m_keepsAlive = false;
    if (!m_keepsAlive || m_gateway.isDraining)
        fields.emplace_back("Connection", "close");
    // The head leaves with the first bytes of the body.
    m_out += http::answerHead(head.status, head.reason, fields);
}

void CallerConnection::sendBody(std::string_view bytes)
{
    if (m_isOver || m_isHead || bytes.empty())
        return;
    m_out += m_isChunked ? http::chunk(bytes) : std::string(bytes);
    flush();
}

void CallerConnection::flush()
{
    if (!m_out.empty())
        m_connection->write(std::exchange(m_out, {}));
}

void CallerConnection::finish()
{
    if (m_isOver)
        return;
    if (m_isChunked)
        m_out += http::lastChunk;
    flush();
    endAnswer();
}

void CallerConnection::abort()
{
    if (m_isOver)
        return;
    m_isOver = true;
    m_exchange.reset();
    m_connection->reset();
}

void CallerConnection::endAnswer()
{
    m_exchange.reset();
    m_isChunked = false;
    if (!m_keepsAlive || m_gateway.isDraining) {
        m_isOver = true;
        m_connection->closeAfterWrites();
        return;
    }
    m_waitsSince = monotonicNow();
    m_connection->startReading();
    // The next request may wait already; it is read from the loop, not from within this one.
    if (!m_waiting.empty())
        boost::asio::post(m_gateway.loop, [self = shared_from_this()] {
            if (!self->m_exchange && !self->m_isOver)
                self->parse();
        });
}

bool CallerConnection::isIdle() const
{
    return !m_exchange && !m_parser && m_waiting.empty();
}

bool CallerConnection::review(TimePoint now)
{
    if (m_isOver || !m_connection->isOpen())
        return m_connection->isOpen();
    if (m_exchange)
        return true;
    const deployment::CallerLimits limits = limitsOf(m_gateway);
    if (!m_parser) {
        if (now - m_waitsSince > limits.idleTimeout)
            close();
    } else if (!m_parser->hasHead() ? now - m_waitsSince > limits.headerTimeout
                                    : now - m_bodyAt > bodySilence) {
        m_keepsAlive = false;
        runtime::HttpReply answer =
            m_gateway.dialect.requests.refuse({ErrorCode::Overloaded,
                                               "gateway.read",
                                               {},
                                               "the request did not arrive in time",
                                               Outcome::NotRun,
                                               {}});
        answer.status = statusRequestTimeout;
        reply(answer);
    }
    return m_connection->isOpen();
}

void CallerConnection::close()
{
    const auto self = shared_from_this();
    m_connection->close();
    ended();
}

} // namespace kumquathaven::gateway
