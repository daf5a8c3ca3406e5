#include "kumquathaven/admission/waitingwork.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace kumquathaven::admission {

namespace {

constexpr std::size_t firstAttempt = static_cast<std::size_t>(AttemptKind::First);
constexpr std::size_t retry = static_cast<std::size_t>(AttemptKind::Retry);

double costOf(const Request &request)
{
    return static_cast<double>(std::max<std::uint64_t>(1, request.tokens));
}

void addTo(Load &load, const Request &request)
{
    ++load.requests;
    load.tokens += request.tokens;
}

void subtractFrom(Load &load, const Request &request)
{
    assert(load.requests > 0 && load.tokens >= request.tokens
           && "a sum of the waiting work is too small");
    --load.requests;
    load.tokens -= request.tokens;
}

/// Removes a request from its queue and subtracts it from every sum.
Request removeAt(WaitingWork &work, const std::string &name, Rank rank, std::size_t position)
{
    CustomerWork &customer = work.customers.at(name);
    std::deque<Request> &queue = at(customer.queues, rank);
    const auto it = queue.begin() + static_cast<std::ptrdiff_t>(position);
    Request request = std::move(*it);
    queue.erase(it);
    subtractFrom(at(customer.loads, rank), request);
    subtractFrom(customer.total, request);
    subtractFrom(at(work.loads, rank), request);
    subtractFrom(work.total, request);
    work.locations.erase(request.id);
    if (request.startBy)
        work.deadlines.erase({*request.startBy, request.id});
    return request;
}

bool mayStart(const CustomerWork &customer)
{
    return customer.maxRunning == 0 || customer.running < customer.maxRunning;
}

/// Limits on the requests that may be picked.
struct Allowed
{
    StartableClasses startable;
    /// For each class, the largest tag of a customer whose requests may be picked.
    std::optional<PerClass<double>> maxTag;
};

/// Returns the next request of a rank: that of the customer with the smallest tag.
std::optional<Pick> fairPick(const WaitingWork &work, Rank rank, const Allowed &allowed)
{
    if (at(work.loads, rank).requests == 0)
        return std::nullopt;
    const std::string *best = nullptr;
    double bestTag = 0;
    for (const auto &[name, customer] : work.customers) {
        const double tag = customer.finishTag;
        if (at(customer.queues, rank).empty() || !mayStart(customer))
            continue;
        if (best != nullptr && tag >= bestTag)
            continue;
        if (allowed.maxTag && tag > (*allowed.maxTag)[rank.serviceClass])
            continue;
        best = &name;
        bestTag = tag;
    }
    if (best == nullptr)
        return std::nullopt;
    return Pick{*best, rank};
}

/// Returns the next request of a class: a first attempt, unless the retries have credit from their
/// minimum share or no first attempt can be picked.
std::optional<Pick> pickOfClass(const WaitingWork &work, std::size_t serviceClass,
                                const Allowed &allowed)
{
    std::optional<Pick> firstPick;
    std::optional<Pick> retryPick;
    if (serviceClass < allowed.startable.firstEnd)
        firstPick = fairPick(work, {serviceClass, firstAttempt}, allowed);
    if (serviceClass < allowed.startable.firstEnd)
        retryPick = fairPick(work, {serviceClass, retry}, allowed);
    if (!retryPick)
        return firstPick;
    if (work.retryCredit[serviceClass] >= costOf(requestOf(work, *retryPick)))
        return retryPick;
    const bool mayRetry = serviceClass < allowed.startable.retryEnd;
    return firstPick || !mayRetry ? firstPick : retryPick;
}

/// Returns the next request in the order of classes.
std::optional<Pick> pickByClass(const WaitingWork &work, const Allowed &allowed)
{
    for (std::size_t n = 0; n < allowed.startable.firstEnd; ++n) {
        if (auto pick = pickOfClass(work, n, allowed))
            return pick;
    }
    return std::nullopt;
}

bool hasFirstAttempt(const CustomerWork &customer)
{
    for (const auto &it : customer.loads) {
        if (it[firstAttempt].requests > 0)
            return true;
    }
    return false;
}

/// Returns for each class the tag beyond which a customer is served after all others. Only waiting
/// first attempts hold other customers back; waiting retries do not.
PerClass<double> maxTags(const WaitingWork &work, const Policy &policy)
{
    double due = std::numeric_limits<double>::infinity();
    for (const auto &[name, customer] : work.customers) {
        if (hasFirstAttempt(customer))
            due = std::min(due, customer.finishTag);
    }
    PerClass<double> tags{};
    for (std::size_t n = 0; n < classCount; ++n)
        tags[n] = due + policy.maxAheadTokens[n];
    return tags;
}

/// Adds the credit that a minimum share earns when another request is served. The credit is limited
/// to the cost of the next request plus the latest earning, so that a blocked queue is not served
/// in a burst later.
void addCredit(double &credit, double earned, const std::optional<Pick> &next,
               const WaitingWork &work)
{
    if (!next) {
        credit = 0;
        return;
    }
    credit = std::min(credit + earned, costOf(requestOf(work, *next)) + earned);
}

/// Charges the cost of a served request to the credit of a minimum share. The request itself earns
/// the minimum share of its cost, so that only the rest is charged.
void chargeCredit(double &credit, double cost, double minShare)
{
    credit = std::max(0.0, credit - cost * (1 - minShare));
}

/// Returns the minimum share of a class. If only retries wait, this is reduced to the share of
/// retries, so that the retries of a retry storm do not use it to overtake first attempts of
/// earlier classes.
double effectiveMinShare(const WaitingWork &work, const Policy &policy, std::size_t serviceClass)
{
    const bool hasFirst = work.loads[serviceClass][firstAttempt].requests > 0;
    return policy.minShare[serviceClass] * (hasFirst ? 1 : policy.minRetryShare);
}

/// Adjusts the credits of all minimum shares after a request of \p rank was served.
void adjustCredits(WaitingWork &work, const Policy &policy, Rank rank, double cost)
{
    for (std::size_t n = 0; n < classCount; ++n) {
        if (n == rank.serviceClass)
            chargeCredit(work.classCredit[n], cost, policy.minShare[n]);
        else if (policy.minShare[n] > 0)
            addCredit(work.classCredit[n], effectiveMinShare(work, policy, n) * cost,
                      pickOfClass(work, n, {}), work);
    }
    double &credit = work.retryCredit[rank.serviceClass];
    const auto nextRetry = fairPick(work, {rank.serviceClass, retry}, {});
    if (rank.attempt == retry)
        chargeCredit(credit, cost, policy.minRetryShare);
    else
        addCredit(credit, policy.minRetryShare * cost, nextRetry, work);
}

} // namespace

