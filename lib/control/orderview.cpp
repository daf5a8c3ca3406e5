#include "orderview.h"

#include "ordercodec.h"

#include <nlohmann/json.hpp>

#include <set>

namespace kumquathaven::control {

namespace {

using nlohmann::json;

/// The progress of an upstream toward its desired state.
enum class UpstreamProgress { AsWanted, Ordered, Waiting, Unseen, NotWanted };

constexpr std::array<EnumName<UpstreamProgress>, 5> upstreamProgressNames{{
    {UpstreamProgress::AsWanted, "asWanted"},
    {UpstreamProgress::Ordered, "ordered"},
    {UpstreamProgress::Waiting, "waiting"},
    {UpstreamProgress::Unseen, "unseen"},
    {UpstreamProgress::NotWanted, "notWanted"},
}};

std::int64_t milliseconds(Duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

json wantedJson(const routing::Desired &it)
{
    return {{"weightsVersion", it.weightsVersion},
            {"adapters", it.adapters},
            {"role", it.role},
            {"checksFencing", it.checksFencing}};
}

json seenJson(const UpstreamObservation &it, TimePoint now)
{
    return {
        {"incarnation", it.observed.incarnation}, {"weightsVersion", it.observed.weightsVersion},
        {"adapters", it.observed.adapters},       {"role", it.observed.role},
        {"loading", it.observed.loading},         {"ageMs", milliseconds(now - it.askedAt)}};
}

UpstreamProgress progressOf(const routing::Desired *wanted, const UpstreamObservation *seen,
                            bool isOpen)
{
    if (isOpen)
        return UpstreamProgress::Ordered;
    if (!wanted)
        return UpstreamProgress::NotWanted;
    if (!seen)
        return UpstreamProgress::Unseen;
    return matchesDesired(*wanted, seen->observed) ? UpstreamProgress::AsWanted
                                                   : UpstreamProgress::Waiting;
}

template <typename Value>
const Value *findIn(const std::map<std::string, Value> &map, const std::string &name)
{
    const auto it = map.find(name);
    return it == map.end() ? nullptr : &it->second;
}

std::uint32_t slotsInUse(const routing::OrderState &orders, const LocalOrderState &localState)
{
    std::uint32_t n = routing::openLoads(orders);
    for (const auto &[name, it] : localState.observations) {
        const routing::OpenOrder *open = findIn(orders.open, name);
        const bool isCounted = open && open->order.kind == routing::OrderKind::Load;
        n += it.observed.loading && !isCounted ? 1 : 0;
    }
    return n;
}

json countsJson(const OrderCounts &it)
{
    return {{"takeOvers", it.takeOvers}, {"sent", it.sent},       {"accepted", it.accepted},
            {"refused", it.refused},     {"notSent", it.notSent}, {"unanswered", it.unanswered},
            {"done", it.done},           {"failed", it.failed},   {"obsolete", it.obsolete}};
}

} // namespace

json ordersJson(const PublishedState &state, const LocalOrderState &localState, TimePoint now)
{
    const auto desired = desiredOf(*state.catalogue);
    std::set<std::string> names;
    for (const auto &it : desired)
        names.insert(it.first);
    for (const auto &it : state.orders->open)
        names.insert(it.first);
    json upstreams = json::array();
    for (const std::string &name : names) {
        const routing::Desired *wanted = findIn(desired, name);
        const UpstreamObservation *seen = findIn(localState.observations, name);
        const routing::OpenOrder *open = findIn(state.orders->open, name);
        const std::uint32_t *failures = findIn(state.orders->failures, name);
        const std::string *problem = findIn(localState.problems, name);
        upstreams.push_back(
            {{"name", name},
             {"state", nameOf(upstreamProgressNames, progressOf(wanted, seen, open != nullptr))},
             {"wanted", wanted ? wantedJson(*wanted) : json()},
             {"seen", seen ? seenJson(*seen, now) : json()},
             {"order", open ? toJson(*open) : json()},
             {"failures", failures ? *failures : 0},
             {"problem", problem ? *problem : ""}});
    }
    return {{"holder", state.orders->holder},
            {"fence", state.orders->fence},
            {"loadSlots", loadSlotsOf(*state.catalogue)},
            {"slotsInUse", slotsInUse(*state.orders, localState)},
            {"settlesInMs", milliseconds(localState.earlierOrdersExpireIn)},
            {"counts", countsJson(localState.counts)},
            {"upstreams", upstreams}};
}

} // namespace kumquathaven::control
