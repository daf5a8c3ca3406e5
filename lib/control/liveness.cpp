#include "kumquathaven/control/liveness.h"

#include <algorithm>

namespace kumquathaven::control {

namespace {

/// Maximum number of incarnations on record: twice the number of instances that the system is
/// designed for. Heartbeats of further incarnations are ignored.
constexpr std::size_t maxHeard = 8192;

} // namespace

void Liveness::heard(const std::string &instance, std::uint64_t incarnation, TimePoint at)
{
    const auto key = std::pair(instance, incarnation);
    const auto known = m_heard.find(key);
    if (known == m_heard.end() ? m_heard.size() >= maxHeard : at <= known->second.at)
        return;
    m_heard[key] = {at, false};
}

std::vector<catalogue::DepartInstance> Liveness::expired(const catalogue::Instances &instances,
                                                         TimePoint leaderSince, Duration lease,
                                                         TimePoint now)
{
    std::vector<catalogue::DepartInstance> dead;
    for (const auto &it : instances.entries) {
        TimePoint last = leaderSince;
        const auto heard = m_heard.find({it.first, it.second.incarnation});
        if (heard != m_heard.end())
            last = std::max(last, heard->second.at);
        if (now - last > lease)
            dead.push_back({it.first, it.second.incarnation});
    }
    for (auto it = m_heard.begin(); it != m_heard.end();) {
        const bool isOld = now - it->second.at > 2 * lease;
        it = isOld ? m_heard.erase(it) : std::next(it);
    }
    return dead;
}

std::optional<TimePoint> Liveness::lastHeard(const std::string &instance,
                                             std::uint64_t incarnation) const
{
    const auto it = m_heard.find({instance, incarnation});
    return it == m_heard.end() ? std::nullopt : std::optional(it->second.at);
}

std::vector<HeardInstance> Liveness::takeReport(TimePoint now)
{
    std::vector<HeardInstance> report;
    for (auto &it : m_heard) {
        if (it.second.reported)
            continue;
        it.second.reported = true;
        report.push_back(
            {it.first.first, it.first.second, std::max(Duration(0), now - it.second.at)});
    }
    return report;
}

} // namespace kumquathaven::control
