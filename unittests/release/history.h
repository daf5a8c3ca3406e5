// One simulated roll-out: requests, servers of both releases, instances that count, and control.

#ifndef KUMQUATHAVEN_UNITTESTS_RELEASE_HISTORY_H
#define KUMQUATHAVEN_UNITTESTS_RELEASE_HISTORY_H

#include "kumquathaven/release/release.h"

#include <cstdint>
#include <string>
#include <vector>

namespace kumquathaven::release {

constexpr double never = 1e9;

struct Load
{
    std::size_t instances = 30;
    std::size_t servers = 18;
    /// Requests a second, over all routes, and the part of them on each route.
    double rate = 600;
    std::vector<double> routes = {0.7, 0.2, 0.1};
    double limit = 20;
    /// Age of the counts, and time from a decision until instances follow it.
    double evidenceAge = 0.4;
    double feedDelay = 0.3;
    double meanDelay = 0.1;
    /// The new release: from when on, and which part of its answers fail or take longer.
    double badFrom = never;
    double failing = 0;
    double slowPart = 0;
    double slowFactor = 1;
    bool isBadUnderLoadOnly = false;
    /// Any, or the only route on which the release is bad.
    std::size_t badRoute = 99;
    /// From this share on.
    std::uint32_t badShare = 0;
    /// Trouble of both releases: crashes of each server a second, and servers of each side that
    /// fail this part of their requests.
    double crashRate = 0;
    std::size_t greyServers = 0;
    double greyPart = 0.3;
    double commonErrors = 0.001;
    double burstFrom = never;
    double burstErrors = 0;
    /// When this many instances are killed, and when no counts arrive.
    double killAt = never;
    std::size_t killed = 0;
    double gapFrom = never;
    double gapEnd = never;
    /// When control decides nothing.
    double controlAwayFrom = never;
    double controlAwayEnd = never;
    /// Servers with the new release, and when the others of them come.
    std::size_t firstServers = 18;
    double othersAt = 0;
};

struct Result
{
    Action end = Action::Hold;
    double endAt = never;
    std::string reason;
    std::int64_t sent = 0;
    std::int64_t exposed = 0;
    /// Sent later than the bound after the 50th bad answer.
    std::int64_t late = 0;
    bool isExposureBounded = true;
};

/// Plays one roll-out. Equal seeds give equal histories.
Result playHistory(const Load &load, std::uint64_t seed);

} // namespace kumquathaven::release

#endif // KUMQUATHAVEN_UNITTESTS_RELEASE_HISTORY_H
