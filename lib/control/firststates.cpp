#include "firststates.h"

#include "kumquathaven/base/hash.h"

#include <algorithm>
#include <utility>

namespace kumquathaven::control {

namespace {

constexpr double maxStates = 8;
constexpr double statesPerSecond = 8;
constexpr std::size_t maxRelays = 3;

} // namespace

bool takeState(StateBudget &budget, TimePoint now)
{
    const double earned = statesPerSecond * std::max(0.0, toSeconds(now - budget.updatedAt));
    budget.available = std::min(maxStates, budget.available + earned);
    budget.updatedAt = std::max(budget.updatedAt, now);
    if (budget.available < 1)
        return false;
    budget.available -= 1;
    return true;
}

std::vector<feed::RelayAddress> firstRelaysFor(const catalogue::Instances &instances,
                                               const std::string &asker)
{
    std::vector<std::pair<std::uint64_t, const catalogue::Instance *>> ranked;
    for (const auto &it : instances.entries) {
        if (it.second.state == catalogue::InstanceState::Serving && it.first != asker)
            ranked.emplace_back(rendezvousRank(asker, it.first), &it.second);
    }
    const std::size_t count = std::min(maxRelays, ranked.size());
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(ranked.begin(), end, ranked.end(), [](const auto &a, const auto &b) {
        return a.first > b.first;
    });
    std::vector<feed::RelayAddress> relays;
    std::transform(ranked.begin(), end, std::back_inserter(relays), [](const auto &it) {
        return feed::RelayAddress{it.second->name, it.second->link};
    });
    return relays;
}

} // namespace kumquathaven::control
