#include "serverpeer.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <cerrno>
#include <utility>
#include <vector>

#include <poll.h>
#include <sys/socket.h>

namespace kumquathaven::runtime {

namespace {

using boost::system::error_code;

constexpr std::size_t scratchBytes = std::size_t{64} * 1024;
constexpr int readsPerTurn = 4;
/// What a connection holds besides the bytes of its requests.
constexpr std::size_t connectionBytes = 4096;
/// After a refusal the rest of a request is read and dropped for this time, so that the caller
/// reads the answer before it finds that the connection has ended.
constexpr Duration lingerTime = std::chrono::seconds(1);
constexpr Duration refusedRetryAfter = std::chrono::seconds(1);
constexpr std::size_t defaultMaxFields = 256;
constexpr int statusHeadTooLarge = 431;

std::vector<char> &scratch()
{
    static thread_local std::vector<char> buffer(scratchBytes);
    return buffer;
}

bool wouldBlock(int code)
{
    return code == EAGAIN || code == EWOULDBLOCK || code == EINTR;
}

http::MessageBounds boundsOf(const ServerBounds &bounds)
{
    http::MessageBounds result;
    result.maxHeadBytes = bounds.maxHeaderBytes;
    result.maxBodyBytes = bounds.maxBodyBytes;
    result.maxFields = std::max<std::size_t>(defaultMaxFields, bounds.maxHeaderFields + 1);
    return result;
}

} // namespace

ServerPeer::ServerPeer(ServerCore &core, boost::asio::ip::tcp::socket socket)
    : m_core(core)
    , m_socket(std::move(socket))
{ }

ServerPeer::~ServerPeer() = default;

void ServerPeer::start(TimePoint now)
{
    error_code ec;
    m_socket.non_blocking(true, ec);
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
    const auto remote = m_socket.remote_endpoint(ec);
    if (!ec)
        m_address =
            settings::toString(settings::Address{remote.address().to_string(), remote.port()});
    m_account = m_core.bounds.budget->open(
        &m_core,
        [&loop = m_core.loop, weak = weak_from_this()] {
            boost::asio::dispatch(loop, [weak] {
                if (const auto self = weak.lock())
                    self->endForRoom();
            });
        },
        now);
    m_since = m_progressAt = now;
    m_account.set(connectionBytes, now);
    if (m_state != State::Closed)
        waitReadable();
}

std::string ServerPeer::address() const
{
    return m_address;
}

void ServerPeer::waitReadable()
{
    if (std::exchange(m_isWaitingToRead, true))
        return;
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                        [self = shared_from_this()](const error_code &ec) {
                            self->m_isWaitingToRead = false;
                            if (!ec)
                                self->readAvailable();
                        });
}

void ServerPeer::readAvailable()
{
    std::vector<char> &buffer = scratch();
    for (int n = 0; n < readsPerTurn && (m_state == State::Reading || m_state == State::Lingering);
         ++n) {
        error_code ec;
        const std::size_t bytes = m_socket.read_some(boost::asio::buffer(buffer), ec);
        if (ec == boost::asio::error::would_block || ec == boost::asio::error::try_again)
            break;
        if (ec) {
            close();
            return;
        }
        if (m_state == State::Reading)
            parse({buffer.data(), bytes});
        if (bytes < buffer.size())
            break;
    }
    if (m_state == State::Reading || m_state == State::Lingering)
        waitReadable();
}

void ServerPeer::parse(std::string_view bytes)
{
    const TimePoint now = monotonicNow();
    if (!m_parser) {
        m_parser = std::make_unique<http::MessageParser>(http::MessageSide::Request,
                                                         boundsOf(m_core.bounds));
        m_body.clear();
        m_hasSentContinue = false;
        m_since = now;
        m_account.setStage(budget::PeerStage::Waiting, now);
    }
    m_progressAt = now;
    const http::ParseState state = m_parser->feed(bytes, m_body);
    if (state == http::ParseState::Done) {
        handleRequest();
    } else if (state != http::ParseState::Open) {
        refuseState(state);
    } else {
        sendContinue();
        count(now);
    }
}

