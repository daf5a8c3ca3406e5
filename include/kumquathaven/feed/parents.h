// Computes from the instance table which entry instances relay the feed to which others.

#ifndef KUMQUATHAVEN_FEED_PARENTS_H
#define KUMQUATHAVEN_FEED_PARENTS_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/catalogue/instances.h"
#include "kumquathaven/settings/settings.h"

#include <cstddef>
#include <string>
#include <vector>

namespace kumquathaven::feed {

/// Returns whether \p first precedes \p second in the order of relays. The order depends only on
/// the names. A parent always precedes its children, so instances cannot feed each other in a
/// cycle, even while they hold tables of different epochs.
bool precedes(const std::string &first, const std::string &second);

/// Returns the tier of an instance among the serving ones. Tier 0 is fed by control, every other
/// tier by the one before it. Tier 0 has directEntries instances; each further tier has children
/// times as many as the tier before it.
std::size_t tierOf(const catalogue::Instances &instances, const std::string &name,
                   const settings::FeedRelays &relays);

/// Returns the instances that may feed \p self, best first: those of its own failure domain, then
/// those of its region, then all others. Equals are ordered by a rank that differs for each
/// \p self. Empty in tier 0.
std::vector<catalogue::Instance> parentCandidates(const catalogue::Instances &instances,
                                                  const catalogue::Instance &self,
                                                  const settings::FeedRelays &relays);

/// Returns whether \p parent, which currently feeds \p self, may continue to do so.
bool mayKeepParent(const catalogue::Instances &instances, const std::string &parent,
                   const std::string &self, const settings::FeedRelays &relays);

/// Returns the interval at which an instance that a relay feeds requests a proof from control, to
/// check that the relay keeps up. All these instances together send directEntries / 4 requests a
/// second, however many they are, unless the minimum interval of 2 s lowers the rate.
Duration controlProofInterval(const catalogue::Instances &instances,
                              const settings::FeedRelays &relays);

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_FEED_PARENTS_H
