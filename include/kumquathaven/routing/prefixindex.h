// Indexes which upstreams are estimated to cache which blocks. The index is bounded and drops the
// least recently used blocks first.

#ifndef KUMQUATHAVEN_ROUTING_PREFIXINDEX_H
#define KUMQUATHAVEN_ROUTING_PREFIXINDEX_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/routing/prefix.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace kumquathaven::routing {

/// Index of an upstream in the tables of a Fleet.
using Slot = std::uint32_t;

/// An upstream that is estimated to cache a block, and the evidence for it. It is valid only while
/// the upstream has the same generation.
struct BlockHolder
{
    Slot slot = 0;
    /// Counts the incarnations that were seen in the slot.
    std::uint32_t generation = 0;
    /// Counts the gap-free runs of the upstream's event stream.
    std::uint32_t streamRun = 0;
    /// Whether an event reported the block as stored; otherwise the block was only sent there.
    bool confirmed = false;
    /// When the evidence was recorded. For a block that was only sent, the time at which its first
    /// token was expected.
    TimePoint seenAt{};
};

/// A bounded index of the holders of each block, with the rate at which requests use the block.
class PrefixIndex
{
public:
    /// Holds at most \p maxBlocks blocks with at most \p maxHolders upstreams each.
    PrefixIndex(std::size_t maxBlocks, std::size_t maxHolders);

    /// Adds a holder of a block, or replaces the one with the same slot. If the block has the
    /// maximum number of holders, the one with the earliest seenAt is replaced.
    void addHolder(BlockHash block, const BlockHolder &holder);

    /// Removes the holder of a block that has the given slot, if there is one.
    void removeHolder(BlockHash block, Slot slot);

    /// Counts a request whose prompt contains the block.
    void countUse(BlockHash block, TimePoint now);

    /// Returns the recent rate of requests whose prompt contains the block, per second.
    double useRate(BlockHash block, TimePoint now) const;

    /// Returns the holders of a block in no particular order; empty if there are none.
    const std::vector<BlockHolder> &holders(BlockHash block) const;

    std::size_t size() const { return m_entries.size(); }

    /// Returns the memory in use, in bytes, estimated from the sizes of the elements.
    std::size_t bytes() const;

private:
    struct Entry;

    /// Returns the entry of a block, which is created if needed, and marks it as the most recently
    /// used one.
    Entry &touch(BlockHash block);

    struct Entry
    {
        std::vector<BlockHolder> holders;
        /// Exponentially decaying count of uses, valid for the time usedAt.
        double uses = 0;
        TimePoint usedAt{};
        /// Position in m_order.
        std::list<BlockHash>::iterator order;
    };

    std::size_t m_maxBlocks;
    std::size_t m_maxHolders;
    std::unordered_map<BlockHash, Entry> m_entries;
    /// Blocks in the order of their last use, the least recent first.
    std::list<BlockHash> m_order;
};

} // namespace kumquathaven::routing

#endif // KUMQUATHAVEN_ROUTING_PREFIXINDEX_H
