// Tracks how long ago instances departed, by the clock of one control member.

#ifndef KUMQUATHAVEN_CONTROL_DEPARTUREAGES_H
#define KUMQUATHAVEN_CONTROL_DEPARTUREAGES_H

#include "kumquathaven/base/time.h"

#include <cstdint>
#include <deque>

namespace kumquathaven::control {

/// Maximum time for which a process still acts after its departure was recorded: the largest
/// freshness bound that the settings allow (60 s), plus the lifetime of a session under its last
/// grant and clock drift.
constexpr Duration departedProcessLife = std::chrono::seconds(65);

/// Records when the departure count in the applied state was first seen to reach each value.
/// Departures from before the object was created count as ended only once observed here and aged.
class DepartureAges
{
public:
    /// Records the departure count of the applied state, which never decreases.
    void observe(std::uint64_t departures, TimePoint now);

    /// Returns the number of the newest departure such that its process and the processes of all
    /// earlier departures have ended; 0 if there is none.
    std::uint64_t endedDepartures(TimePoint now);

private:
    struct Observation
    {
        std::uint64_t departures = 0;
        TimePoint firstSeenAt{};
    };
    std::deque<Observation> m_observations;
    std::uint64_t m_ended = 0;
};

} // namespace kumquathaven::control

#endif // KUMQUATHAVEN_CONTROL_DEPARTUREAGES_H
