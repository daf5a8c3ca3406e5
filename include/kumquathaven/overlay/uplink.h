// An instance's choice of its parent in the tree, as a state machine without sockets or clocks.

#ifndef KUMQUATHAVEN_OVERLAY_UPLINK_H
#define KUMQUATHAVEN_OVERLAY_UPLINK_H

#include "kumquathaven/base/time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace kumquathaven::overlay {

/// Timeouts of an uplink.
struct UplinkTimes
{
    /// A parent from which nothing was received for this long is given up. Parents send something
    /// at least every Aggregate::keepAliveInterval.
    Duration silenceTimeout = std::chrono::milliseconds(800);
    /// A candidate that sent nothing this long after the link to it was requested is given up.
    Duration connectTimeout = std::chrono::milliseconds(400);
    /// Interval after which a candidate that precedes the current parent is tried again.
    Duration preferredInterval = std::chrono::seconds(3);
    /// Interval between two rounds through all candidates while none responds.
    Duration roundInterval = std::chrono::milliseconds(500);
    /// A longer time between two reviews means that this process was paused, so that the parent's
    /// silence is no evidence.
    Duration pauseLimit = std::chrono::milliseconds(300);
};

/// The parent of an instance, and the candidate that is being connected to.
struct Uplink
{
    UplinkTimes times;
    std::vector<std::string> candidates;
    /// Empty while the instance has no parent.
    std::string parent;
    TimePoint heardAt{};
    /// Empty while no link is being opened.
    std::string next;
    std::size_t nextIndex = 0;
    TimePoint nextSince{};
    /// No candidate is tried before this time.
    TimePoint retryAt{};
    /// Whether the current round through the candidates found none that responds.
    bool isRoundOver = false;
    TimePoint reviewedAt{};
};

/// Links to open and close, in the order of the members.
struct UplinkStep
{
    std::vector<std::string> disconnect;
    /// Empty: no link is to be opened.
    std::string connect;
    /// Whether the parent was lost or replaced.
    bool hasLostParent = false;
};

/// Sets the candidates. A parent that is not among them any more is given up.
UplinkStep setCandidates(Uplink &uplink, std::vector<std::string> candidates, TimePoint now);

/// Checks the timeouts and decides which candidate to connect to. To be called every few tens of
/// milliseconds.
UplinkStep review(Uplink &uplink, TimePoint now);

/// Records that something was received from an instance that this one connected to. A candidate
/// becomes the parent with the first message.
UplinkStep recordHeard(Uplink &uplink, const std::string &from, TimePoint now);

/// Records that the link to an instance closed, or could not be opened.
UplinkStep recordClosed(Uplink &uplink, const std::string &from, TimePoint now);

/// Returns whether the instance is the root of its tree for now: it has no candidates, or none of
/// them responds.
bool isRoot(const Uplink &uplink);

} // namespace kumquathaven::overlay

#endif // KUMQUATHAVEN_OVERLAY_UPLINK_H
