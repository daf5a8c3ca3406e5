#include "kumquathaven/admission/retryafter.h"

#include "kumquathaven/base/hash.h"

#include <algorithm>

namespace kumquathaven::admission {

namespace {

/// Returns the smallest power of two seconds that is not shorter than a duration. Callers refused
/// at different moments of one backlog then share a window.
Duration roundedWindow(Duration length)
{
    Duration window = std::chrono::seconds(1);
    while (window < length)
        window *= 2;
    return window;
}

/// Returns the moment within the window number \p index at which the identity is to return.
Duration momentIn(Duration window, std::int64_t index, std::uint64_t identity)
{
    const double fraction =
        hashToUnitInterval(combineHash(identity, static_cast<std::uint64_t>(index)));
    return window * index + fromSeconds(toSeconds(window) * fraction);
}

Duration byIdentity(const RetryWindow &window, std::uint64_t identity, TimePoint now)
{
    const Duration length = roundedWindow(window.length);
    const Duration earliest = now.time_since_epoch() + window.start;
    const std::int64_t index = earliest / length;
    Duration moment = momentIn(length, index, identity);
    if (moment < earliest)
        moment = momentIn(length, index + 1, identity);
    return moment - now.time_since_epoch();
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
        wait = byIdentity(window, identity, now);
        break;
    }
    return std::clamp(wait, policy.minRetryAfter, policy.maxRetryAfter);
}

} // namespace kumquathaven::admission