/// Tells the budget what is held. The connection may be closed when this returns.
void ServerPeer::count(TimePoint now)
{
    const std::size_t waiting = m_parser ? m_parser->heldBytes() : 0;
    m_account.set(connectionBytes + waiting + m_body.size() + m_rest.size() + m_output.size(), now);
}

void ServerPeer::sendContinue()
{
    if (m_hasSentContinue || !m_parser->hasHead()
        || headerValue(m_parser->head().fields, "Expect").empty())
        return;
    m_hasSentContinue = true;
    std::string bytes = "HTTP/1.1 100 Continue\r\n\r\n";
    sendSome(bytes);
}

void ServerPeer::handleRequest()
{
    m_head = m_parser->head();
    m_rest = m_parser->takeRest();
    m_parser.reset();
    m_keepsAlive = m_head.keepsAlive;
    if (m_head.fields.size() > m_core.bounds.maxHeaderFields) {
        refuse({ErrorCode::InvalidRequest,
                "http.read",
                m_address,
                "too many header fields",
                Outcome::NotRun,
                {}});
        return;
    }
    if (!m_core.gate.enter()) {
        refuse({ErrorCode::Unavailable, "http.accept", m_address, "the instance ends",
                Outcome::NotRun, refusedRetryAfter});
        return;
    }
    const TimePoint now = monotonicNow();
    setState(State::Served);
    m_account.setStage(budget::PeerStage::Waiting, now);
    count(now);
    if (m_state != State::Served || m_core.dispatch(shared_from_this()))
        return;
    m_core.gate.leave();
    refuse({ErrorCode::Overloaded, "http.accept", m_address, "too many requests wait",
            Outcome::NotRun, refusedRetryAfter});
}

void ServerPeer::refuseState(http::ParseState state)
{
    const bool isBody = state == http::ParseState::BodyTooLarge;
    const bool isHead = state == http::ParseState::HeadTooLarge;
    std::string text = "cannot parse the request";
    if (isBody)
        text = "the body has more than " + std::to_string(m_core.bounds.maxBodyBytes) + " bytes";
    else if (isHead)
        text = "the head has more than " + std::to_string(m_core.bounds.maxHeaderBytes)
            + " bytes or too many fields";
    refuse({isBody || isHead ? ErrorCode::TooLarge : ErrorCode::InvalidRequest,
            "http.read",
            m_address,
            text,
            Outcome::NotRun,
            {}},
           isHead ? statusHeadTooLarge : 0);
}

/// Answers a request that does not run, and ends the connection. Status 0: that of the error.
void ServerPeer::refuse(const Error &error, int status)
{
    HttpReply reply = errorReply(error);
    HeaderFields fields = reply.headers;
    fields.emplace_back("Content-Type", reply.contentType);
    fields.emplace_back("Content-Length", std::to_string(reply.body.size()));
    fields.emplace_back("Connection", "close");
    std::string bytes =
        http::answerHead(status == 0 ? reply.status : status, {}, fields) + reply.body;
    std::string().swap(m_body);
    std::string().swap(m_rest);
    m_parser.reset();
    const bool isSent = sendSome(bytes) && bytes.empty();
    setState(State::Lingering);
    const TimePoint now = monotonicNow();
    m_account.setStage(budget::PeerStage::Waiting, now);
    count(now);
    if (!isSent || m_state != State::Lingering) {
        close();
        return;
    }
    error_code ec;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    waitReadable();
}

void ServerPeer::finishAnswer(std::string rest, bool keepsAlive)
{
    boost::asio::post(m_core.loop,
                      [self = shared_from_this(), keepsAlive, bytes = std::move(rest)]() mutable {
                          if (self->m_state != State::Served)
                              return;
                          self->m_keepsAlive = keepsAlive;
                          self->m_output = std::move(bytes);
                          std::string().swap(self->m_body);
                          self->setState(State::Writing);
                          const TimePoint now = monotonicNow();
                          self->m_account.setStage(budget::PeerStage::Waiting, now);
                          self->count(now);
                          self->writeRest();
                      });
}

void ServerPeer::writeRest()
{
    if (m_state != State::Writing)
        return;
    const std::size_t before = m_output.size();
    if (!sendSome(m_output)) {
        close();
        return;
    }
    if (!m_output.empty()) {
        const TimePoint now = monotonicNow();
        if (m_output.size() < before)
            m_progressAt = now;
        count(now);
        m_socket.async_wait(boost::asio::ip::tcp::socket::wait_write,
                            [self = shared_from_this()](const error_code &ec) {
                                if (!ec)
                                    self->writeRest();
                            });
        return;
    }
    std::string().swap(m_output);
    answerEnded();
}

