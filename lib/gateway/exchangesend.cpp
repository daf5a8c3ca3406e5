// Sends the attempts of a request: chooses the server and decides when to retry on another one.

#include "enginechoice.h"
#include "exchange.h"

#include "kumquathaven/base/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kumquathaven::gateway {

namespace {

/// Retry-After of a refusal because all servers are busy or none is in use.
constexpr Duration serversBusyRetryAfter = std::chrono::milliseconds(250);
/// An attempt that returned nothing is moved to another server after the largest of: this share of
/// the objective, the expected time to the first event times the factor plus the minimum delay, and
/// the minimum delay.
constexpr double moveObjectiveShare = 0.6;
constexpr double moveWaitFactor = 2;
constexpr Duration minMoveDelay = std::chrono::milliseconds(150);
/// An attempt is not sent with less time left than this, since the deadline would cut it before it
/// returns anything useful.
constexpr Duration minTimeLeft = std::chrono::milliseconds(20);
constexpr std::uint32_t maxUrgency = 9;

/// Returns the error for a request that no server accepts; \p pause is the time until a server that
/// asked for a pause accepts requests again.
Error busyError(Outcome outcome, std::optional<Duration> pause)
{
    return {ErrorCode::NoUpstream,
            "gateway.send",
            {},
            "no server accepts the request now",
            outcome,
            std::max(serversBusyRetryAfter, pause.value_or(Duration(0)))};
}

/// Returns the error for a request that is refused because its answer would be late.
Error lateRefusal(const RefusalRate &rate, const ExcessWait &wait, Duration timeLeft,
                  const std::string &requestId)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait.excess).count();
    const std::string share = std::to_string(std::lround(100 * refusedShare(rate)));
    return {ErrorCode::Overloaded,
            "gateway.offer",
            {},
            "the answer would be late: " + std::to_string(ms)
                + " ms more than the tolerated wait at the chosen server, " + wait.reason
                + "; recently refused: " + share + " %",
            Outcome::NotRun,
            retryDelay(rate, wait.excess, timeLeft, hashToUnitInterval(stableHash(requestId)))};
}

} // namespace

void Exchange::send()
{
    const TimePoint now = monotonicNow();
    if (timeLeft(now) < minTimeLeft) {
        deadlinePassed();
        return;
    }
    const PickRequest request = pickRequest();
    if (m_attempts > 0)
        m_pick = pick(m_gateway.servers, request, now);
    else if (!pickForFirstAttempt(request, now))
        return;
    if (!m_pick) {
        endWithError(busyError(m_outcome, timeToPauseEnd(m_gateway.servers, request, now)));
        return;
    }
    if (m_attempts == 0)
        earn(m_gateway.retryBudgets[m_pick->service], m_gateway.retryRules, now);
    ++m_attempts;
    m_triedServers.insert(m_pick->start);
    m_sentAt = now;
    m_hasFirstToken = false;
    m_firstBodyAt = {};
    m_isServerError = false;
    m_isMalformed = false;
    m_eventBoundary = {};
    startWaiting();
    logAttempt();
    m_call = std::make_shared<UpstreamCall>(m_gateway.loop, m_gateway.pool,
                                            m_gateway.dialect.requests.readAnswer);
    m_call->start(callRequest(*m_pick), callEvents(), now);
    armMoveTimer();
    armWeightsTimer();
}

PickRequest Exchange::pickRequest() const
{
    // Who is isolated may have changed since the request arrived.
    const std::string scope = m_gateway.plan->cacheScopes.scopeOf(
        m_customer != nullptr ? m_customer->name : std::string());
    return {&m_plan->plan,  m_route,    &m_callerHead,         m_customer,
            m_triedServers, m_deadline, m_failedAtNextRelease, scope};
}

/// Chooses a server for the first attempt. Returns false if the request was refused instead.
bool Exchange::pickForFirstAttempt(const PickRequest &request, TimePoint now)
{
    const PickResult result = pickIfInTime(m_gateway.servers, request, now);
    RefusalRate &rate = m_gateway.refusalRates[result.service];
    recordRequest(rate, result.excessWait.has_value(), now);
    m_pick = result.pick;
    if (!result.excessWait)
        return true;
    endWithError(lateRefusal(rate, *result.excessWait, timeLeft(now), m_callerHead.requestId));
    return false;
}

