#include "kumquathaven/feed/heartbeatreports.h"

#include <algorithm>

namespace kumquathaven::feed {

namespace {

/// Between two reports of one instance. Over three tiers a heartbeat is then at most 4 s old at
/// control, which leaves the other half of the lease for the loss of a relay.
constexpr Duration reportInterval = std::chrono::seconds(2);
/// The lease of control: an older heartbeat is of no use to it.
constexpr Duration signLife = std::chrono::seconds(8);
/// More are not remembered; the whole fleet designed for would fit.
constexpr std::size_t maxHeard = 4096;

} // namespace

void HeartbeatReports::recordHeartbeat(const std::string &instance, std::uint64_t incarnation,
                                       TimePoint aliveAt)
{
    const auto key = std::pair(instance, incarnation);
    const auto it = m_heartbeats.find(key);
    if (it != m_heartbeats.end())
        it->second.aliveAt = std::max(it->second.aliveAt, aliveAt);
    else if (m_heartbeats.size() < maxHeard)
        m_heartbeats[key].aliveAt = aliveAt;
}

std::vector<Heartbeat> HeartbeatReports::due(TimePoint now)
{
    std::vector<Heartbeat> heartbeats;
    for (auto it = m_heartbeats.begin(); it != m_heartbeats.end();) {
        LastHeartbeat &recordHeartbeat = it->second;
        if (now - recordHeartbeat.aliveAt > signLife) {
            it = m_heartbeats.erase(it);
            continue;
        }
        if (recordHeartbeat.aliveAt > recordHeartbeat.reportedAliveAt
            && now >= recordHeartbeat.nextDue) {
            recordHeartbeat.reportedAliveAt = recordHeartbeat.aliveAt;
            recordHeartbeat.nextDue = now + reportInterval;
            const Duration age = std::max(Duration(0), now - recordHeartbeat.aliveAt);
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
