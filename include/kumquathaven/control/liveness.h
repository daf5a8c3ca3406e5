// Tracks the newest heartbeat of each entry instance and finds instances whose lease has expired.

#ifndef KUMQUATHAVEN_CONTROL_LIVENESS_H
#define KUMQUATHAVEN_CONTROL_LIVENESS_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/catalogue/change.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace kumquathaven::control {

/// The newest heartbeat of an instance, with its age.
struct InstanceHeartbeat
{
    std::string name;
    std::uint64_t incarnation = 0;
    Duration age{0};
};

/// Records the time of the newest heartbeat of each incarnation of an instance.
class Liveness
{
public:
    /// Records that an incarnation was alive at \p aliveAt. A heartbeat that is not newer than the
    /// recorded one, which a relay may have delayed, changes nothing.
    void recordHeartbeat(const std::string &instance, std::uint64_t incarnation, TimePoint aliveAt);

    /// Returns the instances to declare dead: those in \p instances without a heartbeat for longer
    /// than \p lease. \p leaderSince is when this member started to collect heartbeat reports; no
    /// lease starts earlier, so that a new leader has time to receive reports. Heartbeats older
    /// than two leases are discarded.
    std::vector<catalogue::DepartInstance> expired(const catalogue::Instances &instances,
                                                   TimePoint leaderSince, Duration lease,
                                                   TimePoint now);

    /// Returns the time of the newest heartbeat of an incarnation, if one is recorded.
    std::optional<TimePoint> lastHeartbeat(const std::string &instance,
                                           std::uint64_t incarnation) const;

    /// Returns the heartbeats that are newer than the last call, for a report to the leader.
    std::vector<InstanceHeartbeat> takeReport(TimePoint now);

private:
    struct LastHeartbeat
    {
        TimePoint aliveAt;
        bool reported = false;
    };

    /// Keyed by name and incarnation, so that of two processes with the same name neither masks
    /// the heartbeats of the other.
    std::map<std::pair<std::string, std::uint64_t>, LastHeartbeat> m_heartbeats;
};

} // namespace kumquathaven::control

#endif // KUMQUATHAVEN_CONTROL_LIVENESS_H
