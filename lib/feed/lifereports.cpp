#include "kumquathaven/feed/lifereports.h"

#include <algorithm>

namespace kumquathaven::feed {

namespace {

/// Interval between two reports of one instance. Over three tiers a heartbeat is then at most 4 s
/// old when it arrives at control, which leaves the other half of the 8 s lease for the loss of a
/// relay.
constexpr Duration reportInterval = std::chrono::seconds(2);
/// Heartbeats older than control's lease are discarded, since control cannot use them.
constexpr Duration signLife = std::chrono::seconds(8);
/// Maximum number of incarnations with a recorded heartbeat. The largest fleet that the design
/// provides for fits.
constexpr std::size_t maxHeard = 4096;

} // namespace

void LifeReports::heard(const std::string &instance, std::uint64_t incarnation, TimePoint at)
{
    const auto key = std::pair(instance, incarnation);
    const auto it = m_heard.find(key);
    if (it != m_heard.end())
        it->second.at = std::max(it->second.at, at);
    else if (m_heard.size() < maxHeard)
        m_heard[key].at = at;
}

std::vector<Heartbeat> LifeReports::due(TimePoint now)
{
    std::vector<Heartbeat> heartbeats;
    for (auto it = m_heard.begin(); it != m_heard.end();) {
        Heard &heard = it->second;
        if (now - heard.at > signLife) {
            it = m_heard.erase(it);
            continue;
        }
        if (heard.at > heard.toldAt && now >= heard.nextDue) {
            heard.toldAt = heard.at;
            heard.nextDue = now + reportInterval;
            const Duration age = std::max(Duration(0), now - heard.at);
            heartbeats.push_back({it->first.first, it->first.second, age});
        }
        ++it;
    }
    return heartbeats;
}

void LifeReports::startAgain()
{
    for (auto &it : m_heard) {
        it.second.toldAt = {};
        it.second.nextDue = {};
    }
}

} // namespace kumquathaven::feed
