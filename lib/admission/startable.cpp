#include "startable.h"

#include <algorithm>

namespace kumquathaven::admission {

namespace {

/// Returns the end of the classes that may start a request now, if each class may hold \p share of
/// its slots.
std::size_t startableEnd(const State &state, double share)
{
    std::size_t end = 0;
    auto held = static_cast<double>(state.running.size());
    while (end < classCount && held < std::max(1.0, share * maxSlotsOf(state, end))) {
        if (maxSlotsOf(state, end) == 0)
            break;
        held -= state.runningOfClass[end];
        ++end;
    }
    return end;
}

bool mayStart(const StartableClasses &startable, Rank rank)
{
    const bool isFirst = rank.attempt == static_cast<std::size_t>(AttemptKind::First);
    return rank.serviceClass < (isFirst ? startable.firstEnd : startable.retryEnd);
}

} // namespace

std::uint32_t maxSlotsOf(const State &state, std::size_t serviceClass)
{
    const std::uint32_t slots = state.capacity.slots;
    if (slots == 0)
        return 0;
    const double maxSlots = state.policy.maxSlotShare[serviceClass] * slots;
    return std::clamp(static_cast<std::uint32_t>(maxSlots), 1U, slots);
}

StartableClasses startableNow(const State &state)
{
    return {startableEnd(state, 1), startableEnd(state, state.policy.maxRetrySlotShare)};
}

bool tokensFit(const State &state, std::uint64_t tokens)
{
    return state.capacity.tokens == 0 || state.running.empty()
        || state.runningTokens + tokens <= state.capacity.tokens;
}

bool startsAtOnce(const State &state, const Request &request)
{
    const Rank rank = rankOf(request);
    if (!mayStart(startableNow(state), rank) || !tokensFit(state, request.tokens))
        return false;
    std::size_t requestsBefore = 0;
    for (std::size_t n = 0; n <= rank.serviceClass; ++n) {
        for (std::size_t attempt = 0; attempt < attemptCount; ++attempt) {
            if (n < rank.serviceClass || attempt <= rank.attempt)
                requestsBefore += state.waiting.loads[n][attempt].requests;
        }
    }
    const auto customer = state.waiting.customers.find(request.customer);
    const bool isCapped = request.maxRunning > 0 && customer != state.waiting.customers.end()
        && customer->second.running >= request.maxRunning;
    return requestsBefore == 0 && !isCapped;
}

} // namespace kumquathaven::admission
