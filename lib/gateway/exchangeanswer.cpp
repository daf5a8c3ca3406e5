// Answers of servers on their way to the caller.

#include "exchange.h"

#include <algorithm>
#include <utility>

namespace kumquathaven::gateway {

namespace {

/// Answers that are no streams are held back until they are whole, up to this size, so that a
/// broken one can be asked for again.
constexpr std::size_t maxHeldBytes = std::size_t{256} * 1024;
/// A server is not read on while its caller has this much to take.
constexpr std::size_t maxQueuedBytes = std::size_t{256} * 1024;
constexpr Duration serverFullRetryAfter = std::chrono::milliseconds(200);
constexpr int statusOk = 200;
constexpr int statusServerError = 500;

} // namespace

void Exchange::handleHead(const http::Head &head, const deployment::AnswerHead &answer)
{
    if (answer.isNotRun) {
        handleNotRun(answer);
        return;
    }
    m_outcome = Outcome::Ran;
    const TimePoint now = monotonicNow();
    if (!std::exchange(m_hasFirstToken, true)) {
        recordFirstToken(m_gateway.servers, *m_pick, now);
        m_gateway.counters.timesOf(m_route->kind).firstByte.observe(toSeconds(now - m_arrivedAt));
    }
    if (answer.weights)
        recordWeights(m_gateway.servers, *m_pick, m_callerHead.model, *answer.weights);
    const bool isFailure = head.status >= statusServerError;
    if (isFailure)
        log(telemetry::LogLevel::Warn, "the server failed",
            {{"server", m_pick->serverId}, {"status", std::to_string(head.status)}});
    if (m_isHeadSent) {
        // The answer goes on with the events of this server.
        if (head.status != statusOk)
            handleFailure(CallFailure::Cut);
        return;
    }
    // A server's own failure of a request that may be repeated may be no failure elsewhere.
    if (isFailure && mayRetry() && retry(AttemptEnd::Answered, Outcome::Ran))
        return;
    m_answerHead = head;
}

void Exchange::handleNotRun(const deployment::AnswerHead &answer)
{
    const bool isOther =
        answer.isOtherServer && !answer.serverId.empty() && answer.serverId != m_pick->serverId;
    if (isOther)
        recordMoved(m_gateway.servers, *m_pick);
    else if (answer.isOtherServer && answer.weights)
        recordWeights(m_gateway.servers, *m_pick, m_callerHead.model, *answer.weights);
    const AttemptEnd end = answer.isOtherServer ? AttemptEnd::Misdirected : AttemptEnd::Refused;
    if (retry(end, Outcome::NotRun))
        return;
    endAttempt(end);
    if (m_isHeadSent) {
        handleFailure(CallFailure::Cut);
        return;
    }
    refuse({ErrorCode::Overloaded,
            "gateway.answer",
            {},
            "the server takes no request now",
            m_outcome,
            serverFullRetryAfter});
}

void Exchange::handleBody(std::string_view bytes)
{
    if (!m_answerHead)
        return;
    const bool isEvents = isStream() && m_answerHead->status == statusOk;
    if (isEvents)
        recordServerPause(monotonicNow());
    if (isEvents && m_route->resumable)
        forward(m_eventFramer.feed(bytes));
    else
        forward(std::string(bytes));
}

void Exchange::forward(std::string bytes)
{
    if (bytes.empty())
        return;
    const bool isHeld = !isStream() && !m_isHeadSent;
    if (isHeld) {
        m_heldBody += bytes;
        if (m_heldBody.size() <= maxHeldBytes)
            return;
        bytes = std::exchange(m_heldBody, {});
    }
    forwardHead();
    if (isStream())
        recordCallerPause(monotonicNow());
    const auto caller = m_caller.lock();
    if (!caller)
        return;
    caller->sendBody(bytes);
    if (caller->queuedBytes() > maxQueuedBytes && m_call) {
        m_call->pause();
        // The next pause is the caller's.
        m_lastBytesAt = {};
    }
}

/// A pause counts once another one followed: the last piece of an answer may hold fewer tokens.
void Exchange::recordServerPause(TimePoint now)
{
    const TimePoint before = std::exchange(m_lastBytesAt, now);
    if (before == TimePoint{})
        return;
    if (const auto pause = std::exchange(m_lastPause, now - before))
        recordPause(m_gateway.servers, *m_pick, *pause);
}

void Exchange::recordCallerPause(TimePoint now)
{
    const TimePoint before = std::exchange(m_lastForwardedAt, now);
    if (before == TimePoint{}) {
        m_firstForwardedAt = now;
        return;
    }
    m_maxPause = std::max(m_maxPause, now - before);
    m_gateway.counters.timesOf(m_route->kind).pause.observe(toSeconds(now - before));
}

void Exchange::forwardHead()
{
    if (std::exchange(m_isHeadSent, true))
        return;
    http::Head head = *m_answerHead;
    // Another server may go on with a stream, so that its length is not known.
    if (isStream() && m_route->resumable)
        head.contentLength.reset();
    if (const auto caller = m_caller.lock())
        caller->sendHead(head);
}

void Exchange::callerDrained()
{
    if (m_call)
        m_call->resume();
}

void Exchange::handleEnd()
{
    if (!m_answerHead) {
        handleFailure(CallFailure::Malformed);
        return;
    }
    const std::string remainder = m_eventFramer.takePartial() + std::exchange(m_heldBody, {});
    forwardHead();
    endAttempt(AttemptEnd::Answered);
    const auto caller = m_caller.lock();
    m_gateway.counters.answered.add();
    close(telemetry::LogLevel::Info, "answered",
          {{"status", std::to_string(m_answerHead->status)}});
    if (caller) {
        caller->sendBody(remainder);
        caller->finish();
    }
}

void Exchange::handleFailure(CallFailure failure)
{
    const bool isNotConnected = failure == CallFailure::NotConnected;
    if (!isNotConnected && m_outcome == Outcome::NotRun)
        m_outcome = Outcome::Unknown;
    // A connection that could not be made is no send: it costs neither attempt nor budget.
    if (isNotConnected) {
        --m_attempts;
        endAttempt(AttemptEnd::NotConnected);
        send();
        return;
    }
    const AttemptEnd end =
        failure == CallFailure::StaleConnection ? AttemptEnd::Answered : AttemptEnd::Cut;
    m_eventFramer.takePartial();
    m_heldBody.clear();
    if (!m_isHeadSent)
        m_answerHead.reset();
    if (m_pick && retry(end, Outcome::Unknown)) {
        if (m_isHeadSent)
            m_gateway.counters.resumed.add();
        return;
    }
    endAttempt(end);
    if (!m_isHeadSent) {
        refuse({ErrorCode::UpstreamFailed,
                "gateway.answer",
                {},
                "the server broke off",
                m_outcome,
                {}});
        return;
    }
    m_gateway.counters.cut.add();
    const auto caller = m_caller.lock();
    close(telemetry::LogLevel::Warn, "cut by the server");
    if (caller)
        caller->abort();
}

} // namespace kumquathaven::gateway
