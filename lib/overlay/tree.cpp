#include "kumquathaven/overlay/tree.h"

#include "kumquathaven/base/hash.h"

#include <algorithm>
#include <tuple>

namespace kumquathaven::overlay {

namespace {

constexpr std::uint64_t orderSeed = 0x6f76'6572'6c61'79;
/// Instances of any domain, from the root on, that the first instance of a domain tries.
constexpr std::size_t maxRootCandidates = 16;

/// Returns the instances that precede \p self, in order: all of them, or those of its domain.
std::vector<const TreeNode *> predecessors(const std::vector<TreeNode> &nodes, const TreeNode &self,
                                           bool isDomainOnly)
{
    std::vector<const TreeNode *> all;
    for (const TreeNode &it : nodes) {
        const bool isIncluded = !isDomainOnly || it.failureDomain == self.failureDomain;
        if (isIncluded && it.name != self.name && precedes(it, self))
            all.push_back(&it);
    }
    std::sort(all.begin(), all.end(), [](const TreeNode *a, const TreeNode *b) {
        return precedes(*a, *b);
    });
    return all;
}

} // namespace

bool precedes(const TreeNode &first, const TreeNode &second)
{
    const auto key = [](const TreeNode &it) {
        return std::make_tuple(-static_cast<std::int64_t>(it.weight),
                               stableHash(it.name, orderSeed), std::cref(it.name));
    };
    return key(first) < key(second);
}

std::vector<std::string> parentCandidates(const std::vector<TreeNode> &nodes, const TreeNode &self)
{
    std::vector<std::string> candidates;
    const auto add = [&candidates](const TreeNode *node) {
        if (std::find(candidates.begin(), candidates.end(), node->name) == candidates.end())
            candidates.push_back(node->name);
    };
    const auto own = predecessors(nodes, self, true);
    if (!own.empty()) {
        // The order of the domain is read as a tree in which every instance has fanOut children.
        // After the parent come the instances before it, which are not further from the root, and
        // then the others from the root on, so that all children of a lost root choose alike.
        const std::size_t parent = (own.size() - 1) / fanOut;
        for (std::size_t n = parent + 1; n > 0; --n)
            add(own[n - 1]);
        for (std::size_t n = 0; n < std::min(own.size(), maxRootCandidates); ++n)
            add(own[n]);
    }
    const auto all = predecessors(nodes, self, false);
    for (std::size_t n = 0; n < std::min(all.size(), maxRootCandidates); ++n)
        add(all[n]);
    return candidates;
}

} // namespace kumquathaven::overlay
