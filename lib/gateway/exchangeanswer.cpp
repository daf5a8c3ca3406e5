// Handles answers of servers and forwards them to the caller.

#include "exchange.h"

#include <algorithm>
#include <utility>

namespace kumquathaven::gateway {

namespace {

/// Answers that are not streams are buffered up to this size, so that the request can be retried if
/// the answer is cut.
constexpr std::size_t maxBufferedBytes = std::size_t{256} * 1024;
/// Reading from a server pauses while more than this is queued for its caller.
constexpr std::size_t maxQueuedBytes = std::size_t{256} * 1024;
constexpr Duration serverFullRetryAfter = std::chrono::milliseconds(200);
constexpr int statusOk = 200;
constexpr int firstStatusOfRejections = 300;
constexpr int statusServerError = 500;
/// A server may crash in the middle of the first events that it writes. Its answer has begun with
/// this many whole events.
constexpr std::size_t minEventsOfAnswer = 2;

} // namespace

void Exchange::handleHead(const http::Head &head, const deployment::AnswerHead &answer)
{
    recordServerState(answer);
    if (answer.isNotRun) {
        handleNotRun(answer);
        return;
    }
    m_outcome = Outcome::Ran;
    m_bodyFrame = http::bodyFrameOf(head);
    const TimePoint now = monotonicNow();
    const bool isFailure = head.status >= statusServerError;
    m_isServerError = isFailure;
    if (!std::exchange(m_hasFirstToken, true) && !isFailure) {
        recordFirstToken(m_gateway.servers, *m_pick, now);
        m_gateway.counters.timesOf(m_route->kind).firstByte.observe(toSeconds(now - m_arrivedAt));
    }
    if (answer.weights)
        recordWeights(m_gateway.servers, *m_pick, m_callerHead.model, *answer.weights);
    if (isFailure)
        log(telemetry::LogLevel::Warn, "the server returned an error",
            {{"server", m_pick->serverId}, {"status", std::to_string(head.status)}});
    if (m_isHeadSent) {
        // The answer continues with the events of this server.
        if (head.status != statusOk)
            handleFailure(CallFailure::Cut);
        return;
    }
    // Another server may succeed where this one returned a server error, if the request may be
    // retried.
    if (isFailure && mayRetry() && retry(AttemptEnd::ServerError, Outcome::Ran))
        return;
    m_answerHead = head;
}

/// Records what an answer says about the server itself, unless another server sent it.
void Exchange::recordServerState(const deployment::AnswerHead &answer)
{
    const TimePoint now = monotonicNow();
    const bool isOther = !answer.serverId.empty() && answer.serverId != m_pick->serverId;
    if (isOther)
        return;
    if (answer.isLeaving)
        recordLeaving(m_gateway.servers, *m_pick, now);
    if (answer.pause)
        recordPauseRequest(m_gateway.servers, *m_pick, *answer.pause, now);
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
    const TimePoint now = monotonicNow();
    // The caller's next attempt may go to the servers that this one was sent to.
    PickRequest next = pickRequest();
    next.tried.clear();
    Duration retryAfter = serverFullRetryAfter;
    if (!canPick(m_gateway.servers, next, now))
        retryAfter = std::max(retryAfter,
                              timeToPauseEnd(m_gateway.servers, next, now).value_or(Duration(0)));
    endWithError({ErrorCode::Overloaded,
                  "gateway.answer",
                  {},
                  "the server does not accept requests now",
                  m_outcome,
                  retryAfter});
}

void Exchange::handleBody(std::string_view bytes)
{
    if (!m_answerHead)
        return;
    if (m_firstBodyAt == TimePoint{})
        m_firstBodyAt = monotonicNow();
    const bool isEvents = isStream() && m_answerHead->status == statusOk;
    if (isEvents) {
        m_eventBoundary.feed(bytes);
        if (m_eventBoundary.eventCount() >= minEventsOfAnswer)
            recordAnswerBegun();
        recordServerPause(monotonicNow());
    }
    if (!isEvents || !m_route->resumable) {
        forward(std::string(bytes));
        return;
    }
    forward(m_eventFramer.feed(bytes));
    if (m_eventFramer.isTooLong())
        handleFailure(CallFailure::Malformed);
}

void Exchange::forward(std::string bytes)
{
    if (bytes.empty())
        return;
    const bool isBuffered = !isStream() && !m_isHeadSent;
    if (isBuffered) {
        m_bufferedBody += bytes;
        const auto caller = m_caller.lock();
        const bool isWhole = m_bufferedBody.size() <= maxBufferedBytes;
        if (caller)
            caller->holdsForAnswer(isWhole ? m_bufferedBody.size() : 0);
        if (isWhole)
            return;
        bytes = std::exchange(m_bufferedBody, {});
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
        // The next pause is caused by the caller and says nothing about the server.
        m_lastBytesAt = {};
    }
}

/// Records the pause before the previous bytes once another pause follows. The last pause of an
/// answer is not recorded, since the last chunk may hold fewer tokens.
void Exchange::recordServerPause(TimePoint now)
{
    const TimePoint before = std::exchange(m_lastBytesAt, now);
    if (before == TimePoint{})
        return;
    if (const auto pause = std::exchange(m_lastPause, now - before))
        recordPause(m_gateway.servers, *m_pick, *pause);
}

/// Records that the request crashed no server.
void Exchange::recordAnswerBegun()
{
    if (std::exchange(m_hasAnswerBegun, true))
        return;
    stopWaiting();
    const TimePoint now = monotonicNow();
    m_gateway.quarantine.recordLife(m_pick->service, m_pick->start, now);
    m_gateway.quarantine.recordAnswer(m_subjects, now);
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
    // Another server may continue the stream, so that the total length is not known.
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
    const bool isEvents = isStream() && m_answerHead->status == statusOk;
    const bool endsWithConnection = m_bodyFrame == http::BodyFrame::Connection;
    if (isEvents && !answers::isCompleteStream(m_eventBoundary, endsWithConnection)) {
        handleFailure(CallFailure::Cut);
        return;
    }
    if (endsWithConnection && !isLeaving(m_gateway.servers, m_pick->start))
        checkServerAtEnd();
    else
        completeAnswer();
}

/// Completes an answer that ended with its connection, unless its server has ended: a server that
/// crashes closes its connections in order as well.
void Exchange::checkServerAtEnd()
{
    const auto result = [weak = weak_from_this(), attempt = m_attempts](bool hasEnded) {
        const auto self = weak.lock();
        if (!self || self->m_isFinished || self->m_attempts != attempt)
            return;
        if (hasEnded)
            self->handleFailure(CallFailure::Cut);
        else
            self->completeAnswer();
    };
    m_gateway.endedServers.ask(*m_pick, result, monotonicNow());
}

void Exchange::completeAnswer()
{
    const std::string remainder = m_eventFramer.takePartial() + std::exchange(m_bufferedBody, {});
    forwardHead();
    // A server that rejects a request has not begun to answer its prompt.
    if (m_answerHead->status < firstStatusOfRejections)
        recordAnswerBegun();
    endAttempt(m_isServerError ? AttemptEnd::ServerError : AttemptEnd::Answered);
    const auto caller = m_caller.lock();
    m_gateway.counters.answered.add();
    close(telemetry::LogLevel::Info, "answered",
          {{"status", std::to_string(m_answerHead->status)},
           {"frame", std::string(nameOf(http::bodyFrameNames, m_bodyFrame))}});
    if (caller) {
        caller->sendBody(remainder);
        caller->finish();
    }
}

void Exchange::handleFailure(CallFailure failure)
{
    const bool isNotConnected = failure == CallFailure::NotConnected;
    m_isMalformed = failure == CallFailure::Malformed;
    if (!isNotConnected && m_outcome == Outcome::NotRun)
        m_outcome = Outcome::Unknown;
    // A failed connection is not an attempt: it counts neither against the maximum number of
    // attempts nor against the retry budget.
    if (isNotConnected) {
        --m_attempts;
        endAttempt(AttemptEnd::NotConnected);
        send();
        return;
    }
    const TimePoint now = monotonicNow();
    const bool mayHaveCrashed = m_pick && failure != CallFailure::Malformed && !m_hasAnswerBegun
        && !isLeaving(m_gateway.servers, m_pick->start);
    if (mayHaveCrashed)
        m_gateway.endedServers.check(*m_pick, m_subjects, now);
    const AttemptEnd end =
        failure == CallFailure::StaleConnection ? AttemptEnd::Answered : AttemptEnd::Cut;
    m_eventFramer.takePartial();
    m_bufferedBody.clear();
    if (!m_isHeadSent)
        m_answerHead.reset();
    const bool isSuspect =
        mayHaveCrashed && !m_gateway.quarantine.mayRetryAfterCrash(m_subjects, now);
    if (m_pick && !isSuspect && retry(end, Outcome::Unknown)) {
        if (m_isHeadSent)
            m_gateway.counters.resumed.add();
        return;
    }
    endAttempt(end);
    endWithError({ErrorCode::UpstreamFailed,
                  "gateway.answer",
                  {},
                  "the server ended the connection before the answer was complete",
                  m_outcome,
                  {}});
}

} // namespace kumquathaven::gateway
