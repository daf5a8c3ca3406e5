// Decides whether an entry instance without a state gets the complete state from a control member
// or from a relay.

#ifndef KUMQUATHAVEN_CONTROL_FIRSTSTATES_H
#define KUMQUATHAVEN_CONTROL_FIRSTSTATES_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/catalogue/instances.h"
#include "kumquathaven/feed/messages.h"

#include <string>
#include <vector>

namespace kumquathaven::control {

/// A token bucket for the complete states that a member sends to instances without a state.
struct StateBudget
{
    /// Tokens at the time \c updatedAt, one for each state. Refilled at 8 a second up to 8.
    double available = 8;
    TimePoint updatedAt;
};

/// Takes one token from the budget. Returns false if it has none.
bool takeState(StateBudget &budget, TimePoint now);

/// Returns up to three serving instances that \p asker should ask for its first state, preferred
/// first. Each asker gets its own choice, so that instances that start at the same time spread over
/// the fleet. Empty if no other instance serves.
std::vector<feed::RelayAddress> firstRelaysFor(const catalogue::Instances &instances,
                                               const std::string &asker);

} // namespace kumquathaven::control

#endif // KUMQUATHAVEN_CONTROL_FIRSTSTATES_H
