#include "kumquathaven/routing/baselines.h"

#include "kumquathaven/base/hash.h"

#include <algorithm>
#include <limits>

namespace kumquathaven::routing {

namespace {

std::vector<Slot> eligible(const Fleet &fleet, const Request &request)
{
    std::vector<Slot> all;
    for (const Slot it : request.candidates) {
        if (isEligible(fleet, request, it))
            all.push_back(it);
    }
    return all;
}

Choice plainChoice(const Fleet &fleet, const Request &request, Slot slot, ChoiceReason reason)
{
    const UpstreamView &view = fleet.upstreams[slot];
    Choice choice;
    choice.slot = slot;
    choice.upstream = view.name;
    choice.incarnation = view.incarnation;
    choice.weightsVersion = view.weightsVersion;
    choice.reason = reason;
    choice.chain = *chainFor(request, view);
    choice.promptTokens = request.chains[choice.chain].promptTokens();
    return choice;
}

std::uint64_t requestsAt(const UpstreamView &view)
{
    std::uint64_t n = view.load.running + view.load.waiting;
    for (const Outstanding &it : view.outstanding)
        n += it.sentAt > view.load.measuredAt ? 1 : 0;
    return n;
}

} // namespace

std::optional<Choice> chooseRandom(const Fleet &fleet, const Request &request, Random &random)
{
    const std::vector<Slot> all = eligible(fleet, request);
    if (all.empty())
        return std::nullopt;
    return plainChoice(fleet, request, all[random.below(all.size())], ChoiceReason::LeastWait);
}

std::optional<Choice> chooseLeastLoaded(const Fleet &fleet, const Request &request, Random &random)
{
    const std::vector<Slot> all = eligible(fleet, request);
    if (all.empty())
        return std::nullopt;
    std::uint64_t minimum = std::numeric_limits<std::uint64_t>::max();
    std::vector<Slot> best;
    for (const Slot it : all) {
        const std::uint64_t n = requestsAt(fleet.upstreams[it]);
        if (n < minimum) {
            minimum = n;
            best.clear();
        }
        if (n == minimum)
            best.push_back(it);
    }
    return plainChoice(fleet, request, best[random.below(best.size())], ChoiceReason::LeastWait);
}

std::optional<Choice> choosePrefixHash(const Fleet &fleet, const Request &request,
                                       std::size_t depth)
{
    std::optional<Slot> best;
    std::uint64_t highest = 0;
    for (const Slot it : eligible(fleet, request)) {
        const auto &blocks = request.chains[*chainFor(request, fleet.upstreams[it])].blocks();
        const std::uint64_t key = blocks.empty()
            ? 0
            : static_cast<std::uint64_t>(blocks[std::min(depth, blocks.size()) - 1]);
        const std::uint64_t rank = combineHash(key, stableHash(fleet.upstreams[it].name));
        if (!best || rank > highest) {
            best = it;
            highest = rank;
        }
    }
    if (!best)
        return std::nullopt;
    return plainChoice(fleet, request, *best, ChoiceReason::Placed);
}

} // namespace kumquathaven::routing
