// Moves rollouts of releases on: joins what instances counted, the listed servers and the time
// since the order, and decides which step to record.
//
// The state of a rollout is in the catalogue. What is kept here may be lost with its process: a new
// leader goes on from the catalogue and from the next report.

#ifndef KUMQUATHAVEN_DEPLOYMENT_RELEASES_H
#define KUMQUATHAVEN_DEPLOYMENT_RELEASES_H

#include "kumquathaven/catalogue/change.h"
#include "kumquathaven/deployment/server.h"
#include "kumquathaven/release/release.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kumquathaven::deployment {

/// Returns the servers of a service by release. Servers that are draining are not counted.
release::Supply supplyOf(const std::vector<ListedServer> &servers, const std::string &service,
                         const std::string &release);

/// Returns the upstreams that a route of the catalogue may use, by release. Those that are leaving
/// are not counted; each counts as one slot.
release::Supply supplyOf(const catalogue::Catalogue &catalogue, const std::string &route,
                         const std::string &release);

/// Returns whether the listed servers of the service all have the release, and there is one.
bool runsAlready(const std::vector<ListedServer> &servers, const std::string &service,
                 const std::string &release);

/// What one member knows about a running rollout.
struct RolloutMemory
{
    std::uint64_t number = 0;
    std::uint32_t step = 0;
    /// When this member first saw the order, and the present step.
    TimePoint seenAt{};
    TimePoint stepSeenAt{};
    /// Time between the order and seenAt, as far as the wall clocks prove it.
    Duration before{0};
    /// The highest counts that were reported.
    release::Evidence evidence;
    /// When the newest report arrived; empty if there was none.
    std::optional<TimePoint> reportedAt;
    /// The last proposal, so that it is not repeated at once.
    release::Action proposed = release::Action::Hold;
    TimePoint proposedAt{};
};

/// Updates the memory from the catalogue. A rollout with another number starts a new memory.
/// \p wallNow is in milliseconds since 1970 and is read only at the first sight of an order.
void observe(RolloutMemory &memory, const catalogue::ServiceRollout &rollout, std::uint64_t wallNow,
             TimePoint now);

/// Takes a report about the rollout that the memory is about. Counts never decrease: a restarted
/// instance counts from zero again.
void take(RolloutMemory &memory, const release::Evidence &report, TimePoint now);

/// Returns the time since the order. It never runs ahead of the real time by more than the error of
/// the clocks at the first sight of the order beyond maxClockError, whatever jumps follow.
Duration elapsedOf(const RolloutMemory &memory, const catalogue::ServiceRollout &rollout,
                   TimePoint now);

/// Errors of wall clocks up to this are harmless.
constexpr Duration maxClockError = std::chrono::seconds(10);

/// A decision, and the change that records it.
struct RolloutDecision
{
    release::Decision decision;
    release::Progress progress;
    /// Empty for Action::Hold, and while the same step was proposed a moment ago.
    std::optional<catalogue::RecordRolloutStep> step;
};

/// Decides the next step of a rollout that is running.
RolloutDecision nextStep(RolloutMemory &memory, const catalogue::ServiceRollout &rollout,
                         const release::Supply &supply, const release::Policy &policy,
                         TimePoint now);

} // namespace kumquathaven::deployment

#endif // KUMQUATHAVEN_DEPLOYMENT_RELEASES_H
