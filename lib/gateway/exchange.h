// One request of a caller from the moment it was read whole to the end of its answer.
//
// Its steps, each a function: find route and customer, take tokens, choose a server and send,
// pass the answer on; after a failure send again if the kind of request and the budget allow it.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_EXCHANGE_H
#define KUMQUATHAVEN_LIB_GATEWAY_EXCHANGE_H

#include "callerconnection.h"
#include "eventframer.h"
#include "gateway.h"
#include "kumquathaven/base/outcome.h"
#include "kumquathaven/telemetry/log.h"
#include "upstreamcall.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>

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

    /// The caller closed its connection: what runs for it ends.
    void callerDisconnected();

    /// The caller took what waited for it.
    void callerDrained();

private:
    // exchange.cpp: from the request to the first send.
    Result<void> identify();
    Result<void> takeTokens();
    void armDeadline();
    void deadlinePassed();

    // exchangesend.cpp: sends.
    void send();
    bool pickForFirstAttempt(const PickRequest &request, TimePoint now);
    CallRequest callRequest(const Pick &pick) const;
    CallEvents callEvents();
    bool mayRetry() const;
    bool retry(AttemptEnd end, Outcome outcome);
    void armMoveTimer();
    void moveToOtherServer();
    void endAttempt(AttemptEnd end);

    // exchangeanswer.cpp: answers.
    void handleHead(const http::Head &head, const deployment::AnswerHead &answer);
    void handleNotRun(const deployment::AnswerHead &answer);
    void handleBody(std::string_view bytes);
    void handleEnd();
    void handleFailure(CallFailure failure);
    void forward(std::string bytes);
    void forwardHead();
    void recordCallerPause(TimePoint now);
    void recordServerPause(TimePoint now);

    void refuse(const Error &error);
    void close(telemetry::LogLevel level, const char *what, telemetry::LogFields fields = {});
    /// Writes a line about this request.
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

    /// Keeps route and customer alive while the request runs.
    std::shared_ptr<const PlanInForce> m_plan;
    const deployment::Route *m_route = nullptr;
    const deployment::Customer *m_customer = nullptr;
    deployment::CallerHead m_callerHead;
    TimePoint m_deadline{};
    /// What the request counts as against its customer's rate, and what was taken for it.
    std::uint64_t m_tokens = 0;
    limits::Spending m_spending;
    bool m_isFinished = false;

    /// The send under way.
    std::optional<Pick> m_pick;
    std::shared_ptr<UpstreamCall> m_call;
    TimePoint m_sentAt{};
    bool m_hasFirstToken = false;
    /// When the last bytes of this send's answer came, and the pause before them.
    TimePoint m_lastBytesAt{};
    std::optional<Duration> m_lastPause;
    std::uint32_t m_attempts = 0;
    std::set<std::string> m_triedServers;
    /// What is known of all sends so far.
    Outcome m_outcome = Outcome::NotRun;
    boost::asio::steady_timer m_deadlineTimer;
    boost::asio::steady_timer m_moveTimer;

    /// The answer that is passed on: the head of the first server that gave one.
    std::optional<http::Head> m_answerHead;
    bool m_isHeadSent = false;
    std::string m_heldBody;
    /// When a piece of a stream was first and last passed on, and the longest pause in between.
    TimePoint m_firstForwardedAt{};
    TimePoint m_lastForwardedAt{};
    Duration m_maxPause{0};
    EventFramer m_eventFramer;
};

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_EXCHANGE_H
