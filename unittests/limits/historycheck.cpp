#include "historycheck.h"

#include <algorithm>

namespace kumquathaven::limits {

double maxExcessTokens(std::vector<Spend> spends, const BucketLimits &limits)
{
    std::sort(spends.begin(), spends.end(), [](const Spend &a, const Spend &b) {
        return a.spentAt < b.spentAt;
    });
    // The largest sum of tokens minus refill over all windows that end at the current spend.
    double largestExcess = 0;
    double excess = 0;
    TimePoint last{};
    for (const Spend &it : spends) {
        largestExcess =
            std::max(0.0, largestExcess - limits.rate * toSeconds(it.spentAt - last)) + it.tokens;
        last = it.spentAt;
        excess = std::max(excess, largestExcess - limits.burst);
    }
    // An excess below one token is due to the rounding of times to microseconds.
    return excess < 1 ? 0 : excess;
}

} // namespace kumquathaven::limits
