// When an entry instance moves to which relay, and back to control.

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

/// What to do about the source of the feed.
struct Move
{
    enum class Kind { Stay, ToRelay, ToControl };
    Kind kind = Kind::Stay;
    /// The relay to move to.
    catalogue::Instance relay;
};

/// Keeps a relay as long as it may stay, so that a change of the table moves few instances; waits
/// after a failure, and leaves a relay that failed alone for a while.
class ParentChooser
{
public:
    ParentChooser(settings::FeedRelays relays, std::uint64_t seed)
        : m_relays(relays)
        , m_random(seed)
    { }

    /// To be called every few tens of milliseconds with the name of the present relay, empty if
    /// control feeds this instance. Looks closer after each change of the table and now and then.
    Move review(const catalogue::Instances &instances, const catalogue::Instance &self,
                const std::string &present, TimePoint now);

    /// A relay failed, or could not be reached.
    void recordFailure(const std::string &relay, TimePoint now);

    /// Returns a time up to \p longest, drawn at random.
    Duration randomDelay(Duration maxDelay);

private:
    settings::FeedRelays m_relays;
    Random m_random;
    std::uint64_t m_epoch = 0;
    TimePoint m_reviewAt;
    /// No move before it.
    TimePoint m_noMoveBefore;
    /// Relays that failed, and until when they are left alone.
    std::map<std::string, TimePoint> m_avoided;
};

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_FEED_PARENTCHOOSER_H
