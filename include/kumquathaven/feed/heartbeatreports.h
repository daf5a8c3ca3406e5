// Aggregates the heartbeats of the instances below a relay for forwarding towards control.

#ifndef KUMQUATHAVEN_FEED_HEARTBEATREPORTS_H
#define KUMQUATHAVEN_FEED_HEARTBEATREPORTS_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/feed/messages.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace kumquathaven::feed {

/// Collects the heartbeats of the instances that a relay feeds, and of those that they feed in
/// turn. Each reporting instance measures ages on its own clock, so a delay makes a heartbeat
/// appear younger by at most the transit time of its frame.
class HeartbeatReports
{
public:
    /// Records that an incarnation of an instance was alive at \p aliveAt.
    void recordHeartbeat(const std::string &instance, std::uint64_t incarnation, TimePoint aliveAt);

    /// Returns the heartbeats to report to the current source now. An incarnation is reported again
    /// after an interval, and only if a newer heartbeat has arrived since.
    std::vector<Heartbeat> due(TimePoint now);

    /// Makes every heartbeat due again. To be called when the source changes, since the former one
    /// may not have forwarded what was reported to it.
    void resendAll();

private:
    struct LastHeartbeat
    {
        /// Latest time at which the incarnation is known to have been alive.
        TimePoint aliveAt;
        /// Value of aliveAt in the last report to the current source.
        TimePoint reportedAliveAt;
        TimePoint nextDue;
    };

    std::map<std::pair<std::string, std::uint64_t>, LastHeartbeat> m_heartbeats;
};

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_FEED_HEARTBEATREPORTS_H
