#include "kumquathaven/limits/group.h"

#include "kumquathaven/base/hash.h"

#include <algorithm>
#include <set>

namespace kumquathaven::limits {

namespace {

struct Candidate
{
    std::uint64_t rank = 0;
    const catalogue::Instance *instance = nullptr;
};

bool ranksHigher(const Candidate &a, const Candidate &b)
{
    if (a.rank != b.rank)
        return a.rank > b.rank;
    return a.instance->name < b.instance->name;
}

/// Returns the index of the candidate with the highest rank outside the given failure domains, or
/// of any domain if there is none outside. Candidates that are already members have no instance.
std::size_t bestOutside(const std::vector<Candidate> &candidates,
                        const std::set<std::string> &domains)
{
    std::size_t best = candidates.size();
    std::size_t bestAnywhere = candidates.size();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!candidates[i].instance)
            continue;
        if (bestAnywhere == candidates.size()
            || ranksHigher(candidates[i], candidates[bestAnywhere]))
            bestAnywhere = i;
        if (domains.count(candidates[i].instance->failureDomain) != 0)
            continue;
        if (best == candidates.size() || ranksHigher(candidates[i], candidates[best]))
            best = i;
    }
    return best == candidates.size() ? bestAnywhere : best;
}

} // namespace

std::vector<GroupMember> groupMembers(const catalogue::Instances &instances,
                                      const std::string &bucket)
{
    std::vector<Candidate> candidates;
    candidates.reserve(instances.entries.size());
    for (const auto &[name, it] : instances.entries)
        candidates.push_back({rendezvousRank(bucket, name), &it});
    std::vector<GroupMember> members;
    std::set<std::string> domains;
    while (members.size() < std::min(maxGroupSize, candidates.size())) {
        Candidate &best = candidates[bestOutside(candidates, domains)];
        members.push_back({best.instance->name, best.instance->incarnation});
        domains.insert(best.instance->failureDomain);
        best.instance = nullptr;
    }
    return members;
}

} // namespace kumquathaven::limits
