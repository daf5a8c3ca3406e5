// Steps of an exchange from the request to the first attempt, and the end of the exchange.

#include "exchange.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace kumquathaven::gateway {

namespace {

/// Maximum time to answer a request, whatever the route and the caller ask for.
constexpr Duration maxWait = std::chrono::seconds(60);
/// Retry-After of a refusal: while this instance is leaving, when the caller should turn to another
/// one, and while this instance has no configuration yet.
constexpr Duration leavingRetryAfter = std::chrono::milliseconds(20);
constexpr Duration noPlanRetryAfter = std::chrono::milliseconds(500);

std::string millisecondsText(Duration d)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

Error refusal(ErrorCode code, const std::string &message, std::optional<Duration> retryAfter = {})
{
    return {code, "gateway.identify", {}, message, Outcome::NotRun, retryAfter};
}

} // namespace

Exchange::Exchange(Gateway &gateway, std::weak_ptr<CallerConnection> caller, http::Head head,
                   std::string body, TimePoint arrivedAt)
    : m_gateway(gateway)
    , m_caller(std::move(caller))
    , m_head(std::move(head))
    , m_body(std::move(body))
    , m_arrivedAt(arrivedAt)
    , m_deadlineTimer(gateway.loop)
    , m_moveTimer(gateway.loop)
    , m_weightsTimer(gateway.loop)
{
    ++m_gateway.running;
}

Exchange::~Exchange()
{
    stopWaiting();
    --m_gateway.running;
}

void Exchange::start()
{
    m_gateway.counters.accepted.add();
    const bool isKnown = orElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(identify());
            BOOST_LEAF_CHECK(checkQuarantine());
            BOOST_LEAF_CHECK(consumeTokens());
            return true;
        },
        [&](const Error &error) {
            endWithError(error);
            return false;
        });
    if (!isKnown)
        return;
    armDeadline();
    send();
}

/// Finds the route and the customer of the request, and computes the deadline and the token count.
Result<void> Exchange::identify()
{
    m_plan = m_gateway.plan;
    if (!m_plan)
        return fail(
            refusal(ErrorCode::Unavailable, "no configuration received yet", noPlanRetryAfter));
    BOOST_LEAF_ASSIGN(m_callerHead, m_gateway.dialect.requests.readHead(m_head.fields));
    m_route = m_plan->index.findRoute(runtime::headerValue(m_head.fields, "Host"), pathOf(m_head));
    if (m_route == nullptr)
        return fail(refusal(ErrorCode::NotFound, "no route matches the host and path"));
    if (!m_callerHead.key.empty())
        m_customer = m_plan->index.findCustomer(m_callerHead.key);
    const bool needsKey = !m_route->openToAll && !m_plan->plan.customers.empty();
    if (m_customer == nullptr && needsKey)
        return fail(refusal(ErrorCode::Unauthenticated, "no customer has this key"));
    Duration wait = m_route->timeout;
    if (m_callerHead.timeout)
        wait = std::min(wait, *m_callerHead.timeout);
    m_deadline = m_arrivedAt + std::min(wait, maxWait);
    noticeStop(m_gateway);
    const auto &leaving = m_gateway.leaving;
    if (leaving && !acceptsWhileLeaving(*leaving, m_deadline))
        return fail(refusal(ErrorCode::Unavailable, "this entry is leaving", leavingRetryAfter));
    if (m_callerHead.hasTokenCounts)
        m_tokens = m_callerHead.promptTokens + m_callerHead.maxOutputTokens;
    else if (m_customer != nullptr)
        m_tokens = m_customer->defaultTokens;
    return {};
}

Result<void> Exchange::checkQuarantine()
{
    quarantine::RequestIdentity identity;
    const std::string host = runtime::headerValue(m_head.fields, "Host");
    identity.host = host;
    identity.method = m_head.method;
    identity.target = m_head.target;
    identity.body = m_body;
    if (m_customer != nullptr)
        identity.customer = m_customer->name;
    // The last part of a prompt belongs to this request alone.
    for (const deployment::PromptPart &it : m_callerHead.prompt) {
        identity.promptParts.push_back(it.id);
        if (&it != &m_callerHead.prompt.back())
            m_subjects.push_back(quarantine::partName(it.id));
    }
    m_subjects.push_back(quarantine::requestName(identity));
    return m_gateway.quarantine.admit(m_subjects, m_arrivedAt);
}

Result<void> Exchange::consumeTokens()
{
    if (m_customer == nullptr)
        return {};
    BOOST_LEAF_ASSIGN(m_spending, m_gateway.limits.spend(*m_customer, m_tokens, m_arrivedAt));
    return {};
}

void Exchange::armDeadline()
{
    m_deadlineTimer.expires_after(m_deadline - m_arrivedAt);
    m_deadlineTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &ec) {
        const auto self = weak.lock();
        if (!ec && self && !self->m_isFinished)
            self->deadlinePassed();
    });
}

void Exchange::deadlinePassed()
{
    if (m_isHeadSent) {
        // An answer that is no stream arrives at once: this one is too slow or does not end.
        if (!isStream())
            endAttempt(AttemptEnd::Cut);
        cut("cut at the deadline");
        return;
    }
    const std::string server = m_pick ? m_pick->serverId : std::string();
    endAttempt(m_hasFirstToken && !isStream() ? AttemptEnd::Cut : AttemptEnd::Abandoned);
    endWithError({ErrorCode::DeadlineExceeded,
                  "gateway.deadline",
                  server,
                  "no answer before the deadline",
                  m_outcome,
                  {}});
}

