// Sends of a request: to which server, and when to another one.

#include "exchange.h"

#include "kumquathaven/base/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kumquathaven::gateway {

namespace {

/// A refused caller comes back after this time while servers are full or none is in use.
constexpr Duration serversBusyRetry = std::chrono::milliseconds(250);
/// An attempt without a sign of life is moved to another server after this part of the objective,
/// or this much beyond the expected time to the first event.
constexpr double movePart = 0.6;
constexpr double moveFactor = 2;
constexpr Duration leastMove = std::chrono::milliseconds(150);
/// A send with less time than this left would be cut before it does any good.
constexpr Duration leastTimeLeft = std::chrono::milliseconds(20);
constexpr std::uint32_t maxUrgency = 9;

Error busy(Outcome outcome)
{
    return {ErrorCode::NoUpstream, "gateway.send", {}, "no server takes the request now", outcome,
            serversBusyRetry};
}

/// The refusal of a request whose answer would be late.
Error lateRefusal(const RefusalRate &rate, const ExcessWait &wait, Duration timeLeft,
                  const std::string &requestId)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait.excess).count();
    const std::string share = std::to_string(std::lround(100 * refusedShare(rate)));
    return {ErrorCode::Overloaded,
            "gateway.offer",
            {},
            "the answer would be late: " + std::to_string(ms)
                + " ms more than bearable at the server chosen, " + wait.reason
                + "; refused lately: " + share + " %",
            Outcome::NotRun,
            comeBackAfter(rate, wait.excess, timeLeft, hashToUnitInterval(stableHash(requestId)))};
}

} // namespace

void Exchange::send()
{
    const TimePoint now = monotonicNow();
    if (timeLeft(now) < leastTimeLeft) {
        deadlinePassed();
        return;
    }
    PickRequest request;
    request.plan = &m_plan->plan;
    request.route = m_route;
    request.head = &m_callerHead;
    request.customer = m_customer;
    request.tried = m_tried;
    request.deadline = m_deadline;
    if (m_sends > 0)
        m_pick = pick(m_gateway.servers, request, now);
    else if (!offerOnce(request, now))
        return;
    if (!m_pick) {
        refuse(busy(m_outcome));
        return;
    }
    if (m_sends == 0)
        earn(m_gateway.budgets[m_pick->service], m_gateway.retryRules, now);
    ++m_sends;
    m_tried.insert(m_pick->start);
    m_sentAt = now;
    m_hasFirstToken = false;
    logSend();
    m_call = std::make_shared<UpstreamCall>(m_gateway.loop, m_gateway.pool,
                                            m_gateway.dialect.requests.readAnswer);
    m_call->start(callRequest(*m_pick), callEvents(), now);
    armMove();
}

/// Chooses a server for the first send. Returns false if the request was refused instead.
bool Exchange::offerOnce(const PickRequest &request, TimePoint now)
{
    const Offer result = offer(m_gateway.servers, request, now);
    RefusalRate &rate = m_gateway.refusals[result.service];
    noteOffer(rate, result.excessWait.has_value(), now);
    m_pick = result.pick;
    if (!result.excessWait)
        return true;
    refuse(lateRefusal(rate, *result.excessWait, timeLeft(now), m_callerHead.requestId));
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
    if (m_events.hasEvents())
        passage.resumeAfter = m_events.lastId();
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
    // A kept connection may end just as it is used, and then nobody knows whether the request ran.
    request.mayReuse = deployment::isRepeatable(*m_route);
    return request;
}

CallEvents Exchange::callEvents()
{
    const std::weak_ptr<Exchange> weak = weak_from_this();
    CallEvents events;
    events.head = [weak](const http::Head &head, const deployment::AnswerHead &answer) {
        if (const auto self = weak.lock())
            self->takeHead(head, answer);
    };
    events.body = [weak](std::string_view bytes) {
        if (const auto self = weak.lock())
            self->takeBody(bytes);
    };
    events.done = [weak] {
        if (const auto self = weak.lock())
            self->takeEnd();
    };
    events.failed = [weak](CallFailure failure) {
        if (const auto self = weak.lock())
            self->takeFailure(failure);
    };
    return events;
}

/// Returns whether the request may be sent once more after a send that may have run.
bool Exchange::mayRepeat() const
{
    return deployment::isRepeatable(*m_route) && m_sends < m_route->attempts;
}

/// Sends the request once more if that is allowed, and ends the send before. \p outcome is what is
/// known of that one. Otherwise nothing changes.
bool Exchange::repeat(SendEnd end, Outcome outcome)
{
    const TimePoint now = monotonicNow();
    const bool isAllowed =
        m_sends < m_route->attempts && (outcome == Outcome::NotRun || mayRepeat());
    // Another server can go on with a stream only behind an event that has a name.
    const bool isStuck = m_isHeadSent && m_events.lastId().empty();
    if (!isAllowed || isStuck || timeLeft(now) < leastTimeLeft)
        return false;
    PickRequest request{&m_plan->plan, m_route, &m_callerHead, m_customer, m_tried, m_deadline};
    if (!canPick(m_gateway.servers, request, now)
        || !spend(m_gateway.budgets[m_pick->service], m_gateway.retryRules, now))
        return false;
    m_gateway.counters.repeated.add();
    endSend(end);
    send();
    return true;
}

/// An attempt that shows no sign of life is moved while there is still time for another one.
void Exchange::armMove()
{
    if (!mayRepeat() || m_isHeadSent)
        return;
    const Duration byObjective =
        std::chrono::duration_cast<Duration>(m_route->objective * movePart);
    const Duration byServer =
        std::chrono::duration_cast<Duration>(m_pick->expectedFirstToken * moveFactor) + leastMove;
    m_moveTimer.expires_after(std::max({byObjective, byServer, leastMove}));
    m_moveTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &ec) {
        const auto self = weak.lock();
        if (!ec && self && !self->m_isOver && self->m_call && !self->m_hasFirstToken)
            self->moveElsewhere();
    });
}

void Exchange::moveElsewhere()
{
    const TimePoint now = monotonicNow();
    PickRequest request{&m_plan->plan, m_route, &m_callerHead, m_customer, m_tried, m_deadline};
    if (!mayRepeat() || !canPick(m_gateway.servers, request, now)
        || !spend(m_gateway.budgets[m_pick->service], m_gateway.retryRules, now))
        return;
    m_gateway.counters.repeated.add();
    endSend(SendEnd::Abandoned);
    send();
}

/// Ends the send under way, if there is one.
void Exchange::endSend(SendEnd end)
{
    m_moveTimer.cancel();
    if (m_call) {
        // Nobody knows whether a server that gave no answer ran the request.
        const bool isNotRun = end == SendEnd::Refused || end == SendEnd::Misdirected;
        if (m_call->wasSent() && !isNotRun && m_outcome == Outcome::NotRun)
            m_outcome = Outcome::Unknown;
        std::exchange(m_call, nullptr)->cancel();
    }
    if (m_pick) {
        logSendEnd(end);
        noteEnd(m_gateway.servers, *m_pick, end, monotonicNow());
    }
    m_pick.reset();
    m_bytesAt = {};
    m_lastPause.reset();
}

} // namespace kumquathaven::gateway
