#include "callerconnection.h"

#include "exchange.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <utility>

namespace kumquathaven::gateway {

namespace {

/// Bytes of further requests that are buffered while one is being answered.
constexpr std::size_t maxPipelinedBytes = std::size_t{64} * 1024;
/// Maximum time between two parts of a request body.
constexpr Duration bodyTimeout = std::chrono::seconds(10);

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

/// What a connection holds besides the bytes of its requests and answers.
constexpr std::size_t connectionBytes = 4096;
/// A caller that has not taken more of its answer than this may be ended to make room.
constexpr std::size_t slowCallerBytes = std::size_t{16} * 1024;
constexpr Duration noRoomRetryAfter = std::chrono::milliseconds(500);
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
    m_waitingSince = now;
    const std::weak_ptr<CallerConnection> weak = weak_from_this();
    m_account = m_gateway.budget->open(
        &m_gateway,
        [&loop = m_gateway.loop, weak] {
            boost::asio::dispatch(loop, [weak] {
                if (const auto self = weak.lock())
                    self->endForRoom();
            });
        },
        now);
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
        if (const auto self = weak.lock())
            self->drained();
    };
    m_connection->setEvents(std::move(events));
    m_connection->startReading();
    count();
}

/// Tells the budget what is held. The connection may be closed when this returns.
void CallerConnection::count()
{
    const std::size_t bytes = connectionBytes + m_body.size() + m_pendingInput.size()
        + m_pendingOutput.size() + m_connection->queuedBytes() + m_requestBytes + m_answerBytes
        + (m_parser ? m_parser->heldBytes() : 0);
    if (bytes != m_account.bytes() || m_parser)
        m_account.set(bytes, monotonicNow());
}

void CallerConnection::setStage(budget::PeerStage stage)
{
    if (std::exchange(m_stage, stage) != stage)
        m_account.setStage(stage, monotonicNow());
}

void CallerConnection::drained()
{
    if (m_exchange) {
        setStage(budget::PeerStage::Served);
        count();
        m_exchange->callerDrained();
    } else {
        count();
    }
}

void CallerConnection::holdsForAnswer(std::size_t bytes)
{
    m_answerBytes = bytes;
    count();
}

void CallerConnection::endForRoom()
{
    const auto self = shared_from_this();
    if (m_exchange) {
        m_connection->reset();
        ended();
    } else if (!m_isClosed && m_parser && m_parser->hasHead()) {
        m_keepsAlive = false;
        m_isHeadRequest = false;
        reply(m_gateway.dialect.requests.refuse({ErrorCode::Overloaded,
                                                 "gateway.read",
                                                 {},
                                                 "this entry is out of room for requests",
                                                 Outcome::NotRun,
                                                 noRoomRetryAfter}));
        release();
    } else {
        close();
    }
}

/// Frees what is held for a connection that has ended.
void CallerConnection::release()
{
    m_parser.reset();
    std::string().swap(m_body);
    std::string().swap(m_pendingInput);
    std::string().swap(m_pendingOutput);
    m_requestBytes = 0;
    m_answerBytes = 0;
    if (m_connection->queuedBytes() == 0)
        m_account = {};
    else
        count();
}

void CallerConnection::received(std::string_view bytes)
{
    const auto self = shared_from_this();
    m_pendingInput.append(bytes);
    if (!m_exchange)
        parse();
    else if (m_pendingInput.size() > maxPipelinedBytes)
        m_connection->pauseReading();
    if (!m_isClosed)
        count();
}

void CallerConnection::ended()
{
    const auto self = shared_from_this();
    m_isClosed = true;
    const std::shared_ptr<Exchange> exchange = std::exchange(m_exchange, nullptr);
    if (exchange)
        exchange->callerDisconnected();
    release();
}

void CallerConnection::parse()
{
    while (!m_exchange && !m_isClosed && !m_pendingInput.empty()) {
        const TimePoint now = monotonicNow();
        if (!m_parser) {
            m_parser = std::make_unique<http::MessageParser>(http::MessageSide::Request,
                                                             boundsOf(m_gateway));
            m_body.clear();
            m_hasSentContinue = false;
            m_waitingSince = now;
            m_account.setStage(budget::PeerStage::Waiting, now);
        }
        m_lastInputAt = now;
        const http::ParseState state = m_parser->feed(std::exchange(m_pendingInput, {}), m_body);
        if (state == http::ParseState::Done)
            handleRequest();
        else if (state != http::ParseState::Open)
            refuseRequest(state);
        else
            sendContinue();
    }
}

void CallerConnection::sendContinue()
{
    if (m_hasSentContinue || !m_parser->hasHead())
        return;
    const std::string expects = runtime::headerValue(m_parser->head().fields, "Expect");
    if (expects.empty())
        return;
    m_hasSentContinue = true;
    m_connection->write("HTTP/1.1 100 Continue\r\n\r\n");
}

