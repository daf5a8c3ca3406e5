// Handles one request of a caller from the moment when it was read completely to the end of its
// answer.
//
// The steps are: find the route and the customer, consume tokens, choose a server, send an attempt,
// and forward the answer. After a failure the request is retried if its kind and the retry budget
// allow it.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_EXCHANGE_H
#define KUMQUATHAVEN_LIB_GATEWAY_EXCHANGE_H

#include "callerconnection.h"
#include "eventframer.h"
#include "gateway.h"
#include "kumquathaven/answers/sse.h"
#include "kumquathaven/base/outcome.h"
#include "kumquathaven/telemetry/log.h"
#include "upstreamcall.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kumquathaven::gateway {

/// Used on the loop's thread only.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(Gateway &gateway, std::weak_ptr<CallerConnection> caller, http::Head head,
             std::string body, TimePoint arrivedAt);
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    void start();

    /// Called when the caller closed its connection. Ends the running attempt.
    void callerDisconnected();

    /// Called shortly before this instance ends. Answers the caller with an error, unless the
    /// exchange is finished.
    void instanceEnds();

    /// Called when the request, or a part of its prompt, was found to crash servers. Ends the
    /// running attempt before its server begins to answer it.
    void subjectConvicted(const std::string &subject);

    /// Called when the output that was queued for the caller has been sent. Resumes reading from
    /// the server.
    void callerDrained();

private:
    // exchange.cpp: from the request to the first attempt, and the end of the exchange.
    Result<void> identify();
    Result<void> checkQuarantine();
    Result<void> consumeTokens();
    void armDeadline();
    void deadlinePassed();

    // exchangesend.cpp: attempts and retries.
    void send();
    PickRequest pickRequest() const;
    ReleaseSendEnd sendEnd(AttemptEnd end, TimePoint now) const;
    bool pickForFirstAttempt(const PickRequest &request, TimePoint now);
    CallRequest callRequest(const Pick &pick) const;
    CallEvents callEvents();
    bool mayRetry() const;
    bool retry(AttemptEnd end, Outcome outcome);
    void armMoveTimer();
    bool moveToOtherServer();
    void armWeightsTimer();
    void withdrawFromOldWeights();
    void endAttempt(AttemptEnd end);
    void startWaiting();
    void stopWaiting();

    // exchangeanswer.cpp: answers of servers.
    void handleHead(const http::Head &head, const deployment::AnswerHead &answer);
    void recordServerState(const deployment::AnswerHead &answer);
    void handleNotRun(const deployment::AnswerHead &answer);
    void handleBody(std::string_view bytes);
    void handleEnd();
    void checkServerAtEnd();
    void completeAnswer();
    void handleFailure(CallFailure failure);
    void forward(std::string bytes);
    void forwardHead();
    void recordAnswerBegun();
    void recordCallerPause(TimePoint now);
    void recordServerPause(TimePoint now);

    void endWithError(const Error &error);
    void refuse(const Error &error);
    void cut(const char *what, telemetry::LogFields fields = {});
    void close(telemetry::LogLevel level, const char *what, telemetry::LogFields fields = {});
    /// Writes a log line with the fields that identify this request.
    void log(telemetry::LogLevel level, const char *what, telemetry::LogFields fields) const;
    void logAttempt() const;
    void logAttemptEnd(AttemptEnd end) const;
    bool isStream() const { return m_route->kind == deployment::RequestKind::Streaming; }
    Duration timeLeft(TimePoint now) const { return m_deadline - now; }

    Gateway &m_gateway;
    std::weak_ptr<CallerConnection> m_caller;
    const http::Head m_head;
    const std::string m_body;
    const TimePoint m_arrivedAt;

    /// Keeps the route and the customer alive while the request runs.
    std::shared_ptr<const PlanInForce> m_plan;
    const deployment::Route *m_route = nullptr;
    const deployment::Customer *m_customer = nullptr;
    deployment::CallerHead m_callerHead;
    /// What of the request can crash servers: the parts of its prompt that others may share, then
    /// the request itself.
    std::vector<std::string> m_subjects;
    TimePoint m_deadline{};
    /// Number of tokens that the request counts as against the rate of its customer.
    std::uint64_t m_tokens = 0;
    /// Tokens that were consumed for the request.
    limits::Spending m_spending;
    bool m_isFinished = false;

    /// The server of the running attempt.
    std::optional<Pick> m_pick;
    std::shared_ptr<UpstreamCall> m_call;
    TimePoint m_sentAt{};
    bool m_hasFirstToken = false;
    /// Whether so much of the answer to this attempt arrived that the request crashes no server.
    bool m_hasAnswerBegun = false;
    /// When the body of the answer to this attempt began.
    TimePoint m_firstBodyAt{};
    /// Whether the server answered with an error of its own.
    bool m_isServerError = false;
    bool m_isMalformed = false;
    /// What marks the end of the answer to this attempt.
    http::BodyFrame m_bodyFrame = http::BodyFrame::Length;
    /// Events of the answer to this attempt.
    answers::EventBoundary m_eventBoundary;
    /// When the last bytes of the answer to this attempt arrived, and the pause before them.
    TimePoint m_lastBytesAt{};
    std::optional<Duration> m_lastPause;
    std::uint32_t m_attempts = 0;
    std::set<std::string> m_triedServers;
    bool m_failedAtNextRelease = false;
    /// Combined outcome of all attempts: whether the request may have run.
    Outcome m_outcome = Outcome::NotRun;
    boost::asio::steady_timer m_deadlineTimer;
    boost::asio::steady_timer m_moveTimer;
    boost::asio::steady_timer m_weightsTimer;

    /// Head of the answer that is forwarded: the head of the first server that sent one.
    std::optional<http::Head> m_answerHead;
    bool m_isHeadSent = false;
    /// Body that is buffered until it is complete or too large to buffer.
    std::string m_bufferedBody;
    /// When a chunk of a stream was first and last forwarded, and the longest pause between two
    /// chunks.
    TimePoint m_firstForwardedAt{};
    TimePoint m_lastForwardedAt{};
    Duration m_maxPause{0};
    EventFramer m_eventFramer;
};

/// Ends the requests with convicted subjects that wait at servers.
void endConvicted(Gateway &gateway, const std::vector<std::string> &subjects);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_EXCHANGE_H
