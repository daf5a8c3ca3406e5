#include "refusal.h"

#include "kumquathaven/admission/retryafter.h"
#include "waitestimate.h"

#include <algorithm>

namespace kumquathaven::admission {

namespace {

/// Returns the window in which a refused request may be retried: its start, and the time that all
/// expected retries need.
RetryWindow retryWindow(const State &state, const Request &request, double waitSeconds,
                        TimePoint now)
{
    const Rank retryRank{indexOf(request.serviceClass),
                         static_cast<std::size_t>(AttemptKind::Retry)};
    const double rate = spareRate(state, retryRank, now);
    const double expectedTokens =
        valueAt(state.expectedRetryTokens, now, state.policy.retryHalfLife);
    const double maxDelay = toSeconds(state.policy.maxRetryAfter);
    RetryWindow window;
    if (rate <= 0) {
        window.length = state.policy.noCapacityWindow;
        return window;
    }
    const double allowed = request.startBy ? toSeconds(*request.startBy - now) : 0;
    window.start = fromSeconds(std::clamp(waitSeconds - allowed, 0.0, maxDelay));
    window.length = fromSeconds(std::min(expectedTokens / rate, maxDelay));
    return window;
}

/// Records that the request is expected to be retried, and returns the delay before the retry.
Duration expectRetry(State &state, const Request &request, double waitSeconds, TimePoint now)
{
    add(state.expectedRetryTokens, static_cast<double>(request.tokens), now,
        state.policy.retryHalfLife);
    const RetryWindow window = retryWindow(state, request, waitSeconds, now);
    const double draw = state.policy.spread == Spread::Random ? state.random.uniform() : 0;
    return retryAfter(state.policy, window, request.identity, now, draw);
}

} // namespace

Decision refuse(State &state, const Request &request, ErrorCode code, const char *step,
                const char *message, double waitSeconds, TimePoint now)
{
    Decision decision;
    decision.id = request.id;
    decision.action = Action::Refuse;
    decision.error = Error{
        code, step, {}, message, Outcome::NotRun, expectRetry(state, request, waitSeconds, now)};
    return decision;
}

Duration giveUp(State &state, Request request, TimePoint now)
{
    // The deadline of this attempt has passed and says nothing about how long the next attempt may
    // wait.
    request.startBy.reset();
    return expectRetry(state, request, toSeconds(request.upstreamWait), now);
}

} // namespace kumquathaven::admission
