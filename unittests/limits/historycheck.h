// Checks a recorded history of spent tokens against a limit on rate and burst.

#ifndef KUMQUATHAVEN_UNITTESTS_LIMITS_HISTORYCHECK_H
#define KUMQUATHAVEN_UNITTESTS_LIMITS_HISTORYCHECK_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/limits/config.h"

#include <vector>

namespace kumquathaven::limits {

/// Tokens that one instance admitted at one time.
struct Spend
{
    TimePoint spentAt{};
    double tokens = 0;
};

/// Returns the maximum number of tokens by which any window, of any length, exceeds
/// burst + rate * length, or zero if none does. \p spends are those of all instances, in any order.
double maxExcessTokens(std::vector<Spend> spends, const BucketLimits &limits);

} // namespace kumquathaven::limits

#endif // KUMQUATHAVEN_UNITTESTS_LIMITS_HISTORYCHECK_H
