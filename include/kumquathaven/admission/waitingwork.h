// The waiting requests of all customers, and the order in which they are served.

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

/// Place in the order of service before fairness between customers: class, then attempt.
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

/// Requests of one rank and their tokens.
struct Load
{
    std::size_t requests = 0;
    std::uint64_t tokens = 0;
};

/// What one customer has waiting and running.
struct CustomerWork
{
    std::uint32_t weight = 1;
    std::uint32_t maxRunning = 0;
    std::uint32_t running = 0;
    PerRank<std::deque<Request>> queues;
    PerRank<Load> loads;
    Load total;
    /// Start-time fair queueing: the virtual time at which the customer's service so far ends. All
    /// ranks share it, so that service in one class counts against the customer in the others.
    double finishTag = 0;
    /// Accepted tokens of first attempts of each class, from which the work that will still arrive
    /// is estimated.
    PerClass<DecayingSum> accepted{};
    /// Retried tokens that may still be accepted while others wait.
    double retryBudget = 0;
};

/// All waiting work. Use the functions below, which keep its sums in step.
struct WaitingWork
{
    std::map<std::string, CustomerWork> customers;
    /// The latest tag at which a request was served.
    double virtualTime = 0;
    /// Tokens that each class, and the retries of each class, may be served out of turn.
    PerClass<double> classCredit{};
    PerClass<double> retryCredit{};
    PerRank<Load> loads;
    Load total;
    /// Where each waiting request is.
    std::unordered_map<RequestId, std::pair<std::string, Rank>> locations;
    std::set<std::pair<TimePoint, RequestId>> deadlines;
};

/// The classes that may start a request now: those below the ends. The ends shrink when the later
/// classes, or retries, hold all the slots that they may.
struct StartableClasses
{
    std::size_t firstEnd = classCount;
    std::size_t retryEnd = classCount;
};

/// The next request in the order of service.
struct Pick
{
    std::string customer;
    Rank rank;
};

/// Adds a request at the end of its customer's lane.
void enqueue(WaitingWork &work, const Policy &policy, const Request &request);

/// Takes a waiting request out wherever it is. Returns nothing if it does not wait.
std::optional<Request> remove(WaitingWork &work, RequestId id);

/// Returns the next request to serve. Returns nothing if none may start.
std::optional<Pick> pickNext(const WaitingWork &work, const Policy &policy,
                             const StartableClasses &startable);

/// Returns the request that a pick names.
const Request &requestOf(const WaitingWork &work, const Pick &pick);

/// Takes the request that a pick names out and charges its customer and its class for it.
Request serve(WaitingWork &work, const Policy &policy, const Pick &pick);

/// Corrects a customer's charge after the end of a request by the difference between the used and
/// the expected tokens.
void correctCharge(WaitingWork &work, const std::string &customer, double difference);

/// Returns the newest request of the lowest rank of the customer that is furthest over its share of
/// the waiting work, or nothing if no work waits.
std::optional<RequestId> evictionCandidate(const WaitingWork &work, bool byTokens);

/// Returns the smallest tag among the customers that wait: the virtual time of the service that is
/// due. Without waiting work it is that of the latest service.
double minWaitingTag(const WaitingWork &work);

/// Returns the tag from which a customer that gets new work goes on. One that had none waiting gets
/// no credit for that time; one whose work waited behind other ranks gets a bounded one.
double tagForNewWork(const WaitingWork &work, const Policy &policy, const CustomerWork &customer,
                     double due);

/// Returns the weight of a customer, at least one.
double weightOf(const CustomerWork &customer);

} // namespace kumquathaven::admission

#endif // KUMQUATHAVEN_ADMISSION_WAITINGWORK_H