void Exchange::callerDisconnected()
{
    if (m_isFinished)
        return;
    m_gateway.counters.callersDisconnected.add();
    close(telemetry::LogLevel::Info, "caller disconnected");
}

void Exchange::subjectConvicted(const std::string &subject)
{
    if (m_isFinished || m_hasAnswerBegun)
        return;
    endAttempt(AttemptEnd::Abandoned);
    endWithError(m_gateway.quarantine.errorOf(subject, m_outcome, monotonicNow()));
}

void Exchange::instanceEnds()
{
    if (m_isFinished)
        return;
    endAttempt(AttemptEnd::Abandoned);
    endWithError({ErrorCode::Unavailable,
                  "gateway.leave",
                  {},
                  "this entry ends before the answer is complete",
                  m_outcome,
                  leavingRetryAfter});
}

/// Ends the exchange without a complete answer of a server. Every failure of a request ends here,
/// so that no answer of this instance follows the head of a server's answer.
void Exchange::endWithError(const Error &error)
{
    if (m_isHeadSent)
        cut("cut by the server", {{"reason", describe(error)}});
    else
        refuse(error);
}

/// Answers the caller with an error. Called by endWithError() only.
void Exchange::refuse(const Error &error)
{
    const auto caller = m_caller.lock();
    const runtime::HttpReply reply = m_gateway.dialect.requests.refuse(error);
    m_gateway.metrics
        .counter("kumquathaven_refusals_total", "requests that got an answer of this instance",
                 {{"reason", std::string(errorCodeName(error.code))},
                  {"status", std::to_string(reply.status)}})
        .add();
    telemetry::LogFields fields = {{"status", std::to_string(reply.status)},
                                   {"reason", describe(error)}};
    if (error.retryAfter)
        fields.emplace_back("retryAfterMs", millisecondsText(*error.retryAfter));
    close(telemetry::LogLevel::Warn, "refused", std::move(fields));
    if (caller)
        caller->reply(reply);
}

/// Ends an answer whose head was sent, so that the caller sees that it is incomplete.
void Exchange::cut(const char *what, telemetry::LogFields fields)
{
    m_gateway.counters.cut.add();
    const auto caller = m_caller.lock();
    close(telemetry::LogLevel::Warn, what, std::move(fields));
    if (caller)
        caller->abort();
}

/// Ends the exchange, including the running attempt, and logs the outcome.
void Exchange::close(telemetry::LogLevel level, const char *what, telemetry::LogFields fields)
{
    if (std::exchange(m_isFinished, true))
        return;
    const TimePoint now = monotonicNow();
    m_deadlineTimer.cancel();
    endAttempt(AttemptEnd::Abandoned);
    if (m_customer != nullptr && m_outcome == Outcome::NotRun)
        m_gateway.limits.giveBack(*m_customer, m_spending, now);
    if (m_route != nullptr && (m_isHeadSent || m_outcome != Outcome::NotRun))
        m_gateway.counters.timesOf(m_route->kind)
            .completeAnswer.observe(toSeconds(now - m_arrivedAt));
    if (m_firstForwardedAt != TimePoint{}) {
        fields.emplace_back("firstEventMs", millisecondsText(m_firstForwardedAt - m_arrivedAt));
        fields.emplace_back("longestPauseMs", millisecondsText(m_maxPause));
    }
    fields.emplace_back("outcome", outcomeName(m_outcome));
    fields.emplace_back("sends", std::to_string(m_attempts));
    log(level, what, std::move(fields));
}

void Exchange::log(telemetry::LogLevel level, const char *what, telemetry::LogFields fields) const
{
    telemetry::LogFields all = {
        {"id", m_callerHead.requestId},
        {"ms", millisecondsText(monotonicNow() - m_arrivedAt)},
        {"route", m_route != nullptr ? m_route->name : std::string()},
        {"customer", m_customer != nullptr ? m_customer->name : std::string()}};
    all.insert(all.end(), std::make_move_iterator(fields.begin()),
               std::make_move_iterator(fields.end()));
    telemetry::logLine(level, "request", what, all);
}

/// Logs the server that the request is sent to and the data behind that decision.
void Exchange::logAttempt() const
{
    std::string parts;
    for (std::size_t n = 0; n + 1 < m_subjects.size(); ++n)
        parts += (parts.empty() ? "" : ",") + m_subjects[n];
    const TimePoint now = monotonicNow();
    log(telemetry::LogLevel::Info, "sent",
        {{"send", std::to_string(m_attempts)},
         {"server", m_pick->serverId},
         {"address", settings::toString(m_pick->address)},
         {"release", m_pick->send.release},
         {"choice", m_pick->reason},
         {"parts", parts},
         {"request", m_subjects.back()},
         {"listAgeMs", millisecondsText(now - m_gateway.servers.listReadAt)},
         {"configuration", std::to_string(m_plan->plan.version)},
         {"timeLeftMs", millisecondsText(timeLeft(now))}});
}

void Exchange::logAttemptEnd(AttemptEnd end) const
{
    if (end == AttemptEnd::Answered)
        return;
    log(telemetry::LogLevel::Warn, "send ended",
        {{"send", std::to_string(m_attempts)},
         {"server", m_pick->serverId},
         {"how", std::string(nameOf(attemptEndNames, end))},
         {"hadFirstToken", m_hasFirstToken ? "yes" : "no"},
         {"events", std::to_string(m_eventBoundary.eventCount())}});
}

} // namespace kumquathaven::gateway
