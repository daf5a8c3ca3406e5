// Which entry instances relay the feed to which others, worked out from the table of instances.

#ifndef KUMQUATHAVEN_FEED_PARENTS_H
#define KUMQUATHAVEN_FEED_PARENTS_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/catalogue/instances.h"
#include "kumquathaven/settings/settings.h"

#include <cstddef>
#include <string>
#include <vector>

namespace kumquathaven::feed {

/// Returns whether \p first stands before \p second in the order of relays. The order depends on
/// the names alone. A parent always stands before its children, so that no instances can feed each
/// other in a ring, also while they hold tables of different epochs.
bool precedes(const std::string &first, const std::string &second);

/// Returns the tier of an instance among the serving ones: 0 is fed by control, each other one by
/// the tier before it. The first tier has directEntries instances, each further one children times
/// as many as the one before.
std::size_t tierOf(const catalogue::Instances &instances, const std::string &name,
                   const settings::FeedRelays &relays);

/// Returns the instances that may feed \p self, best first: those of its own failure domain, then
/// of its region, then all others, in an order of its own among equals. Empty in tier 0.
std::vector<catalogue::Instance> parentCandidates(const catalogue::Instances &instances,
                                                  const catalogue::Instance &self,
                                                  const settings::FeedRelays &relays);

/// Returns whether \p parent, which feeds \p self, may go on with it.
bool mayKeepParent(const catalogue::Instances &instances, const std::string &parent,
                   const std::string &self, const settings::FeedRelays &relays);

/// Returns how often an instance that a relay feeds asks control whether the relay keeps up. All
/// such instances together ask a quarter as often a second as there are direct ones, however many
/// they are.
Duration controlProofInterval(const catalogue::Instances &instances,
                              const settings::FeedRelays &relays);

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_FEED_PARENTS_H
