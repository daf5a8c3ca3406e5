#include "firstplan.h"

namespace kumquathaven::gateway {

bool mayAdoptFirst(FirstPlan &first, bool isProven, Duration maxWait, TimePoint now)
{
    if (first.handedAt == TimePoint{})
        first.handedAt = now;
    return isProven || now - first.handedAt >= maxWait;
}

} // namespace kumquathaven::gateway
