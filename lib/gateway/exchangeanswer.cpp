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
constexpr Duration serverFullRetry = std::chrono::milliseconds(200);
constexpr int statusOk = 200;
constexpr int statusServerError = 500;

} // namespace

void Exchange::takeHead(const http::Head &head, const deployment::AnswerHead &answer)
{
    if (answer.isNotRun) {
        takeNotRun(answer);
        return;
    }
    m_outcome = Outcome::Ran;
    const TimePoint now = monotonicNow();
    if (!std::exchange(m_hasFirstToken, true)) {
        recordFirstToken(m_gateway.servers, *m_pick, now);
        m_gateway.counters.timesOf(m_route->kind).firstByte.observe(toSeconds(now - m_arrivedAt));
    }
    if (answer.weights)
        noteWeights(m_gateway.servers, *m_pick, m_callerHead.model, *answer.weights);
    const bool isFailure = head.status >= statusServerError;
    if (isFailure)
        log(telemetry::LogLevel::Warn, "the server failed",
            {{"server", m_pick->serverId}, {"status", std::to_string(head.status)}});
    if (m_isHeadSent) {
        // The answer goes on with the events of this server.
        if (head.status != statusOk)
            takeFailure(CallFailure::Cut);
        return;
    }
    // A server's own failure of a request that may be repeated may be no failure elsewhere.
    if (isFailure && mayRepeat() && repeat(SendEnd::Answered, Outcome::Ran))
        return;
    m_answerHead = head;
}

void Exchange::takeNotRun(const deployment::AnswerHead &answer)
{
    const bool isOther =
        answer.isOtherServer && !answer.serverId.empty() && answer.serverId != m_pick->serverId;
    if (isOther)
        noteMoved(m_gateway.servers, *m_pick);
    else if (answer.isOtherServer && answer.weights)
        noteWeights(m_gateway.servers, *m_pick, m_callerHead.model, *answer.weights);
    const SendEnd end = answer.isOtherServer ? SendEnd::Misdirected : SendEnd::Refused;
    if (repeat(end, Outcome::NotRun))
        return;
    endSend(end);
    if (m_isHeadSent) {
        takeFailure(CallFailure::Cut);
        return;
    }
    refuse({ErrorCode::Overloaded,
            "gateway.answer",
            {},
            "the server takes no request now",
            m_outcome,
            serverFullRetry});
}

void Exchange::takeBody(std::string_view bytes)
{
    if (!m_answerHead)
        return;
    const bool isEvents = isStream() && m_answerHead->status == statusOk;
    if (isEvents)
        measurePace(monotonicNow());
    if (isEvents && m_route->resumable)
        passOn(m_events.feed(bytes));
    else
        passOn(std::string(bytes));
}

void Exchange::passOn(std::string bytes)
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
    passOnHead();
    if (isStream())
        measurePause(monotonicNow());
    const auto caller = m_caller.lock();
    if (!caller)
        return;
    caller->sendBody(bytes);
    if (caller->queuedBytes() > maxQueuedBytes && m_call) {
        m_call->pause();
        // The next pause is the caller's.
        m_bytesAt = {};
    }
}

/// A pause counts once another one followed: the last piece of an answer may hold fewer tokens.
void Exchange::measurePace(TimePoint now)
{
    const TimePoint before = std::exchange(m_bytesAt, now);
    if (before == TimePoint{})
        return;
    if (const auto pause = std::exchange(m_lastPause, now - before))
        recordPause(m_gateway.servers, *m_pick, *pause);
}

void Exchange::measurePause(TimePoint now)
{
    const TimePoint before = std::exchange(m_passedAt, now);
    if (before == TimePoint{}) {
        m_firstPassedAt = now;
        return;
    }
    m_longestPause = std::max(m_longestPause, now - before);
    m_gateway.counters.timesOf(m_route->kind).pause.observe(toSeconds(now - before));
}

void Exchange::passOnHead()
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

void Exchange::takeEnd()
{
    if (!m_answerHead) {
        takeFailure(CallFailure::Malformed);
        return;
    }
    const std::string rest = m_events.takeRest() + std::exchange(m_heldBody, {});
    passOnHead();
    endSend(SendEnd::Answered);
    const auto caller = m_caller.lock();
    m_gateway.counters.answered.add();
    close(telemetry::LogLevel::Info, "answered",
          {{"status", std::to_string(m_answerHead->status)}});
    if (caller) {
        caller->sendBody(rest);
        caller->finish();
    }
}

void Exchange::takeFailure(CallFailure failure)
{
    const bool isUnsent = failure == CallFailure::NotConnected;
    if (!isUnsent && m_outcome == Outcome::NotRun)
        m_outcome = Outcome::Unknown;
    // A connection that could not be made is no send: it costs neither attempt nor budget.
    if (isUnsent) {
        --m_sends;
        endSend(SendEnd::NotConnected);
        send();
        return;
    }
    const SendEnd end = failure == CallFailure::StaleConnection ? SendEnd::Answered : SendEnd::Cut;
    m_events.takeRest();
    m_heldBody.clear();
    if (!m_isHeadSent)
        m_answerHead.reset();
    if (m_pick && repeat(end, Outcome::Unknown)) {
        if (m_isHeadSent)
            m_gateway.counters.resumed.add();
        return;
    }
    endSend(end);
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