void CallerConnection::handleRequest()
{
    http::Head head = m_parser->head();
    m_pendingInput = m_parser->takeRest();
    m_parser.reset();
    m_keepsAlive = head.keepsAlive;
    m_isHeadRequest = head.method == "HEAD";
    m_isVersion11 = head.isVersion11;
    // The exchange keeps the body, and a copy of it is on its way to the server.
    m_requestBytes = 2 * m_body.size();
    setStage(budget::PeerStage::Served);
    m_exchange = std::make_shared<Exchange>(m_gateway, weak_from_this(), std::move(head),
                                            std::exchange(m_body, {}), monotonicNow());
    // The exchange may finish, and reset m_exchange, before start() returns.
    const std::shared_ptr<Exchange> exchange = m_exchange;
    exchange->start();
}

void CallerConnection::refuseRequest(http::ParseState state)
{
    m_gateway.counters.malformed.add();
    m_keepsAlive = false;
    m_isHeadRequest = false;
    Error error{codeOf(state), "gateway.read", {}, "cannot parse the request", Outcome::NotRun, {}};
    runtime::HttpReply answer = m_gateway.dialect.requests.refuse(error);
    if (state == http::ParseState::HeadTooLarge)
        answer.status = statusHeadTooLarge;
    reply(answer);
}

runtime::HeaderFields CallerConnection::framingFields(std::uint64_t length) const
{
    runtime::HeaderFields fields{{"Content-Length", std::to_string(length)}};
    if (!m_keepsAlive || m_gateway.leaving)
        fields.emplace_back("Connection", "close");
    return fields;
}

void CallerConnection::reply(const runtime::HttpReply &reply)
{
    if (m_isClosed)
        return;
    if (m_hasAnswerStarted) {
        abort();
        return;
    }
    runtime::HeaderFields fields = reply.headers;
    fields.emplace_back("Content-Type", reply.contentType);
    for (auto &it : framingFields(reply.body.size()))
        fields.push_back(std::move(it));
    std::string bytes = http::answerHead(reply.status, {}, fields);
    if (!m_isHeadRequest)
        bytes += reply.body;
    m_connection->write(std::move(bytes));
    endAnswer();
}

void CallerConnection::sendHead(const http::Head &head)
{
    if (m_isClosed)
        return;
    m_hasAnswerStarted = true;
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
    m_isChunked = !head.contentLength && !m_isHeadRequest && m_isVersion11;
    if (head.contentLength)
        fields.emplace_back("Content-Length", std::to_string(*head.contentLength));
    else if (m_isChunked)
        fields.emplace_back("Transfer-Encoding", "chunked");
    else
        m_keepsAlive = false;
    if (!m_keepsAlive || m_gateway.leaving)
        fields.emplace_back("Connection", "close");
    // The head is sent together with the first bytes of the body.
    m_pendingOutput += http::answerHead(head.status, head.reason, fields);
}

void CallerConnection::sendBody(std::string_view bytes)
{
    if (m_isClosed || m_isHeadRequest || bytes.empty())
        return;
    m_pendingOutput += m_isChunked ? http::chunk(bytes) : std::string(bytes);
    flush();
    if (m_connection->queuedBytes() > slowCallerBytes)
        setStage(budget::PeerStage::Waiting);
    count();
}

void CallerConnection::flush()
{
    if (!m_pendingOutput.empty())
        m_connection->write(std::exchange(m_pendingOutput, {}));
}

void CallerConnection::finish()
{
    if (m_isClosed)
        return;
    if (m_isChunked)
        m_pendingOutput += http::lastChunk;
    flush();
    endAnswer();
}

void CallerConnection::abort()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    m_exchange.reset();
    m_connection->reset();
    release();
}

void CallerConnection::endAnswer()
{
    m_exchange.reset();
    m_isChunked = false;
    m_hasAnswerStarted = false;
    m_requestBytes = 0;
    m_answerBytes = 0;
    m_waitingSince = monotonicNow();
    setStage(budget::PeerStage::Waiting);
    if (!m_keepsAlive || m_gateway.leaving) {
        m_isClosed = true;
        m_connection->closeAfterWrites();
        release();
        return;
    }
    count();
    if (m_isClosed)
        return;
    m_connection->startReading();
    // A pipelined request may have arrived already. It is parsed from the event loop to avoid
    // recursion into the exchange that ends here.
    if (!m_pendingInput.empty())
        boost::asio::post(m_gateway.loop, [self = shared_from_this()] {
            if (!self->m_exchange && !self->m_isClosed)
                self->parse();
        });
}

void CallerConnection::instanceEnds()
{
    // The exchange resets m_exchange when it ends.
    if (const std::shared_ptr<Exchange> exchange = m_exchange)
        exchange->instanceEnds();
}

bool CallerConnection::checkTimeouts(TimePoint now)
{
    if (!m_connection->isOpen())
        return false;
    if (m_exchange)
        return true;
    const deployment::CallerLimits limits = limitsOf(m_gateway);
    if (m_isClosed) {
        // Its caller has not read the last answer.
        if (now - m_waitingSince > limits.idleTimeout)
            close();
        return m_connection->isOpen();
    }
    if (!m_parser) {
        if (now - m_waitingSince > limits.idleTimeout)
            close();
    } else if (!m_parser->hasHead() ? now - m_waitingSince > limits.headerTimeout
                                    : now - m_lastInputAt > bodyTimeout) {
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
