// Admission control of one entry instance: decides which requests start now, which wait and which
// are refused.
//
// The state is plain data, and every function receives the current time as an argument. Functions
// return decisions as data; the caller carries them out. A refusal is final and is returned at
// once.

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

/// A running request, which holds a slot.
struct RunningRequest
{
    std::string customer;
    std::size_t serviceClass = 0;
    std::uint64_t tokens = 0;
    TimePoint startedAt{};
};

/// Decision counters, exported as metrics.
struct Counters
{
    std::uint64_t admitted = 0;
    std::uint64_t refusedQueueFull = 0;
    std::uint64_t refusedTooLate = 0;
    std::uint64_t refusedRetryBudget = 0;
    std::uint64_t expired = 0;
    std::uint64_t cancelled = 0;
};

/// The complete state of admission control.
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
    /// Accepted tokens of each rank. The estimate of the work that will still arrive and overtake a
    /// waiting request is based on them.
    PerRank<DecayingSum> accepted;
    /// Tokens of refused requests that callers are expected to retry.
    DecayingSum expectedRetryTokens;
    Counters counters;
    Random random;
};

/// Decides on a request that arrives. The first decision concerns this request; the others concern
/// waiting requests that it displaced, that can now start or that expired.
Decisions arrive(State &state, const Request &request, TimePoint now);

/// Handles the end of an admitted request and starts the waiting requests that now fit. The
/// argument \p usedTokens is the number of tokens that the request actually used.
Decisions finish(State &state, RequestId id, std::uint64_t usedTokens, TimePoint now);

/// Handles the disconnection of a caller, whether its request is waiting or running, and starts the
/// waiting requests that now fit. \p usedTokens is the number of tokens that a running request had
/// used by then.
Decisions cancel(State &state, RequestId id, std::uint64_t usedTokens, TimePoint now);

/// Applies a new capacity and starts the waiting requests that now fit. A smaller capacity never
/// interrupts running requests.
Decisions resize(State &state, Capacity capacity, TimePoint now);

/// Refuses waiting requests that can no longer start in time and starts those that fit. The caller
/// must call it no later than nextDeadline().
Decisions advance(State &state, TimePoint now);

/// Records that a request which had started was abandoned without an answer, and returns the delay
/// after which its caller should retry. The slot of the request is released by cancel().
Duration giveUp(State &state, Request request, TimePoint now);

/// Returns the earliest deadline of a waiting request, or nothing if no waiting request has one.
std::optional<TimePoint> nextDeadline(const State &state);

/// Returns the estimated wait of a request that arrives now, in seconds. The estimate is infinite
/// while there is no capacity, and zero while the speed of the upstreams is unknown.
double expectedWaitSeconds(const State &state, const Request &request, TimePoint now);

} // namespace kumquathaven::admission

#endif // KUMQUATHAVEN_ADMISSION_CONTROLLER_H
