// Waits before the first token: what attempts show of them, and when an attempt is to be ended.
//
// Engines report their queue for all priorities together, so a report cannot tell how long urgent
// work waits. What this entry's own attempts wait does: an attempt that has waited for some time
// without a first token proves that work of its priority, and of later ones, waits at least as
// long.

#ifndef KUMQUATHAVEN_ROUTING_FIRSTTOKEN_H
#define KUMQUATHAVEN_ROUTING_FIRSTTOKEN_H

#include "kumquathaven/routing/choice.h"
#include "kumquathaven/routing/fleet.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace kumquathaven::routing {

/// Returns the time that a request's own work may take on an upstream before its answer shows: all
/// of the prompt at the believed speed, whatever is cached, and \p completeAnswerTokens of an
/// answer that comes in one piece.
Duration serviceTime(const Fleet &fleet, Slot slot, std::uint32_t promptTokens,
                     std::uint32_t completeAnswerTokens);

/// Returns how long work of a priority is shown to wait on an upstream before its own work begins:
/// the longest of what waits now and of what was learned lately, of this priority and those before
/// it. Zero without evidence.
Duration observedWait(const Fleet &fleet, Slot slot, std::size_t priority, TimePoint now);

/// Returns the least of these waits over the upstreams that take work, or zero if none does.
Duration minObservedWait(const Fleet &fleet, const std::vector<Slot> &slots, std::size_t priority,
                         bool repeatable, TimePoint now);

/// Returns the time at which an attempt without a first token is given up: its deadline, and the
/// time for its own work. Nothing if it has no deadline or is not known.
std::optional<TimePoint> giveUpAt(const Fleet &fleet, Slot slot, std::uint64_t ticket,
                                  std::optional<TimePoint> deadline);

/// Returns whether an attempt without a first token has waited so long that it should be tried
/// elsewhere: its upstream counts as dead, or the wait has used up its share of the time to the
/// deadline.
bool isOverdue(const Fleet &fleet, Slot slot, std::uint64_t ticket,
               std::optional<TimePoint> deadline, TimePoint now);

/// Returns whether some candidate is expected to give the first token before the deadline. Without
/// a deadline any candidate that takes work is.
bool canMeetDeadlineElsewhere(const Fleet &fleet, const Request &request, TimePoint now);

/// Learns from the first token of a request, or from a request that was ended without one.
void updateWaitEstimate(const Fleet &fleet, UpstreamView &view, const Outstanding &request,
                        TimePoint now);

} // namespace kumquathaven::routing

#endif // KUMQUATHAVEN_ROUTING_FIRSTTOKEN_H
