#include "kumquathaven/control/liveness.h"

#include <algorithm>

namespace kumquathaven::control {

namespace {

/// Maximum number of incarnations on record: twice the number of instances that the system is
/// designed for. Heartbeats of further incarnations are ignored.
constexpr std::size_t maxHeartbeats = 8192;

} // namespace

void Liveness::recordHeartbeat(const std::string &instance, std::uint64_t incarnation,
                               TimePoint aliveAt)
{
    const auto key = std::pair(instance, incarnation);
    const auto known = m_heartbeats.find(key);
    if (known == m_heartbeats.end() ? m_heartbeats.size() >= maxHeartbeats
                                    : aliveAt <= known->second.aliveAt)
        return;
    m_heartbeats[key] = {aliveAt, false};
}

std::vector<catalogue::DepartInstance> Liveness::expired(const catalogue::Instances &instances,
                                                         TimePoint leaderSince, Duration lease,
                                                         TimePoint now)
{
    std::vector<catalogue::DepartInstance> dead;
    for (const auto &it : instances.entries) {
        TimePoint last = leaderSince;
        const auto heartbeat = m_heartbeats.find({it.first, it.second.incarnation});
        if (heartbeat != m_heartbeats.end())
            last = std::max(last, heartbeat->second.aliveAt);
        if (now - last > lease)
            dead.push_back({it.first, it.second.incarnation});
    }
    for (auto it = m_heartbeats.begin(); it != m_heartbeats.end();) {
        const bool isOld = now - it->second.aliveAt > 2 * lease;
        it = isOld ? m_heartbeats.erase(it) : std::next(it);
    }
    return dead;
}

std::optional<TimePoint> Liveness::lastHeartbeat(const std::string &instance,
                                                 std::uint64_t incarnation) const
{
    const auto it = m_heartbeats.find({instance, incarnation});
    return it == m_heartbeats.end() ? std::nullopt : std::optional(it->second.aliveAt);
}

std::vector<InstanceHeartbeat> Liveness::takeReport(TimePoint now)
{
    std::vector<InstanceHeartbeat> report;
    for (auto &it : m_heartbeats) {
        if (it.second.reported)
            continue;
        it.second.reported = true;
        report.push_back(
            {it.first.first, it.first.second, std::max(Duration(0), now - it.second.aliveAt)});
    }
    return report;
}

} // namespace kumquathaven::control
