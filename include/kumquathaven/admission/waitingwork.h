// The queues of waiting requests of all customers, and the order in which they are served.

#ifndef KUMQUATHAVEN_ADMISSION_WAITINGWORK_H
#define KUMQUATHAVEN_ADMISSION_WAITINGWORK_H

#include "kumquathaven/admission/policy.h"
#include "kumquathaven/admission/request.h"
#include "kumquathaven/base/decayingsum.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace kumquathaven::admission {

/// Position in the order of service before fairness between customers applies: class first, then
/// attempt.
struct Rank
{
    std::size_t serviceClass = 0;
    std::size_t attempt = 0;
};

/// Returns the rank of a request.
Rank rankOf(const Request &request);

/// One value for each rank.
template <typename T>
using PerRank = PerClass<std::array<T, attemptCount>>;

/// Returns the value of a rank.
template <typename T>
T &at(PerRank<T> &values, Rank rank)
{
    return values[rank.serviceClass][rank.attempt];
}

template <typename T>
const T &at(const PerRank<T> &values, Rank rank)
{
    return values[rank.serviceClass][rank.attempt];
}

/// Number of waiting requests and the sum of their tokens.
struct Load
{
    std::size_t requests = 0;
    std::uint64_t tokens = 0;
};

/// The waiting and running requests of one customer.
struct CustomerWork
{
    std::uint32_t weight = 1;
    std::uint32_t maxRunning = 0;
    std::uint32_t running = 0;
    PerRank<std::deque<Request>> queues;
    PerRank<Load> loads;
    Load total;
    /// Start-time fair queueing: the virtual time at which the service that the customer has
    /// received so far ends. All ranks share it, so that service in one class counts against the
    /// customer in the others.
    double finishTag = 0;
    /// Accepted tokens of first attempts of each class. The estimate of the work that will still
    /// arrive is based on them.
    PerClass<DecayingSum> accepted{};
    /// Tokens of retries that may still be accepted while other requests wait.
    double retryBudget = 0;
};

/// All waiting requests. Change them only by the functions below, which keep the sums consistent.
struct WaitingWork
{
    std::map<std::string, CustomerWork> customers;
    /// The largest tag at which a request has been served.
    double virtualTime = 0;
    /// Tokens that each class, and the retries of each class, may be served ahead of the usual
    /// order to reach their minimum share.
    PerClass<double> classCredit{};
    PerClass<double> retryCredit{};
    PerRank<Load> loads;
    Load total;
    /// The customer and the rank of each waiting request.
    std::unordered_map<RequestId, std::pair<std::string, Rank>> locations;
    std::set<std::pair<TimePoint, RequestId>> deadlines;
};

/// The classes that may start a request now: those with an index below the ends. An end becomes
/// smaller when the later classes, or retries, hold all the slots that they may.
struct StartableClasses
{
    std::size_t firstEnd = classCount;
    std::size_t retryEnd = classCount;
};

/// The request at the head of a customer's queue of one rank, selected to be served next.
struct Pick
{
    std::string customer;
    Rank rank;
};

/// Adds a request at the end of its customer's queue for its rank.
void enqueue(WaitingWork &work, const Policy &policy, const Request &request);

/// Removes a waiting request from its queue and returns it, or nothing if the request does not
/// wait.
std::optional<Request> remove(WaitingWork &work, RequestId id);

/// Returns the next request to serve, or nothing if no waiting request may start.
std::optional<Pick> pickNext(const WaitingWork &work, const Policy &policy,
                             const StartableClasses &startable);

/// Returns the request that a pick selects.
const Request &requestOf(const WaitingWork &work, const Pick &pick);

/// Removes the request that a pick selects, and charges its customer and its class for it.
Request serve(WaitingWork &work, const Policy &policy, const Pick &pick);

/// Corrects a customer's charge at the end of a request. \p difference is the used minus the
/// expected tokens.
void correctCharge(WaitingWork &work, const std::string &customer, double difference);

/// Returns the newest request of the lowest rank of the customer that is furthest over its share of
/// the waiting work, or nothing if no request waits. The share is measured in tokens if \p byTokens
/// is set, and in requests otherwise.
std::optional<RequestId> evictionCandidate(const WaitingWork &work, bool byTokens);

/// Returns the smallest tag among the customers with waiting requests, or the current virtual time
/// if that is smaller or no request waits.
double minWaitingTag(const WaitingWork &work);

/// Returns the tag with which a customer continues when it adds requests. A customer with waiting
/// first attempts keeps its tag. One whose waiting requests are all retries gets a bounded credit,
/// and one without waiting requests gets no credit for the time without them. \p due is the result
/// of minWaitingTag().
double tagForNewWork(const WaitingWork &work, const Policy &policy, const CustomerWork &customer,
                     double due);

/// Returns the weight of a customer, which is at least one.
double weightOf(const CustomerWork &customer);

} // namespace kumquathaven::admission

#endif // KUMQUATHAVEN_ADMISSION_WAITINGWORK_H