void ServerPeer::answerEnded()
{
    m_core.gate.leave();
    // close() takes the gate's place of an answer in these states only.
    m_state = State::Reading;
    if (!m_keepsAlive || m_core.isStopping) {
        close();
        return;
    }
    resumeReading(monotonicNow());
}

void ServerPeer::resumeReading(TimePoint now)
{
    setState(State::Reading);
    m_account.setStage(budget::PeerStage::Waiting, now);
    const std::string rest = std::exchange(m_rest, {});
    count(now);
    // A caller that sends many requests at once gets its turns between those of others.
    if (!rest.empty() && m_state == State::Reading)
        parse(rest);
    if (m_state == State::Reading)
        waitReadable();
}

Error ServerPeer::noRoom() const
{
    return {ErrorCode::Overloaded,
            "http.read",
            m_address,
            "the instance is out of room for requests",
            Outcome::NotRun,
            refusedRetryAfter};
}

void ServerPeer::endForRoom()
{
    switch (m_state) {
    case State::Reading:
        if (m_parser && m_parser->hasHead())
            refuse(noRoom());
        else
            close();
        break;
    case State::Served:
        if (m_core.withdraw(shared_from_this())) {
            m_core.gate.leave();
            refuse(noRoom());
        }
        break;
    case State::Closed:
        break;
    case State::Writing:
    case State::Lingering:
        close();
        break;
    }
}

void ServerPeer::checkTimeouts(TimePoint now)
{
    const ServerBounds &bounds = m_core.bounds;
    if (m_state == State::Reading) {
        const bool hasHead = m_parser && m_parser->hasHead();
        const Duration headTime =
            m_parser ? bounds.wholeRequest : std::min(bounds.idle, bounds.wholeRequest);
        const bool isSilent = hasHead ? now - m_progressAt > bounds.idle : now - m_since > headTime;
        if (isSilent)
            close();
        else if (hasHead && now - m_since > bounds.wholeRequest)
            refuse({ErrorCode::Timeout,
                    "http.read",
                    m_address,
                    "the request took too long to arrive",
                    Outcome::NotRun,
                    {}});
    } else if (m_state == State::Writing) {
        if (now - m_progressAt > bounds.idle)
            close();
    } else if (m_state == State::Lingering && now - m_since > lingerTime) {
        close();
    }
}

void ServerPeer::cut()
{
    if (m_state == State::Served)
        shutDown();
    else
        close();
}

void ServerPeer::setState(State state)
{
    m_state = state;
    m_since = m_progressAt = monotonicNow();
}

void ServerPeer::close()
{
    if (m_state == State::Closed)
        return;
    if (m_state == State::Writing)
        m_core.gate.leave();
    m_state = State::Closed;
    error_code ec;
    m_socket.close(ec);
    m_account = {};
    m_parser.reset();
    std::string().swap(m_body);
    std::string().swap(m_output);
    m_core.forget(shared_from_this());
}

bool ServerPeer::sendSome(std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = ::send(m_socket.native_handle(), bytes.data() + sent, bytes.size() - sent,
                              MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0 && !wouldBlock(errno))
            return false;
        if (n < 0)
            break;
        sent += static_cast<std::size_t>(n);
    }
    bytes.erase(0, sent);
    return true;
}

bool ServerPeer::sendAll(std::string bytes)
{
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(m_core.bounds.idle);
    while (true) {
        if (!sendSome(bytes))
            return false;
        if (bytes.empty())
            return true;
        pollfd descriptor{m_socket.native_handle(), POLLOUT, 0};
        if (::poll(&descriptor, 1, static_cast<int>(wait.count())) <= 0)
            return false;
    }
}

bool ServerPeer::isGone()
{
    char byte = 0;
    const auto n = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && !wouldBlock(errno));
}

void ServerPeer::shutDown()
{
    ::shutdown(m_socket.native_handle(), SHUT_RDWR);
}

} // namespace kumquathaven::runtime