CallRequest Exchange::callRequest(const Pick &pick) const
{
    deployment::ForwardingContext passage;
    passage.timeLeft = timeLeft(monotonicNow());
    passage.serverId = pick.serverId;
    if (m_customer != nullptr)
        passage.customer = m_customer->name;
    std::uint32_t priority = m_route->priority;
    if (m_customer != nullptr && m_customer->priority)
        priority = *m_customer->priority;
    passage.priority = std::min(priority, maxUrgency);
    passage.expectedWeights = pick.weights;
    passage.cacheScope = pick.cacheScope;
    passage.fetchFrom = pick.fetchFrom;
    passage.saveTo = pick.saveTo;
    if (m_eventFramer.hasEvents())
        passage.resumeAfter = m_eventFramer.lastId();
    runtime::HeaderFields fields = m_gateway.dialect.requests.forwardFields(m_head.fields, passage);
    const bool mayHaveBody = !m_body.empty() || (m_head.method != "GET" && m_head.method != "HEAD");
    if (mayHaveBody)
        fields.emplace_back("Content-Length", std::to_string(m_body.size()));
    CallRequest request;
    request.address = pick.address;
    request.start = pick.start;
    request.bytes = http::requestHead(m_head.method, m_head.target, fields) + m_body;
    request.isHead = m_head.method == "HEAD";
    request.requestId = m_callerHead.requestId;
    // A kept connection may be closed by the server just as it is used; then it is unknown whether
    // the request ran. Only requests that may run twice reuse connections.
    request.mayReuse = deployment::isRepeatable(*m_route);
    return request;
}

CallEvents Exchange::callEvents()
{
    const std::weak_ptr<Exchange> weak = weak_from_this();
    CallEvents events;
    events.head = [weak](const http::Head &head, const deployment::AnswerHead &answer) {
        if (const auto self = weak.lock())
            self->handleHead(head, answer);
    };
    events.body = [weak](std::string_view bytes) {
        if (const auto self = weak.lock())
            self->handleBody(bytes);
    };
    events.done = [weak] {
        if (const auto self = weak.lock())
            self->handleEnd();
    };
    events.failed = [weak](CallFailure failure) {
        if (const auto self = weak.lock())
            self->handleFailure(failure);
    };
    return events;
}

/// Returns whether the request may be retried after an attempt that may have run.
bool Exchange::mayRetry() const
{
    return deployment::isRepeatable(*m_route) && m_attempts < m_route->attempts;
}

/// Ends the current attempt and retries the request if that is allowed; \p outcome is what is known
/// of the current attempt. Otherwise changes nothing and returns false.
bool Exchange::retry(AttemptEnd end, Outcome outcome)
{
    const TimePoint now = monotonicNow();
    const bool isAllowed =
        m_attempts < m_route->attempts && (outcome == Outcome::NotRun || mayRetry());
    // A subject may have been convicted since the last attempt.
    if (m_gateway.quarantine.isConvicted(m_subjects, now))
        return false;
    // Another server can resume a stream only after an event with an id.
    const bool cannotResume = m_isHeadSent && m_eventFramer.lastId().empty();
    if (!isAllowed || cannotResume || timeLeft(now) < minTimeLeft)
        return false;
    if (!canPick(m_gateway.servers, pickRequest(), now)
        || !spend(m_gateway.retryBudgets[m_pick->service], m_gateway.retryRules, now))
        return false;
    m_gateway.counters.retried.add();
    endAttempt(end);
    send();
    return true;
}

/// Starts the timer that moves an attempt without a response while there is still time for another
/// attempt.
void Exchange::armMoveTimer()
{
    if (!mayRetry() || m_isHeadSent)
        return;
    const Duration byObjective =
        std::chrono::duration_cast<Duration>(m_route->objective * moveObjectiveShare);
    const Duration byServer =
        std::chrono::duration_cast<Duration>(m_pick->expectedFirstToken * moveWaitFactor)
        + minMoveDelay;
    m_moveTimer.expires_after(std::max({byObjective, byServer, minMoveDelay}));
    m_moveTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &ec) {
        const auto self = weak.lock();
        if (!ec && self && !self->m_isFinished && self->m_call && !self->m_hasFirstToken)
            self->moveToOtherServer();
    });
}

/// Moves the attempt if that is allowed. Otherwise changes nothing and returns false.
bool Exchange::moveToOtherServer()
{
    const TimePoint now = monotonicNow();
    if (!mayRetry() || !canPick(m_gateway.servers, pickRequest(), now)
        || !spend(m_gateway.retryBudgets[m_pick->service], m_gateway.retryRules, now))
        return false;
    m_gateway.counters.retried.add();
    endAttempt(AttemptEnd::Abandoned);
    send();
    return true;
}

