#include "kumquathaven/feed/heartbeatreports.h"

#include <algorithm>

namespace kumquathaven::feed {

namespace {

/// Interval between two reports of one instance. Over three tiers a heartbeat is then at most 4 s
/// old when it arrives at control, which leaves the other half of the 8 s lease for the loss of a
/// relay.
constexpr Duration reportInterval = std::chrono::seconds(2);
/// Heartbeats older than control's lease are discarded, since control cannot use them.
constexpr Duration heartbeatLifetime = std::chrono::seconds(8);
/// Maximum number of incarnations with a recorded heartbeat. The largest fleet that the design
/// provides for fits.
constexpr std::size_t maxHeartbeats = 4096;

} // namespace

void HeartbeatReports::recordHeartbeat(const std::string &instance, std::uint64_t incarnation,
                                       TimePoint aliveAt)
{
    const auto key = std::pair(instance, incarnation);
    const auto it = m_heartbeats.find(key);
    if (it != m_heartbeats.end())
        it->second.aliveAt = std::max(it->second.aliveAt, aliveAt);
    else if (m_heartbeats.size() < maxHeartbeats)
        m_heartbeats[key].aliveAt = aliveAt;
}

std::vector<Heartbeat> HeartbeatReports::due(TimePoint now)
{
    std::vector<Heartbeat> heartbeats;
    for (auto it = m_heartbeats.begin(); it != m_heartbeats.end();) {
        LastHeartbeat &heartbeat = it->second;
        if (now - heartbeat.aliveAt > heartbeatLifetime) {
            it = m_heartbeats.erase(it);
            continue;
        }
        if (heartbeat.aliveAt > heartbeat.reportedAliveAt && now >= heartbeat.nextDue) {
            heartbeat.reportedAliveAt = heartbeat.aliveAt;
            heartbeat.nextDue = now + reportInterval;
            const Duration age = std::max(Duration(0), now - heartbeat.aliveAt);
            heartbeats.push_back({it->first.first, it->first.second, age});
        }
        ++it;
    }
    return heartbeats;
}

void HeartbeatReports::resendAll()
{
    for (auto &it : m_heartbeats) {
        it.second.reportedAliveAt = {};
        it.second.nextDue = {};
    }
}

} // namespace kumquathaven::feed
