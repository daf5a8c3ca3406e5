// Admission of one entry instance: who starts now, who waits, and who is refused.
//
// The state is plain data, and every function is given the present time. Decisions come back as
// data; the caller carries them out. A refusal is final and is returned at once.

#ifndef KUMQUATHAVEN_ADMISSION_CONTROLLER_H
#define KUMQUATHAVEN_ADMISSION_CONTROLLER_H

#include "kumquathaven/admission/policy.h"
#include "kumquathaven/admission/request.h"
#include "kumquathaven/admission/servicerate.h"
#include "kumquathaven/admission/waitingwork.h"
#include "kumquathaven/base/decayingsum.h"
#include "kumquathaven/base/random.h"

#include <unordered_map>

namespace kumquathaven::admission {

/// A request that holds a place.
struct RunningRequest
{
    std::string customer;
    std::size_t serviceClass = 0;
    std::uint64_t tokens = 0;
    TimePoint startedAt{};
};

/// Counters for metrics.
struct Counters
{
    std::uint64_t admitted = 0;
    std::uint64_t refusedQueueFull = 0;
    std::uint64_t refusedTooLate = 0;
    std::uint64_t refusedRetryBudget = 0;
    std::uint64_t expired = 0;
    std::uint64_t cancelled = 0;
};

/// The whole state of admission.
struct State
{
    explicit State(Policy settings = {})
        : policy(settings)
        , random(settings.seed)
    { }

    Policy policy;
    Capacity capacity;
    WaitingWork waiting;
    std::unordered_map<RequestId, RunningRequest> running;
    PerClass<std::uint32_t> runningOfClass{};
    std::uint64_t runningTokens = 0;
    ServiceRate rate;
    /// Accepted tokens of each rank, from which the work that will still overtake is estimated.
    PerRank<DecayingSum> accepted;
    /// Tokens of refused work that is expected back.
    DecayingSum expectedRetryTokens;
    Counters counters;
    Random random;
};

/// Decides on a request that arrives. The first decision is on the request itself; further ones are
/// on waiting requests that it displaced or that became due.
Decisions arrive(State &state, const Request &request, TimePoint now);

/// Takes the end of an admitted request with the tokens that it used in fact, and starts what fits.
Decisions finish(State &state, RequestId id, std::uint64_t usedTokens, TimePoint now);

/// Takes the news that a caller went away, whether its request waits or runs, and starts what fits.
/// \p usedTokens is what a running request had used by then.
Decisions cancel(State &state, RequestId id, std::uint64_t usedTokens, TimePoint now);

/// Takes a new capacity. Running work is never interrupted by a smaller one.
Decisions resize(State &state, Capacity capacity, TimePoint now);

/// Refuses what can no longer start in time and starts what fits. To be called by nextDeadline().
Decisions advance(State &state, TimePoint now);

/// Takes the news that a request which had started is given up without an answer, and returns when
/// its caller should come back. Its place is given back by cancel().
Duration giveUp(State &state, Request request, TimePoint now);

/// Returns the time of the earliest deadline of a waiting request, or nothing.
std::optional<TimePoint> nextDeadline(const State &state);

/// Returns how long a request that arrives now would wait, in seconds. It is infinite while there
/// is no capacity, and zero while nothing is known about the speed of upstreams.
double expectedWaitSeconds(const State &state, const Request &request, TimePoint now);

} // namespace kumquathaven::admission

#endif // KUMQUATHAVEN_ADMISSION_CONTROLLER_H
