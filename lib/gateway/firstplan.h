// Decides whether an instance that has just started may serve requests by the declaration that it
// was handed.
//
// A control member that has just restarted hands out what it had stored until it learns what was
// accepted last. The decision answers the start of all instances and members at once, after which
// an old declaration would be in force again for a moment.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_FIRSTPLAN_H
#define KUMQUATHAVEN_LIB_GATEWAY_FIRSTPLAN_H

#include "kumquathaven/base/time.h"

namespace kumquathaven::gateway {

/// When an instance without a plan was first handed a declaration.
struct FirstPlan
{
    TimePoint handedAt{};
};

/// Returns whether to put the first declaration in force now. \p isProven: a majority of control
/// has confirmed that it is the newest. A declaration that is not confirmed within \p maxWait is
/// used all the same: control has no majority, and an old declaration serves callers better than
/// none.
bool mayAdoptFirst(FirstPlan &first, bool isProven, Duration maxWait, TimePoint now);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_FIRSTPLAN_H
