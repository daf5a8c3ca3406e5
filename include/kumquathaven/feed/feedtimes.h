// The times of the feed that follow from the settings.
//
// On a platform an accepted change must be in force within inForceTime, also at an instance whose
// member was cut off just before. That time is divided between the age of the member's last proof,
// its timeout, the search for another member, and the change itself.

#ifndef KUMQUATHAVEN_FEED_FEEDTIMES_H
#define KUMQUATHAVEN_FEED_FEEDTIMES_H

#include "kumquathaven/feed/membersearch.h"
#include "kumquathaven/feed/subscriber.h"
#include "kumquathaven/settings/settings.h"

namespace kumquathaven::feed {

/// Returns the times of a subscription.
SubscriberTimes subscriberTimes(const settings::Settings &settings);

/// Returns the times of a search for a control member.
SearchTimes searchTimes(const settings::Settings &settings);

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_FEED_FEEDTIMES_H
