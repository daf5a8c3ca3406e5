#include "firstplan.h"

namespace kumquathaven::gateway {

bool mayAdoptFirst(FirstPlan &first, std::uint64_t version, bool isProven, Duration maxWait,
                   TimePoint now)
{
    if (first.handedAt == TimePoint{} || version > first.version)
        first = {version, now};
    return isProven || now - first.handedAt >= maxWait;
}

} // namespace kumquathaven::gateway
