// Sends one request to one server and receives the answer.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_UPSTREAMCALL_H
#define KUMQUATHAVEN_LIB_GATEWAY_UPSTREAMCALL_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/deployment/request.h"
#include "kumquathaven/http/connection.h"
#include "kumquathaven/http/message.h"
#include "upstreampool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace kumquathaven::gateway {

/// Reasons why a call ended without a complete answer.
enum class CallFailure {
    /// No connection was made, so that no byte of the request was sent.
    NotConnected,
    /// A reused connection ended before any byte of the answer: the server had closed it.
    StaleConnection,
    /// The connection ended before the answer was complete.
    Cut,
    /// The received bytes are not a valid answer.
    Malformed,
};

/// A request and the server that it is sent to.
struct CallRequest
{
    settings::Address address;
    /// Start of the server, by which its idle connections are found.
    std::string start;
    /// Encoded head and body.
    std::string bytes;
    /// Whether the answer has no body, as for HEAD.
    bool isHead = false;
    /// Answers with another request id are skipped. Without an id an answer cannot be matched to
    /// the request, so that no connection is reused.
    std::string requestId;
    /// Whether an idle connection may be reused if there is a request id.
    bool mayReuse = false;
    Duration connectTimeout = std::chrono::milliseconds(300);
    /// A longer body is malformed.
    std::uint64_t maxBodyBytes = std::uint64_t{1} << 40U;
};

/// Callbacks of a call. None is called after done() or failed(), or after cancel().
struct CallEvents
{
    std::function<void(const http::Head &, const deployment::AnswerHead &)> head;
    std::function<void(std::string_view)> body;
    std::function<void()> done;
    std::function<void(CallFailure)> failed;
};

/// Parses the head of an answer according to the dialect.
using ReadAnswer = deployment::AnswerHead (*)(int status, const runtime::HeaderFields &fields);

/// Used on the loop's thread only.
class UpstreamCall : public std::enable_shared_from_this<UpstreamCall>
{
public:
    UpstreamCall(boost::asio::io_context &loop, UpstreamPool &pool, ReadAnswer readAnswer);
    UpstreamCall(const UpstreamCall &) = delete;
    UpstreamCall &operator=(const UpstreamCall &) = delete;

    void start(CallRequest request, CallEvents events, TimePoint now);

    /// Cancels the call by resetting its connection, so that the server drops the request.
    void cancel();

    /// Pause and resume reading of the answer, for callers that read slowly.
    void pause();
    void resume();

    /// Returns whether any byte of the request may have reached the server.
    bool wasSent() const { return m_wasSent; }
    /// Returns whether the call used a new connection.
    bool isNewConnection() const { return !m_isReused; }

private:
    void connected();
    void send();
    void received(std::string_view bytes);
    void ended(http::ConnectionEnd end);
    bool handleHead();
    bool isForOtherRequest() const;
    void startParser();
    void finish();
    void fail(CallFailure failure);
    void endCall();

    boost::asio::io_context &m_loop;
    UpstreamPool &m_pool;
    ReadAnswer m_readAnswer;
    boost::asio::steady_timer m_connectTimer;
    CallRequest m_request;
    CallEvents m_events;
    std::shared_ptr<http::Connection> m_connection;
    std::unique_ptr<http::MessageParser> m_parser;
    deployment::AnswerHead m_answer;
    bool m_isFinished = false;
    bool m_wasSent = false;
    bool m_isReused = false;
    bool m_hasReportedHead = false;
    bool m_isPaused = false;
};

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_UPSTREAMCALL_H
