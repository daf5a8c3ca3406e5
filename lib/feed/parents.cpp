#include "kumquathaven/feed/parents.h"

#include "kumquathaven/base/hash.h"

#include <algorithm>
#include <tuple>

namespace kumquathaven::feed {

namespace {

constexpr std::uint64_t orderSeed = 0x7265'6c61'7973;
/// Proof requests per second to control by all relayed instances together, for each instance in
/// tier 0.
constexpr double requestsPerDirectEntry = 0.25;
constexpr Duration minProofInterval = std::chrono::seconds(2);

bool isServing(const catalogue::Instance &instance)
{
    return instance.state == catalogue::InstanceState::Serving;
}

/// Returns the number of serving instances that precede \p name.
std::size_t positionOf(const catalogue::Instances &instances, const std::string &name)
{
    std::size_t position = 0;
    for (const auto &it : instances.entries) {
        if (isServing(it.second) && precedes(it.first, name))
            ++position;
    }
    return position;
}

/// The positions of one tier in the order of relays: from first, inclusive, to last, exclusive.
struct Tier
{
    std::size_t number = 0;
    std::size_t first = 0;
    std::size_t last = 0;
};

Tier tierAt(std::size_t position, const settings::FeedRelays &relays)
{
    Tier tier{0, 0, relays.directEntries};
    while (position >= tier.last) {
        const std::size_t size = (tier.last - tier.first) * relays.children;
        tier = {tier.number + 1, tier.last, tier.last + size};
    }
    return tier;
}

} // namespace

bool precedes(const std::string &first, const std::string &second)
{
    return std::make_tuple(stableHash(first, orderSeed), std::cref(first))
        < std::make_tuple(stableHash(second, orderSeed), std::cref(second));
}

std::size_t tierOf(const catalogue::Instances &instances, const std::string &name,
                   const settings::FeedRelays &relays)
{
    if (relays.children == 0)
        return 0;
    return tierAt(positionOf(instances, name), relays).number;
}

std::vector<catalogue::Instance> parentCandidates(const catalogue::Instances &instances,
                                                  const catalogue::Instance &self,
                                                  const settings::FeedRelays &relays)
{
    const std::size_t ownTier = tierOf(instances, self.name, relays);
    if (ownTier == 0)
        return {};
    std::vector<catalogue::Instance> predecessors;
    for (const auto &it : instances.entries) {
        if (isServing(it.second) && precedes(it.first, self.name))
            predecessors.push_back(it.second);
    }
    std::sort(predecessors.begin(), predecessors.end(), [](const auto &a, const auto &b) {
        return precedes(a.name, b.name);
    });
    std::vector<catalogue::Instance> parents;
    for (std::size_t n = 0; n < predecessors.size(); ++n) {
        if (tierAt(n, relays).number + 1 == ownTier)
            parents.push_back(std::move(predecessors[n]));
    }
    const auto distance = [&self](const catalogue::Instance &it) {
        if (it.failureDomain == self.failureDomain && it.region == self.region)
            return 0;
        return it.region == self.region ? 1 : 2;
    };
    std::sort(parents.begin(), parents.end(), [&](const auto &a, const auto &b) {
        const int first = distance(a);
        const int second = distance(b);
        if (first != second)
            return first < second;
        return rendezvousRank(self.name, a.name) > rendezvousRank(self.name, b.name);
    });
    return parents;
}

bool mayKeepParent(const catalogue::Instances &instances, const std::string &parent,
                   const std::string &self, const settings::FeedRelays &relays)
{
    const auto it = instances.entries.find(parent);
    if (it == instances.entries.end() || !isServing(it->second) || !precedes(parent, self))
        return false;
    return tierOf(instances, parent, relays) < tierOf(instances, self, relays);
}

Duration controlProofInterval(const catalogue::Instances &instances,
                              const settings::FeedRelays &relays)
{
    const auto serving = static_cast<std::size_t>(
        std::count_if(instances.entries.begin(), instances.entries.end(), [](const auto &it) {
            return isServing(it.second);
        }));
    const std::size_t relayed = serving - std::min<std::size_t>(serving, relays.directEntries);
    const double requestsPerSecond =
        requestsPerDirectEntry * static_cast<double>(relays.directEntries);
    return std::max(minProofInterval,
                    fromSeconds(static_cast<double>(relayed) / requestsPerSecond));
}

} // namespace kumquathaven::feed
