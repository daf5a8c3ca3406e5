// The control members that an entry instance may follow.

#ifndef KUMQUATHAVEN_FEED_MEMBERADDRESSES_H
#define KUMQUATHAVEN_FEED_MEMBERADDRESSES_H

#include "kumquathaven/settings/settings.h"

#include <string>
#include <vector>

namespace kumquathaven::feed {

/// Returns the members that the control state lists, followed by those of the settings that it does
/// not list. The settings are kept, since a member that restarts may hand out a state from when the
/// group had one member: all instances would then follow that one, which could not bear it.
std::vector<settings::Address> memberAddresses(const std::vector<std::string> &listed,
                                               const std::vector<settings::Address> &configured);

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_FEED_MEMBERADDRESSES_H
