#include "kumquathaven/control/departureages.h"

namespace kumquathaven::control {

void DepartureAges::observe(std::uint64_t departures, TimePoint now)
{
    const std::uint64_t last = m_observations.empty() ? m_ended : m_observations.back().departures;
    if (departures > last)
        m_observations.push_back({departures, now});
}

std::uint64_t DepartureAges::endedDepartures(TimePoint now)
{
    while (!m_observations.empty()
           && now - m_observations.front().firstSeenAt >= departedProcessLife) {
        m_ended = m_observations.front().departures;
        m_observations.pop_front();
    }
    return m_ended;
}

} // namespace kumquathaven::control
