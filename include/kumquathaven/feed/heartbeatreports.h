// What a relay tells upwards about which instances live below it.

#ifndef KUMQUATHAVEN_FEED_HEARTBEATREPORTS_H
#define KUMQUATHAVEN_FEED_HEARTBEATREPORTS_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/feed/messages.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace kumquathaven::feed {

/// Collects the heartbeats of the instances that a relay feeds, and of those that they feed. An
/// age is counted on the clock of the instance that tells it, so that a delay makes a heartbeat
/// seem younger by no more than the time that its frame is under way.
class HeartbeatReports
{
public:
    /// An incarnation of an instance showed at \p at that it lives.
    void recordHeartbeat(const std::string &instance, std::uint64_t incarnation, TimePoint aliveAt);

    /// Returns what the present source is to be told now. Each incarnation is told again after
    /// an interval, and only if it was heard since.
    std::vector<Heartbeat> due(TimePoint now);

    /// Another source is in use: the former one may have kept what it was told, so all is told
    /// again.
    void resendAll();

private:
    struct LastHeartbeat
    {
        TimePoint aliveAt;
        TimePoint reportedAliveAt;
        TimePoint nextDue;
    };

    std::map<std::pair<std::string, std::uint64_t>, LastHeartbeat> m_heartbeats;
};

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_FEED_HEARTBEATREPORTS_H
