#include "enginechoice.h"

#include "kumquathaven/base/hash.h"

#include <algorithm>
#include <vector>

namespace kumquathaven::gateway {

namespace {

/// Parts of the time that new weights have to be in place: for which old ones are as good, and
/// after which nothing is sent to them, since a request may still wait there. In between this wait
/// for new ones is worth it.
constexpr double freeOldPart = 0.2;
constexpr double lastOldPart = 0.6;
constexpr Duration waitForNew = std::chrono::milliseconds(300);
/// Servers that a large shared part may be placed on before it goes wherever the wait is least.
constexpr std::size_t mostPlaces = 3;

/// Returns how long ago a version of a model was replaced by the naming of a newer one.
Duration replacedFor(const Servers &servers, const std::string &model, std::uint64_t version,
                     TimePoint now)
{
    const auto named = servers.namedAt.find(model);
    if (named == servers.namedAt.end())
        return Duration(0);
    const auto next = named->second.upper_bound(version);
    return next == named->second.end() ? Duration(0) : now - next->second;
}

/// Leaves only the servers whose weights were replaced for less than \p longest.
routing::Request withWeights(const Servers &servers, const routing::Request &request,
                             const std::string &model, Duration longest, TimePoint now)
{
    routing::Request out = request;
    out.candidates.clear();
    for (const routing::Slot it : request.candidates) {
        const std::uint64_t version = versionNumber(servers.fleet.upstreams[it].weightsVersion);
        if (replacedFor(servers, model, version, now) < longest)
            out.candidates.push_back(it);
    }
    return out;
}

/// Chooses a server that is reading the shared part, if its first event is expected within \p
/// bearable.
std::optional<routing::Choice> chooseReader(const Servers &servers, const routing::Request &request,
                                            const Placement &placement, Duration bearable,
                                            TimePoint now)
{
    routing::Request one = request;
    for (const routing::Slot it : placement.readers) {
        if (std::find(request.candidates.begin(), request.candidates.end(), it)
            == request.candidates.end())
            continue;
        one.candidates = {it};
        auto choice = routing::choose(servers.fleet, one, now);
        if (!choice || choice->expectedFirstToken > bearable)
            continue;
        choice->reason = routing::ChoiceReason::BeingRead;
        return choice;
    }
    return std::nullopt;
}

/// Chooses a server. A large shared part goes to the first of its places, as all instances rank
/// them, or to the next ones if that is too busy.
std::optional<routing::Choice> choosePlaced(const Servers &servers, const routing::Request &request,
                                            const Placement &placement, TimePoint now)
{
    if (placement.key.empty())
        return routing::choose(servers.fleet, request, now);
    auto best = routing::choose(servers.fleet, request, now);
    if (!best)
        return best;
    const Duration bearableAtReader = best->expectedFirstToken + placement.readerPatience;
    if (auto reader = chooseReader(servers, request, placement, bearableAtReader, now))
        return reader;
    std::vector<routing::Slot> ranked = request.candidates;
    const std::uint64_t key = stableHash(placement.key);
    const auto rank = [&](routing::Slot it) {
        return routing::placementRank(servers.fleet, key, it);
    };
    const std::size_t places = std::min(mostPlaces, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(places),
                      ranked.end(), [&](routing::Slot a, routing::Slot b) {
                          return rank(a) > rank(b);
                      });
    routing::Request one = request;
    std::vector<routing::Choice> choices;
    for (std::size_t n = 0; n < places; ++n) {
        one.candidates = {ranked[n]};
        auto choice = routing::choose(servers.fleet, one, now);
        if (!choice || choice->expectedFirstToken > best->expectedFirstToken + placement.patience)
            continue;
        choice->reason = routing::ChoiceReason::Placed;
        choices.push_back(*choice);
    }
    if (choices.empty())
        return best;
    const auto soonest =
        std::min_element(choices.begin(), choices.end(), [](const auto &a, const auto &b) {
            return a.expectedFirstToken < b.expectedFirstToken;
        });
    const Duration bearable = soonest->expectedFirstToken + placement.patience;
    return *std::find_if(choices.begin(), choices.end(), [&](const routing::Choice &it) {
        return it.expectedFirstToken <= bearable;
    });
}

} // namespace

std::uint64_t versionNumber(const std::string &version)
{
    return std::stoull("0" + version);
}

std::optional<routing::Choice> chooseEngine(const Servers &servers, const routing::Request &request,
                                            const std::string &model, const Placement &placement,
                                            TimePoint now)
{
    const auto part = [&servers](double share) {
        return std::chrono::duration_cast<Duration>(servers.weightsTime * share);
    };
    const auto fresh = withWeights(servers, request, model, part(freeOldPart), now);
    const auto usable = withWeights(servers, request, model, part(lastOldPart), now);
    auto onNew = choosePlaced(servers, fresh, placement, now);
    if (fresh.candidates.size() == usable.candidates.size())
        return onNew;
    auto onAny = choosePlaced(servers, usable, placement, now);
    const bool isWorthWait =
        onNew && onAny && onNew->expectedFirstToken <= onAny->expectedFirstToken + waitForNew;
    return isWorthWait ? onNew : onAny;
}

} // namespace kumquathaven::gateway
