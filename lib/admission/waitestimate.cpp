#include "waitestimate.h"

#include "kumquathaven/admission/workahead.h"
#include "startable.h"

#include <algorithm>
#include <limits>

namespace kumquathaven::admission {

namespace {

// Share of the service that is assumed for a rank without a minimum share when other requests use
// all capacity.
constexpr double defaultMinShare = 0.02;

// Iterations of the estimate of a wait. Each iteration counts the work that arrives during the wait
// estimated by the previous one.
constexpr int waitIterations = 12;

constexpr double infinite = std::numeric_limits<double>::infinity();

/// Returns the tokens per second of all slots together.
double totalRate(const State &state)
{
    double slots = state.capacity.slots;
    const double mean = meanTokens(state.rate);
    if (state.capacity.tokens > 0 && mean > 0)
        slots = std::min(slots, std::max(1.0, static_cast<double>(state.capacity.tokens) / mean));
    return slots * tokensPerSecondPerSlot(state.rate);
}

/// Returns the tokens per second of all slots, less the minimum shares of later classes with
/// waiting first attempts.
double unreservedRate(const State &state, std::size_t serviceClass)
{
    double reservedShare = 0;
    for (std::size_t n = serviceClass + 1; n < classCount; ++n) {
        if (state.waiting.loads[n][0].requests > 0)
            reservedShare += state.policy.minShare[n];
    }
    return totalRate(state) * (1 - reservedShare);
}

/// Returns the maximum tokens per second that the slots of a rank allow.
double maxRate(const State &state, Rank rank)
{
    if (state.capacity.slots == 0)
        return 0;
    const bool isRetry = rank.attempt == static_cast<std::size_t>(AttemptKind::Retry);
    const double share = isRetry ? state.policy.maxRetrySlotShare : 1;
    return totalRate(state) * share * maxSlotsOf(state, rank.serviceClass) / state.capacity.slots;
}

} // namespace

double spareRate(const State &state, Rank rank, TimePoint now)
{
    double earlierRate = 0;
    for (std::size_t n = 0; n <= rank.serviceClass; ++n) {
        for (std::size_t attempt = 0; attempt < attemptCount; ++attempt) {
            if (n < rank.serviceClass || attempt < rank.attempt)
                earlierRate +=
                    ratePerSecond(state.accepted[n][attempt], now, state.policy.halfLife);
        }
    }
    const double minRate =
        totalRate(state) * std::max(defaultMinShare, state.policy.minShare[rank.serviceClass]);
    const double spare = unreservedRate(state, rank.serviceClass) - earlierRate;
    return std::max(minRate, std::min(spare, maxRate(state, rank)));
}

double expectedWaitSeconds(const State &state, const Request &request, TimePoint now)
{
    if (startsAtOnce(state, request))
        return 0;
    if (state.capacity.slots == 0)
        return infinite;
    const Rank rank = rankOf(request);
    const double rate = unreservedRate(state, rank.serviceClass);
    if (rate <= 0)
        return 0;
    const double minRate = totalRate(state) * state.policy.minShare[rank.serviceClass];
    const auto own = static_cast<double>(request.tokens);
    double wait = 0;
    for (int n = 0; n < waitIterations; ++n) {
        const WorkAhead ahead = workAhead(state.waiting, state.policy, request, wait, now);
        wait = std::max(ahead.tokens / rate, ahead.sameClassTokens / maxRate(state, rank));
        if (minRate > 0)
            wait = std::min(wait, (ahead.sameClassTokens + own) / minRate);
    }
    return wait + meanSecondsHeld(state.rate) / state.capacity.slots;
}

} // namespace kumquathaven::admission
