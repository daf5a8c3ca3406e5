#include "kumquathaven/overlay/tree.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace kumquathaven::overlay;

namespace {

std::vector<TreeNode> nodesIn(std::size_t n, std::size_t domains)
{
    std::vector<TreeNode> nodes;
    for (std::size_t i = 0; i < n; ++i)
        nodes.push_back({"e" + std::to_string(i), "z" + std::to_string(i % domains),
                         static_cast<std::uint32_t>(90 + 70 * (i % 4))});
    return nodes;
}

std::map<std::string, std::string> parentsOf(const std::vector<TreeNode> &nodes)
{
    std::map<std::string, std::string> parents;
    for (const TreeNode &it : nodes) {
        const auto candidates = parentCandidates(nodes, it);
        parents[it.name] = candidates.empty() ? std::string() : candidates.front();
    }
    return parents;
}

std::size_t depthOf(const std::map<std::string, std::string> &parents, std::string name)
{
    std::size_t depth = 0;
    while (!parents.at(name).empty()) {
        name = parents.at(name);
        ++depth;
        REQUIRE(depth <= parents.size());
    }
    return depth;
}

} // namespace

TEST_CASE("there is one root, children are bounded, and the depth grows with the logarithm")
{
    struct Row
    {
        std::size_t nodes;
        std::size_t domains;
        std::size_t maxDepth;
    };
    for (const Row &row : {Row{1, 1, 0}, Row{2, 1, 1}, Row{16, 3, 2}, Row{84, 3, 3}, Row{291, 5, 3},
                           Row{1000, 5, 4}, Row{3500, 9, 5}}) {
        CAPTURE(row.nodes);
        const auto nodes = nodesIn(row.nodes, row.domains);
        const auto parents = parentsOf(nodes);
        std::map<std::string, std::size_t> children;
        std::size_t roots = 0;
        std::size_t depth = 0;
        for (const auto &[name, parent] : parents) {
            roots += parent.empty() ? 1 : 0;
            ++children[parent];
            depth = std::max(depth, depthOf(parents, name));
        }
        CHECK(roots == 1);
        CHECK(depth <= row.maxDepth);
        for (const auto &[parent, count] : children)
            CHECK(count <= fanOut + row.domains - 1);
    }
}

TEST_CASE("few links cross failure domains, and heavier instances are closer to the root")
{
    const auto nodes = nodesIn(291, 5);
    const auto parents = parentsOf(nodes);
    std::map<std::string, TreeNode> byName;
    for (const TreeNode &it : nodes)
        byName[it.name] = it;
    std::size_t crossing = 0;
    for (const auto &[name, parent] : parents) {
        if (parent.empty())
            continue;
        crossing += byName[name].failureDomain != byName[parent].failureDomain ? 1 : 0;
        CHECK(byName[parent].weight >= byName[name].weight);
    }
    CHECK(crossing == 4);
}

TEST_CASE("all candidates precede the instance, whatever instances it knows of")
{
    const auto nodes = nodesIn(60, 3);
    for (std::size_t missing = 0; missing < nodes.size(); missing += 7) {
        auto known = nodes;
        known.erase(known.begin() + static_cast<std::ptrdiff_t>(missing));
        for (const TreeNode &self : nodes) {
            const auto candidates = parentCandidates(known, self);
            const std::set<std::string> distinct(candidates.begin(), candidates.end());
            CHECK(distinct.size() == candidates.size());
            for (const std::string &name : candidates) {
                const auto it = std::find_if(nodes.begin(), nodes.end(), [&](const TreeNode &node) {
                    return node.name == name;
                });
                CHECK(precedes(*it, self));
            }
        }
    }
}

TEST_CASE("instances that lost the root choose the same new one")
{
    const auto nodes = nodesIn(40, 2);
    const auto parents = parentsOf(nodes);
    std::string root;
    for (const auto &[name, parent] : parents) {
        if (parent.empty())
            root = name;
    }
    // Of the instances whose parent was the root, all but one find a common candidate next.
    std::map<std::string, std::size_t> second;
    std::size_t orphans = 0;
    for (const TreeNode &it : nodes) {
        const auto candidates = parentCandidates(nodes, it);
        if (candidates.empty() || candidates.front() != root)
            continue;
        ++orphans;
        if (candidates.size() > 1)
            ++second[candidates[1]];
    }
    CHECK(second.size() == 1);
    CHECK(second.begin()->second >= orphans - 1);
}
