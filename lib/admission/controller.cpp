#include "kumquathaven/admission/controller.h"

#include "refusal.h"
#include "startable.h"

#include <algorithm>
#include <cassert>

namespace kumquathaven::admission {

namespace {

// An id that no request has.
constexpr RequestId noRequestId = 0;

CustomerWork &findOrAddCustomer(State &state, const Request &request)
{
    const auto [it, isNew] = state.waiting.customers.try_emplace(request.customer);
    if (isNew)
        it->second.retryBudget = state.policy.retryBurstTokens;
    it->second.weight = std::max<std::uint32_t>(1, request.weight);
    it->second.maxRunning = request.maxRunning;
    return it->second;
}

/// Returns whether the customer's retry budget exceeds the tokens of its waiting retries.
bool hasRetryBudget(const CustomerWork &customer)
{
    double waiting = 0;
    for (const auto &it : customer.loads)
        waiting += static_cast<double>(it[static_cast<std::size_t>(AttemptKind::Retry)].tokens);
    return customer.retryBudget - waiting > 0;
}

/// Adjusts a customer's retry budget when one of its requests starts. Retries that did not wait are
/// not charged.
void adjustRetryBudget(const Policy &policy, CustomerWork &customer, const Request &request,
                       bool waited)
{
    const auto tokens = static_cast<double>(request.tokens);
    if (request.attempt == AttemptKind::First)
        customer.retryBudget += policy.retryRatio * tokens;
    else if (waited)
        customer.retryBudget -= tokens;
    customer.retryBudget = std::min(customer.retryBudget, policy.retryBurstTokens);
}

/// Drops customers without requests when there are too many. A dropped customer loses only its tag,
/// which virtual time has already passed, and its retry budget, which is reset.
void dropIdleCustomers(State &state)
{
    auto &customers = state.waiting.customers;
    if (customers.size() <= state.policy.maxIdleCustomers)
        return;
    for (auto it = customers.begin(); it != customers.end();) {
        const bool isIdle = it->second.total.requests == 0 && it->second.running == 0;
        it = isIdle ? customers.erase(it) : std::next(it);
    }
}

/// Starts the request that a pick selects.
Decision admit(State &state, const Pick &pick, TimePoint now, RequestId arrivingId)
{
    const Request request = serve(state.waiting, state.policy, pick);
    CustomerWork &customer = state.waiting.customers.at(pick.customer);
    ++customer.running;
    adjustRetryBudget(state.policy, customer, request, request.id != arrivingId);
    ++state.runningOfClass[pick.rank.serviceClass];
    state.runningTokens += request.tokens;
    state.running[request.id] = {pick.customer, pick.rank.serviceClass, request.tokens, now};
    ++state.counters.admitted;
    Decision decision;
    decision.id = request.id;
    decision.action = Action::Admit;
    return decision;
}

/// Refuses every waiting request whose deadline for its start has passed.
void expire(State &state, TimePoint now, Decisions &out)
{
    while (!state.waiting.deadlines.empty() && state.waiting.deadlines.begin()->first < now) {
        const auto request = remove(state.waiting, state.waiting.deadlines.begin()->second);
        ++state.counters.expired;
        out.push_back(refuse(state, *request, ErrorCode::DeadlineExceeded, "admission.wait",
                             "the request could not start before its deadline", 0, now));
    }
}

/// Starts waiting requests as long as they fit.
void startFittingRequests(State &state, TimePoint now, RequestId arrivingId, Decisions &out)
{
    for (;;) {
        const auto pick = pickNext(state.waiting, state.policy, startableNow(state));
        if (!pick || !tokensFit(state, requestOf(state.waiting, *pick).tokens))
            return;
        out.push_back(admit(state, *pick, now, arrivingId));
    }
}

/// Refuses waiting requests until the waiting work is within its bounds.
void displace(State &state, TimePoint now, Decisions &out)
{
    for (;;) {
        const bool tooMany = state.waiting.total.requests > state.policy.maxWaiting;
        const bool tooLarge = state.waiting.total.tokens > state.policy.maxWaitingTokens;
        if (!tooMany && !tooLarge)
            return;
        const auto id = evictionCandidate(state.waiting, !tooMany);
        assert(id && "a request waits if the waiting work exceeds its bounds");
        const auto request = remove(state.waiting, *id);
        ++state.counters.refusedQueueFull;
        const double wait = expectedWaitSeconds(state, *request, now);
        out.push_back(refuse(state, *request, ErrorCode::Overloaded, "admission.queue",
                             "the queue is full and the customer is over its share", wait, now));
    }
}

/// Releases the slot of a running request, or returns nothing if the request does not run.
std::optional<RunningRequest> release(State &state, RequestId id, std::uint64_t usedTokens)
{
    const auto it = state.running.find(id);
    if (it == state.running.end())
        return std::nullopt;
    RunningRequest running = std::move(it->second);
    state.running.erase(it);
    --state.runningOfClass[running.serviceClass];
    state.runningTokens -= running.tokens;
    const auto customer = state.waiting.customers.find(running.customer);
    if (customer != state.waiting.customers.end())
        --customer->second.running;
    const double difference = static_cast<double>(usedTokens) - static_cast<double>(running.tokens);
    correctCharge(state.waiting, running.customer, difference);
    return running;
}

/// Refuses an arriving request that is late, over the retry budget or unlikely to start in time.
/// Returns nothing if the request may wait.
std::optional<Decision> refuseAtArrival(State &state, const Request &request, double wait,
                                        TimePoint now)
{
    if (request.startBy && *request.startBy < now) {
        ++state.counters.refusedTooLate;
        return refuse(state, request, ErrorCode::DeadlineExceeded, "admission.arrive",
                      "the deadline has passed", 0, now);
    }
    const CustomerWork &customer = state.waiting.customers.at(request.customer);
    if (request.attempt == AttemptKind::Retry && !startsAtOnce(state, request)
        && !hasRetryBudget(customer)) {
        ++state.counters.refusedRetryBudget;
        return refuse(state, request, ErrorCode::Overloaded, "admission.arrive",
                      "the customer has exceeded its retry budget", 0, now);
    }
    const double totalWait = wait + toSeconds(request.upstreamWait);
    if (request.startBy && totalWait > toSeconds(*request.startBy - now)) {
        ++state.counters.refusedTooLate;
        return refuse(state, request, ErrorCode::Overloaded, "admission.arrive",
                      "the expected wait exceeds the deadline", totalWait, now);
    }
    return std::nullopt;
}

Decision waitDecision(RequestId id, double waitSeconds)
{
    constexpr double maxSeconds = 86'400;
    Decision decision;
    decision.id = id;
    decision.expectedWait = fromSeconds(std::min(waitSeconds, maxSeconds));
    return decision;
}

/// Moves the decision on the arriving request to the front, or inserts a decision that it waits.
void putFirst(Decisions &decisions, RequestId id, double waitSeconds)
{
    const auto it =
        std::find_if(decisions.begin(), decisions.end(), [id](const Decision &decision) {
            return decision.id == id;
        });
    if (it == decisions.end())
        decisions.insert(decisions.begin(), waitDecision(id, waitSeconds));
    else
        std::rotate(decisions.begin(), it, it + 1);
}

} // namespace

Decisions arrive(State &state, const Request &request, TimePoint now)
{
    Decisions decisions;
    dropIdleCustomers(state);
    CustomerWork &customer = findOrAddCustomer(state, request);
    const auto tokens = static_cast<double>(request.tokens);
    if (request.attempt == AttemptKind::Retry)
        add(state.expectedRetryTokens, -tokens, now, state.policy.retryHalfLife);
    expire(state, now, decisions);
    const double wait = expectedWaitSeconds(state, request, now);
    if (auto refusal = refuseAtArrival(state, request, wait, now)) {
        decisions.insert(decisions.begin(), std::move(*refusal));
        return decisions;
    }
    const Rank rank = rankOf(request);
    add(at(state.accepted, rank), tokens, now, state.policy.halfLife);
    if (request.attempt == AttemptKind::First)
        add(customer.accepted[rank.serviceClass], tokens, now, state.policy.halfLife);
    enqueue(state.waiting, state.policy, request);
    startFittingRequests(state, now, request.id, decisions);
    displace(state, now, decisions);
    putFirst(decisions, request.id, wait);
    return decisions;
}

Decisions finish(State &state, RequestId id, std::uint64_t usedTokens, TimePoint now)
{
    if (const auto running = release(state, id, usedTokens))
        recordCompletion(state.rate, usedTokens, now - running->startedAt);
    return advance(state, now);
}

Decisions cancel(State &state, RequestId id, std::uint64_t usedTokens, TimePoint now)
{
    if (remove(state.waiting, id) || release(state, id, usedTokens))
        ++state.counters.cancelled;
    return advance(state, now);
}

Decisions resize(State &state, Capacity capacity, TimePoint now)
{
    state.capacity = capacity;
    return advance(state, now);
}

Decisions advance(State &state, TimePoint now)
{
    Decisions decisions;
    expire(state, now, decisions);
    startFittingRequests(state, now, noRequestId, decisions);
    return decisions;
}

std::optional<TimePoint> nextDeadline(const State &state)
{
    if (state.waiting.deadlines.empty())
        return std::nullopt;
    return state.waiting.deadlines.begin()->first;
}

} // namespace kumquathaven::admission