/// Starts the timer that withdraws an attempt from a server whose weights have been replaced, or
/// are replaced while the request waits there.
void Exchange::armWeightsTimer()
{
    if (!m_pick || m_pick->weights.value_or(0) == 0 || m_hasFirstToken)
        return;
    m_weightsTimer.expires_after(
        timeToWithdraw(m_gateway.servers, m_callerHead.model, *m_pick->weights, monotonicNow()));
    m_weightsTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &ec) {
        const auto self = weak.lock();
        if (!ec && self && !self->m_isFinished && self->m_call && !self->m_hasFirstToken)
            self->withdrawFromOldWeights();
    });
}

/// Withdraws a request that has waited so long at its server that it would begin on weights that
/// were replaced too long ago.
void Exchange::withdrawFromOldWeights()
{
    const Duration left =
        timeToWithdraw(m_gateway.servers, m_callerHead.model, *m_pick->weights, monotonicNow());
    if (left > Duration(0)) {
        armWeightsTimer();
        return;
    }
    if (moveToOtherServer())
        return;
    if (m_isHeadSent) {
        cut("cut on replaced weights");
        return;
    }
    const std::string server = m_pick->serverId;
    endAttempt(AttemptEnd::Abandoned);
    endWithError({ErrorCode::DeadlineExceeded,
                  "gateway.weights",
                  server,
                  "waited at a server until its weights were replaced for too long",
                  m_outcome,
                  {}});
}

void Exchange::startWaiting()
{
    m_hasAnswerBegun = false;
    for (const std::string &it : m_subjects)
        m_gateway.waitingBySubject[it].insert(this);
}

void Exchange::stopWaiting()
{
    for (const std::string &subject : m_subjects) {
        const auto it = m_gateway.waitingBySubject.find(subject);
        if (it != m_gateway.waitingBySubject.end() && it->second.erase(this) > 0
            && it->second.empty())
            m_gateway.waitingBySubject.erase(it);
    }
}

void endConvicted(Gateway &gateway, const std::vector<std::string> &subjects)
{
    for (const std::string &subject : subjects) {
        const auto waiting = gateway.waitingBySubject.find(subject);
        if (waiting == gateway.waitingBySubject.end())
            continue;
        // Exchanges leave the set as they end.
        std::vector<std::shared_ptr<Exchange>> exchanges;
        for (Exchange *it : waiting->second)
            exchanges.push_back(it->shared_from_this());
        for (const auto &it : exchanges)
            it->subjectConvicted(subject);
    }
}

/// Returns how the running attempt ends, for the comparison of releases.
ReleaseSendEnd Exchange::sendEnd(AttemptEnd end, TimePoint now) const
{
    ReleaseSendEnd result;
    result.end = end == AttemptEnd::Cut && m_isServerError ? AttemptEnd::ServerError : end;
    result.isMalformed = m_isMalformed;
    result.isDeadlinePassed = timeLeft(now) < minTimeLeft;
    result.objective = m_route->objective;
    const bool hasEvent = isStream() && m_firstBodyAt != TimePoint{};
    result.delay = (hasEvent ? m_firstBodyAt : now) - m_sentAt;
    result.hasAnswer = isStream() ? hasEvent : m_hasFirstToken && end == AttemptEnd::Answered;
    return result;
}

/// Ends the running attempt, if there is one.
void Exchange::endAttempt(AttemptEnd end)
{
    m_moveTimer.cancel();
    m_weightsTimer.cancel();
    stopWaiting();
    if (m_call) {
        // It is unknown whether a server that gave no answer ran the request.
        const bool isNotRun = end == AttemptEnd::Refused || end == AttemptEnd::Misdirected;
        if (m_call->wasSent() && !isNotRun && m_outcome == Outcome::NotRun)
            m_outcome = Outcome::Unknown;
        std::exchange(m_call, nullptr)->cancel();
    }
    if (m_pick) {
        logAttemptEnd(end);
        const TimePoint now = monotonicNow();
        recordAttemptEnd(m_gateway.servers, *m_pick, end, now);
        if (countSendEnd(m_gateway.servers.releases, m_pick->send, sendEnd(end, now)))
            m_failedAtNextRelease = true;
    }
    m_pick.reset();
    m_lastBytesAt = {};
    m_lastPause.reset();
}

} // namespace kumquathaven::gateway
