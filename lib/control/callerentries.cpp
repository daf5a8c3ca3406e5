#include "callerentries.h"

#include "kumquathaven/base/hash.h"

#include <algorithm>

namespace kumquathaven::control {

namespace {

/// A caller is told at least this many entries if there are as many, so that the load of a domain
/// that loses most of its entries is spread, and at least minElsewhere in other domains.
constexpr std::size_t minEntries = 24;
constexpr std::size_t minElsewhere = 3;

/// Keeps the \p count entries that rank first for a key.
void keepFirst(std::vector<const catalogue::Instance *> &entries, const std::string &key,
               std::size_t count)
{
    std::sort(entries.begin(), entries.end(), [&](const auto *a, const auto *b) {
        return rendezvousRank(key, a->name) > rendezvousRank(key, b->name);
    });
    entries.resize(std::min(entries.size(), count));
}

} // namespace

std::vector<std::string> entriesForCaller(const catalogue::Instances &instances,
                                          const std::string &failureDomain,
                                          const std::string &caller)
{
    std::vector<const catalogue::Instance *> near;
    std::vector<const catalogue::Instance *> elsewhere;
    for (const auto &[name, it] : instances.entries) {
        const bool serves =
            it.state == catalogue::InstanceState::Serving && instances.hinted.count(name) == 0;
        if (serves)
            (it.failureDomain == failureDomain ? near : elsewhere).push_back(&it);
    }
    const std::string key = failureDomain + "/" + caller.substr(0, caller.rfind(':'));
    keepFirst(near, key, maxEntriesForCaller - minElsewhere);
    const std::size_t missing = minEntries - std::min(minEntries, near.size());
    keepFirst(elsewhere, key, std::max(minElsewhere, missing));
    near.insert(near.end(), elsewhere.begin(), elsewhere.end());
    std::vector<std::string> addresses;
    addresses.reserve(near.size());
    for (const catalogue::Instance *it : near)
        addresses.push_back(it->callers);
    return addresses;
}

} // namespace kumquathaven::control
