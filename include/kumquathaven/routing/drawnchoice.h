// Chooses the upstream for a request that may go anywhere, from a few that are drawn for it.
//
// This is designed for many short requests that many instances send at the same time. What an
// instance knows of the others' requests is older than the time between two requests. If each
// instance chose the best of all upstreams, all would choose the same one until its load is
// reported, and after that the next one. The best of a few drawn ones is nearly as good, and
// differs from request to request.

#ifndef KUMQUATHAVEN_ROUTING_DRAWNCHOICE_H
#define KUMQUATHAVEN_ROUTING_DRAWNCHOICE_H

#include "kumquathaven/routing/choice.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace kumquathaven::routing {

/// Returns \p count of the candidates, drawn by rendezvous hashing of \p draw in proportion to
/// their speeds; all of them if there are not more.
std::vector<Slot> drawnSlots(const Fleet &fleet, const std::vector<Slot> &candidates,
                             std::uint64_t draw, std::size_t count);

/// Chooses like choose() among Policy::drawnUpstreams of the candidates, drawn by Request::draw. If
/// none of these is eligible, or the request would wait there for longer than \p maxWait, it
/// chooses among all. It also does so if the request has no draw or Policy::drawnUpstreams is zero.
std::optional<Choice> chooseDrawn(const Fleet &fleet, const Request &request, Duration maxWait,
                                  TimePoint now);

} // namespace kumquathaven::routing

#endif // KUMQUATHAVEN_ROUTING_DRAWNCHOICE_H
