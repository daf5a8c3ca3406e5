// Decides whether an instance that has just started may serve requests by the declaration that it
// was handed.
//
// A control member that has just restarted hands out what it had stored until it learns what was
// accepted last. The decision answers the start of all instances and members at once, after which
// an old declaration would be in force again for a moment.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_FIRSTPLAN_H
#define KUMQUATHAVEN_LIB_GATEWAY_FIRSTPLAN_H

#include "kumquathaven/base/time.h"

#include <cstdint>

namespace kumquathaven::gateway {

/// The newest declaration that an instance without a plan was handed, and when.
struct FirstPlan
{
    std::uint64_t version = 0;
    TimePoint handedAt{};
};

/// Returns whether to put the first declaration in force now. \p isProven: a majority of control
/// has confirmed that \p version is the newest. A declaration that is not confirmed, while no newer
/// one arrives, within \p maxWait is used all the same: control has no majority, and an old
/// declaration serves callers better than none. A newer one shows that control still applies its
/// log, and starts the wait again.
bool mayAdoptFirst(FirstPlan &first, std::uint64_t version, bool isProven, Duration maxWait,
                   TimePoint now);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_FIRSTPLAN_H
