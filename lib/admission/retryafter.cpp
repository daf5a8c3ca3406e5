#include "kumquathaven/admission/retryafter.h"

#include "kumquathaven/base/hash.h"

#include <algorithm>

namespace kumquathaven::admission {

namespace {

/// Rounds a duration up to a power of two seconds, so that callers refused at different times of
/// one backlog share a window.
Duration roundUpWindow(Duration length)
{
    Duration window = std::chrono::seconds(1);
    while (window < length)
        window *= 2;
    return window;
}

/// Returns the time within the window with number \p index at which the request with the given
/// identity is to be retried, since the epoch of the clock.
Duration timeInWindow(Duration window, std::int64_t index, std::uint64_t identity)
{
    const double fraction =
        hashToUnitInterval(combineHash(identity, static_cast<std::uint64_t>(index)));
    return window * index + fromSeconds(toSeconds(window) * fraction);
}

Duration waitByIdentity(const RetryWindow &window, std::uint64_t identity, TimePoint now)
{
    const Duration length = roundUpWindow(window.length);
    const Duration earliest = now.time_since_epoch() + window.start;
    const std::int64_t index = earliest / length;
    Duration retryAt = timeInWindow(length, index, identity);
    if (retryAt < earliest)
        retryAt = timeInWindow(length, index + 1, identity);
    return retryAt - now.time_since_epoch();
}

} // namespace

Duration retryAfter(const Policy &policy, const RetryWindow &window, std::uint64_t identity,
                    TimePoint now, double draw)
{
    Duration wait{0};
    switch (policy.spread) {
    case Spread::Constant:
        wait = window.start;
        break;
    case Spread::Random:
        wait = window.start + fromSeconds(toSeconds(window.length) * draw);
        break;
    case Spread::ByIdentity:
        wait = waitByIdentity(window, identity, now);
        break;
    }
    return std::clamp(wait, policy.minRetryAfter, policy.maxRetryAfter);
}

} // namespace kumquathaven::admission
