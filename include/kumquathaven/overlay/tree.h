// The tree over which instances exchange what they know.
//
// Every instance has at most one parent, and it exchanges messages with its parent and its children
// only, so that the number of its messages does not grow with the number of instances. There is one
// subtree for each failure domain, so that few messages cross domains, and larger instances are
// closer to the root. The design covers parents that end or stop responding, many at a time: each
// instance has an ordered list of candidates.
//
// A candidate always precedes the instance in an order that depends only on the two of them. So no
// cycle can form, even while instances know of different sets of instances.

#ifndef KUMQUATHAVEN_OVERLAY_TREE_H
#define KUMQUATHAVEN_OVERLAY_TREE_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace kumquathaven::overlay {

/// The properties of an instance that determine its position in the tree.
struct TreeNode
{
    std::string name;
    std::string failureDomain;
    /// Capacity relative to the other instances.
    std::uint32_t weight = 100;
};

/// Number of children that an instance has within its failure domain while all are in service.
constexpr std::size_t fanOut = 8;

/// Returns whether \p first is closer to the root than \p second. Heavier instances precede lighter
/// ones.
bool precedes(const TreeNode &first, const TreeNode &second);

/// Returns the names of the instances that may be the parent of \p self, the preferred one first.
/// The list is empty if \p self is the root. \p nodes need not contain \p self.
std::vector<std::string> parentCandidates(const std::vector<TreeNode> &nodes, const TreeNode &self);

} // namespace kumquathaven::overlay

#endif // KUMQUATHAVEN_OVERLAY_TREE_H