double weightOf(const CustomerWork &customer)
{
    return std::max<std::uint32_t>(1, customer.weight);
}

double minWaitingTag(const WaitingWork &work)
{
    double due = work.virtualTime;
    for (const auto &[name, customer] : work.customers) {
        if (customer.total.requests > 0)
            due = std::min(due, customer.finishTag);
    }
    return due;
}

double tagForNewWork(const WaitingWork &work, const Policy &policy, const CustomerWork &customer,
                     double due)
{
    // Waiting first attempts keep their turn, whatever else their customer sends.
    if (hasFirstAttempt(customer))
        return customer.finishTag;
    const double minTag = work.virtualTime - policy.maxLagTokens / weightOf(customer);
    const bool hasWaiting = customer.total.requests > 0;
    return std::max({customer.finishTag, minTag, hasWaiting ? customer.finishTag : due});
}

Rank rankOf(const Request &request)
{
    return {indexOf(request.serviceClass), static_cast<std::size_t>(request.attempt)};
}

void enqueue(WaitingWork &work, const Policy &policy, const Request &request)
{
    assert(work.locations.count(request.id) == 0 && "the request is already waiting");
    const Rank rank = rankOf(request);
    CustomerWork &customer = work.customers[request.customer];
    if (at(customer.queues, rank).empty())
        customer.finishTag = tagForNewWork(work, policy, customer, minWaitingTag(work));
    at(customer.queues, rank).push_back(request);
    addTo(at(customer.loads, rank), request);
    addTo(customer.total, request);
    addTo(at(work.loads, rank), request);
    addTo(work.total, request);
    work.locations[request.id] = {request.customer, rank};
    if (request.startBy)
        work.deadlines.insert({*request.startBy, request.id});
}

std::optional<Request> remove(WaitingWork &work, RequestId id)
{
    const auto location = work.locations.find(id);
    if (location == work.locations.end())
        return std::nullopt;
    const auto [name, rank] = location->second;
    const std::deque<Request> &queue = at(work.customers.at(name).queues, rank);
    const auto it = std::find_if(queue.begin(), queue.end(), [id](const Request &request) {
        return request.id == id;
    });
    assert(it != queue.end() && "a waiting request is in its queue");
    return removeAt(work, name, rank, static_cast<std::size_t>(it - queue.begin()));
}

std::optional<Pick> pickNext(const WaitingWork &work, const Policy &policy,
                             const StartableClasses &startable)
{
    Allowed allowed{startable, std::nullopt};
    for (std::size_t n = startable.firstEnd; n-- > 0;) {
        if (work.classCredit[n] <= 0)
            continue;
        auto pick = pickOfClass(work, n, allowed);
        if (pick && work.classCredit[n] >= costOf(requestOf(work, *pick)))
            return pick;
    }
    allowed.maxTag = maxTags(work, policy);
    if (auto pick = pickByClass(work, allowed))
        return pick;
    allowed.maxTag.reset();
    return pickByClass(work, allowed);
}

const Request &requestOf(const WaitingWork &work, const Pick &pick)
{
    return at(work.customers.at(pick.customer).queues, pick.rank).front();
}

Request serve(WaitingWork &work, const Policy &policy, const Pick &pick)
{
    Request request = removeAt(work, pick.customer, pick.rank, 0);
    CustomerWork &customer = work.customers.at(pick.customer);
    const double cost = costOf(request);
    work.virtualTime = std::max(work.virtualTime, customer.finishTag);
    customer.finishTag += cost / weightOf(customer);
    adjustCredits(work, policy, pick.rank, cost);
    return request;
}

void correctCharge(WaitingWork &work, const std::string &customer, double difference)
{
    const auto it = work.customers.find(customer);
    if (it != work.customers.end())
        it->second.finishTag += difference / weightOf(it->second);
}

std::optional<RequestId> evictionCandidate(const WaitingWork &work, bool byTokens)
{
    const CustomerWork *heaviest = nullptr;
    double maxLoad = -1;
    for (const auto &[name, customer] : work.customers) {
        if (customer.total.requests == 0)
            continue;
        const double load =
            static_cast<double>(byTokens ? customer.total.tokens : customer.total.requests)
            / weightOf(customer);
        if (load <= maxLoad)
            continue;
        heaviest = &customer;
        maxLoad = load;
    }
    if (heaviest == nullptr)
        return std::nullopt;
    for (std::size_t n = classCount; n-- > 0;) {
        for (std::size_t attempt = attemptCount; attempt-- > 0;) {
            const auto &queue = heaviest->queues[n][attempt];
            if (!queue.empty())
                return queue.back().id;
        }
    }
    return std::nullopt;
}

} // namespace kumquathaven::admission
