// Fault injection of a simulated cluster: processes, disks, the network, and leadership transfers.

#include "cluster.h"

#include <algorithm>
#include <cerrno>

namespace kumquathaven::consensus {

void Cluster::injectFault()
{
    Node &node = randomNode();
    switch (m_random.below(10)) {
    case 0:
        cutPower(node);
        break;
    case 1:
        if (node.isUp()) {
            ++m_coverage.kills;
            node.files.killProcess();
            stop(node, 1 + m_random.below(chance(500) ? 3 : 30));
        }
        break;
    case 2:
        if (canTolerateDiskLoss())
            loseDisk(node);
        break;
    case 3:
    case 4:
        freeze(node);
        break;
    case 5:
    case 6:
        partitionNetwork();
        break;
    case 7:
        if (node.isUp() && chance(500)) {
            node.files.failOnce(1 + m_random.below(6), EIO);
        } else if (node.isUp()) {
            node.files.setCapacity(1);
            node.diskFullFor = 1 + m_random.below(40);
        }
        break;
    case 8:
        for (const auto &it : m_nodes) {
            if (!it->isLeader() || !it->isRunning())
                continue;
            transfer(*it, node);
        }
        break;
    default:
        m_memberToRemove = m_memberToRemove.empty() && canTolerateDiskLoss() ? node.name : "";
        break;
    }
}

// Half of the former leaders freeze before they learn of the election, and resume while their lease
// would still be valid.
void Cluster::transfer(Node &leader, const Node &target)
{
    const bool isAsked = orElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(leader.group->transferLeadership(target.id(), timeAt(leader)));
            return true;
        },
        [](const Error &) {
            return false;
        });
    m_coverage.transfers += isAsked ? 1 : 0;
    advance(leader);
    if (isAsked && chance(500))
        leader.frozenFor = 3 + m_random.below(10);
}

void Cluster::stop(Node &node, std::uint64_t steps)
{
    node.group.reset();
    node.folder.reset();
    node.frozenFor = 0;
    node.diskFullFor = 0;
    node.files.setCapacity(0);
    node.downFor = steps;
}

// Half of the power cuts occur between two file operations of a write.
void Cluster::cutPower(Node &node)
{
    if (!node.isUp())
        return;
    ++m_coverage.powerCuts;
    if (chance(500) && node.isRunning()) {
        node.files.failFrom(1 + m_random.below(4), EIO);
        callOperation(node);
        advance(node);
    }
    const auto unsynced = static_cast<storage::MemoryFiles::Unsynced>(m_random.below(3));
    node.files.cutPower(unsynced, m_random);
    stop(node, 1 + m_random.below(40));
}

void Cluster::loseDisk(Node &node)
{
    ++m_coverage.lostDisks;
    // While one voter is permanently lost, the removal of a working one could leave the group
    // without a majority. Operators replace the lost voter first.
    m_memberToRemove.clear();
    node.files.loseDisk();
    node.identity = m_nextIdentity++;
    stop(node, 1 + m_random.below(20));
}

// The group tolerates the loss of one disk at a time. The next one may be lost once the last repair
// is committed and no voter is being removed, in the configuration of every member.
bool Cluster::canTolerateDiskLoss() const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(), [this](const auto &owner) {
        return owner->isUp() && std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto &it) {
                   return m_committed.isVoter(it->id())
                       && owner->group->replica().configuration().isVoter(it->id());
               });
    });
}

void Cluster::freeze(Node &node)
{
    ++m_coverage.freezes;
    node.frozenFor = 5 + m_random.below(60);
}

void Cluster::partitionNetwork()
{
    ++m_coverage.networkPartitions;
    m_blockedLinks.clear();
    if (chance(300))
        return;
    if (chance(400)) {
        // Blocks one link only: a member that can't reach the leader still reaches the others.
        const std::string &a = randomNode().name;
        const std::string &b = randomNode().name;
        m_blockedLinks = {{a, b}, {b, a}};
        return;
    }
    const std::uint64_t side = 1 + m_random.below((1U << m_nodes.size()) - 2);
    const bool isOneWay = chance(300);
    for (std::size_t a = 0; a < m_nodes.size(); ++a) {
        for (std::size_t b = 0; b < m_nodes.size(); ++b) {
            const bool aInside = ((side >> a) & 1U) != 0;
            const bool bInside = ((side >> b) & 1U) != 0;
            if (aInside != bInside && (aInside || !isOneWay))
                m_blockedLinks.insert({m_nodes[a]->name, m_nodes[b]->name});
        }
    }
}

} // namespace kumquathaven::consensus
