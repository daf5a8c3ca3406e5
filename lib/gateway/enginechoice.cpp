#include "enginechoice.h"

#include "kumquathaven/base/hash.h"
#include "kumquathaven/routing/drawnchoice.h"

#include <algorithm>
#include <vector>

namespace kumquathaven::gateway {

namespace {

/// Shares of the time within which new weights must be in place, counted from the moment when a
/// newer version is set. Up to the first share, old weights are as good as new ones. From the
/// second share on, no request is sent to old weights, since it may still wait there until the time
/// is over. In between, a server with new weights is preferred if its first event comes at most
/// this much later.
constexpr double equalWeightsShare = 0.2;
constexpr double usableWeightsShare = 0.6;
/// Share at which a request is withdrawn that still waits at a server with old weights. The rest is
/// time for the server to notice that.
constexpr double withdrawShare = 0.9;
constexpr Duration maxWaitForNewWeights = std::chrono::milliseconds(300);
/// Number of servers on which a large shared part is placed before the server with the shortest
/// wait is chosen.
constexpr std::size_t maxPlacements = 3;

Duration shareOfWeightsTime(const Servers &servers, double share)
{
    return std::chrono::duration_cast<Duration>(servers.weightsTime * share);
}

/// Returns the request with only those candidates whose weights are as good as the newest ones.
routing::Request withNewWeights(const Servers &servers, const routing::Request &request,
                                const std::string &model, TimePoint now)
{
    const Duration maxAge = shareOfWeightsTime(servers, equalWeightsShare);
    routing::Request out = request;
    out.candidates.clear();
    for (const routing::Slot it : request.candidates) {
        const std::uint64_t version = versionNumber(servers.fleet.upstreams[it].weightsVersion);
        if (catalogue::timeSinceReplaced(*servers.weightsTimes, model, version, now) < maxAge)
            out.candidates.push_back(it);
    }
    return out;
}

/// Chooses a server that is reading the shared part, if its first event is expected within \p
/// maxFirstToken.
std::optional<routing::Choice> chooseReader(const Servers &servers, const routing::Request &request,
                                            const Placement &placement, Duration maxFirstToken,
                                            TimePoint now)
{
    routing::Request single = request;
    for (const routing::Slot it : placement.readers) {
        if (std::find(request.candidates.begin(), request.candidates.end(), it)
            == request.candidates.end())
            continue;
        single.candidates = {it};
        auto choice = routing::choose(servers.fleet, single, now);
        if (!choice || choice->expectedFirstToken > maxFirstToken)
            continue;
        choice->reason = routing::ChoiceReason::BeingRead;
        return choice;
    }
    return std::nullopt;
}

/// Chooses a server. A request without a large shared part goes to one of a few drawn for it, so
/// that instances do not all choose the same. A large shared part goes to its highest-ranked
/// placement, in a ranking that is the same for all instances, or to the next ones if that server
/// is too busy.
std::optional<routing::Choice> choosePlaced(const Servers &servers, const routing::Request &request,
                                            const Placement &placement, TimePoint now)
{
    if (placement.key.empty())
        return routing::chooseDrawn(servers.fleet, request, placement.maxDrawnWait, now);
    auto best = routing::choose(servers.fleet, request, now);
    if (!best)
        return best;
    const Duration maxReaderFirstToken = best->expectedFirstToken + placement.maxReaderDelay;
    if (auto reader = chooseReader(servers, request, placement, maxReaderFirstToken, now))
        return reader;
    std::vector<routing::Slot> ranked = request.candidates;
    const std::uint64_t key = stableHash(placement.key);
    const auto rank = [&](routing::Slot it) {
        return routing::placementRank(servers.fleet, key, it);
    };
    const std::size_t places = std::min(maxPlacements, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(places),
                      ranked.end(), [&](routing::Slot a, routing::Slot b) {
                          return rank(a) > rank(b);
                      });
    routing::Request single = request;
    std::vector<routing::Choice> choices;
    for (std::size_t n = 0; n < places; ++n) {
        single.candidates = {ranked[n]};
        auto choice = routing::choose(servers.fleet, single, now);
        if (!choice || choice->expectedFirstToken > best->expectedFirstToken + placement.maxDelay)
            continue;
        choice->reason = routing::ChoiceReason::Placed;
        choices.push_back(*choice);
    }
    if (choices.empty())
        return best;
    const auto earliest =
        std::min_element(choices.begin(), choices.end(), [](const auto &a, const auto &b) {
            return a.expectedFirstToken < b.expectedFirstToken;
        });
    const Duration maxFirstToken = earliest->expectedFirstToken + placement.maxDelay;
    return *std::find_if(choices.begin(), choices.end(), [&](const routing::Choice &it) {
        return it.expectedFirstToken <= maxFirstToken;
    });
}

} // namespace

std::uint64_t versionNumber(const std::string &version)
{
    return std::stoull("0" + version);
}

bool isUsableVersion(const Servers &servers, const std::string &model, std::uint64_t version,
                     TimePoint now)
{
    return catalogue::timeSinceReplaced(*servers.weightsTimes, model, version, now)
        < shareOfWeightsTime(servers, usableWeightsShare);
}

Duration timeToWithdraw(const Servers &servers, const std::string &model, std::uint64_t version,
                        TimePoint now)
{
    const Duration most = shareOfWeightsTime(servers, withdrawShare);
    const Duration replaced =
        catalogue::timeSinceReplaced(*servers.weightsTimes, model, version, now);
    return replaced >= most ? Duration(0) : most - replaced;
}

std::optional<routing::Choice> chooseEngine(const Servers &servers, const routing::Request &request,
                                            const std::string &model, const Placement &placement,
                                            TimePoint now)
{
    const auto fresh = withNewWeights(servers, request, model, now);
    auto choiceOnNew = choosePlaced(servers, fresh, placement, now);
    if (fresh.candidates.size() == request.candidates.size())
        return choiceOnNew;
    auto choiceOnAny = choosePlaced(servers, request, placement, now);
    const bool isWorthWait = choiceOnNew && choiceOnAny
        && choiceOnNew->expectedFirstToken
            <= choiceOnAny->expectedFirstToken + maxWaitForNewWeights;
    return isWorthWait ? choiceOnNew : choiceOnAny;
}

} // namespace kumquathaven::gateway
