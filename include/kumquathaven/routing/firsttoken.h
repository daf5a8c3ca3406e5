// Estimates waits before the first token, and decides when an attempt is retried elsewhere or given
// up.
//
// Engines report one queue for all priorities, so a load report does not say how long urgent
// requests wait. This entry's own attempts do: an attempt that has waited for some time without a
// first token proves that requests of its priority, and of lower ones, wait at least as long.

#ifndef KUMQUATHAVEN_ROUTING_FIRSTTOKEN_H
#define KUMQUATHAVEN_ROUTING_FIRSTTOKEN_H

#include "kumquathaven/routing/choice.h"
#include "kumquathaven/routing/fleet.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace kumquathaven::routing {

/// Returns the time that an upstream may spend on a request itself, without the wait, before the
/// first part of the answer is sent. It covers computing the complete prompt at the estimated
/// speed, whatever part is cached, and generating \p completeAnswerTokens of an answer that is not
/// streamed.
Duration serviceTime(const Fleet &fleet, Slot slot, std::uint32_t promptTokens,
                     std::uint32_t completeAnswerTokens);

/// Returns how long requests of a priority are known to wait on an upstream before they are
/// processed: the maximum over this priority and higher ones of the current waits of outstanding
/// requests and of the recent wait estimates. Zero if there is neither.
Duration observedWait(const Fleet &fleet, Slot slot, std::size_t priority, TimePoint now);

/// Returns the minimum of observedWait() over those of \p slots that accept requests, or zero if
/// none does.
Duration minObservedWait(const Fleet &fleet, const std::vector<Slot> &slots, std::size_t priority,
                         bool repeatable, TimePoint now);

/// Returns the time at which an attempt without a first token is given up: its deadline plus its
/// serviceTime(). Nothing if it has no deadline or the ticket is unknown.
std::optional<TimePoint> giveUpAt(const Fleet &fleet, Slot slot, std::uint64_t ticket,
                                  std::optional<TimePoint> deadline);

/// Returns whether an attempt without a first token should be retried on another upstream: its
/// upstream was ejected as dead, or it has waited for more than Policy::moveAfterShare of the time
/// to its deadline.
bool isOverdue(const Fleet &fleet, Slot slot, std::uint64_t ticket,
               std::optional<TimePoint> deadline, TimePoint now);

/// Returns whether some eligible candidate is expected to send the first token before the deadline.
/// Without a deadline any eligible candidate counts.
bool canMeetDeadlineElsewhere(const Fleet &fleet, const Request &request, TimePoint now);

/// Updates the wait estimate of the request's priority when its first token arrives, or when it is
/// given up without one.
void updateWaitEstimate(const Fleet &fleet, UpstreamView &view, const Outstanding &request,
                        TimePoint now);

} // namespace kumquathaven::routing

#endif // KUMQUATHAVEN_ROUTING_FIRSTTOKEN_H
