// Decides when an entry instance moves to a relay, to which one, and when it returns to control.

#ifndef KUMQUATHAVEN_FEED_PARENTCHOOSER_H
#define KUMQUATHAVEN_FEED_PARENTCHOOSER_H

#include "kumquathaven/base/random.h"
#include "kumquathaven/base/time.h"
#include "kumquathaven/catalogue/instances.h"
#include "kumquathaven/settings/settings.h"

#include <map>
#include <optional>
#include <string>

namespace kumquathaven::feed {

/// A decision about the source of the feed.
struct Move
{
    enum class Kind { Stay, ToRelay, ToControl };
    Kind kind = Kind::Stay;
    /// The relay to move to.
    catalogue::Instance relay;
};

/// Keeps a relay as long as it is permitted, so that a change of the instance table moves few
/// instances. After a failure it waits before the next move, and it avoids the failed relay for a
/// while.
class ParentChooser
{
public:
    ParentChooser(settings::FeedRelays relays, std::uint64_t seed)
        : m_relays(relays)
        , m_random(seed)
    { }

    /// Returns the next move. To be called every few tens of milliseconds. \p currentRelay is the
    /// name of the relay that feeds this instance, empty if control does. The sources are
    /// reconsidered after each change of the instance table and periodically.
    Move review(const catalogue::Instances &instances, const catalogue::Instance &self,
                const std::string &currentRelay, TimePoint now);

    /// Records that a relay failed or could not be reached.
    void recordFailure(const std::string &relay, TimePoint now);

    /// Returns a random duration of at most \p maxDelay, uniformly distributed.
    Duration randomDelay(Duration maxDelay);

private:
    settings::FeedRelays m_relays;
    Random m_random;
    std::uint64_t m_epoch = 0;
    TimePoint m_reviewAt;
    /// No move is made before this time.
    TimePoint m_noMoveBefore;
    /// Relays that failed, with the time until which they are avoided.
    std::map<std::string, TimePoint> m_avoided;
};

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_FEED_PARENTCHOOSER_H
