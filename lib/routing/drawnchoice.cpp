#include "kumquathaven/routing/drawnchoice.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace kumquathaven::routing {

std::vector<Slot> drawnSlots(const Fleet &fleet, const std::vector<Slot> &candidates,
                             std::uint64_t draw, std::size_t count)
{
    if (candidates.size() <= count)
        return candidates;
    std::vector<std::pair<double, Slot>> ranked;
    ranked.reserve(candidates.size());
    for (const Slot it : candidates)
        ranked.emplace_back(placementRank(fleet, draw, it), it);
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(ranked.begin(), end, ranked.end(), std::greater<>());
    std::vector<Slot> drawn;
    for (auto it = ranked.begin(); it != end; ++it)
        drawn.push_back(it->second);
    return drawn;
}

std::optional<Choice> chooseDrawn(const Fleet &fleet, const Request &request, Duration maxWait,
                                  TimePoint now)
{
    const std::size_t count = fleet.policy.drawnUpstreams;
    if (!request.draw || count == 0 || request.candidates.size() <= count)
        return choose(fleet, request, now);
    Request drawn = request;
    drawn.candidates = drawnSlots(fleet, request.candidates, *request.draw, count);
    auto choice = choose(fleet, drawn, now);
    if (!choice || choice->expectedWait > maxWait)
        return choose(fleet, request, now);
    choice->reason = ChoiceReason::Drawn;
    return choice;
}

} // namespace kumquathaven::routing
