#include "kumquathaven/base/decayingsum.h"

#include <algorithm>
#include <cmath>

namespace kumquathaven {

double valueAt(const DecayingSum &sum, TimePoint now, Duration halfLife)
{
    if (now <= sum.updatedAt)
        return sum.sum;
    return sum.sum * std::exp2(-toSeconds(now - sum.updatedAt) / toSeconds(halfLife));
}

void add(DecayingSum &sum, double value, TimePoint now, Duration halfLife)
{
    sum.sum = std::max(0.0, valueAt(sum, now, halfLife) + value);
    sum.updatedAt = std::max(sum.updatedAt, now);
}

double ratePerSecond(const DecayingSum &sum, TimePoint now, Duration halfLife)
{
    constexpr double ln2 = 0.693147180559945;
    return valueAt(sum, now, halfLife) * ln2 / toSeconds(halfLife);
}

} // namespace kumquathaven
