// Which upstreams are believed to hold which blocks. Bounded; the least recently renewed go first.

#ifndef KUMQUATHAVEN_ROUTING_PREFIXINDEX_H
#define KUMQUATHAVEN_ROUTING_PREFIXINDEX_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/routing/prefix.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace kumquathaven::routing {

/// One upstream's place in the tables of a Fleet.
using Slot = std::uint32_t;

/// Why and since when an upstream is believed to hold a block. Worth nothing unless the upstream
/// still has the same life.
struct BlockHolder
{
    Slot slot = 0;
    /// Counts the incarnations that were seen in the slot.
    std::uint32_t generation = 0;
    /// Counts the uninterrupted runs of the upstream's event stream.
    std::uint32_t streamRun = 0;
    /// Whether an event said so; otherwise the block was sent there and not yet reported.
    bool confirmed = false;
    TimePoint seenAt{};
};

/// Beliefs by block.
class PrefixIndex
{
public:
    /// Holds at most \p maxBlocks blocks with at most \p maxHolders upstreams each.
    PrefixIndex(std::size_t maxBlocks, std::size_t maxHolders);

    /// Adds a belief, or renews the one about the same slot.
    void addHolder(BlockHash block, const BlockHolder &belief);

    /// Drops the belief about one slot.
    void removeHolder(BlockHash block, Slot slot);

    /// Counts a request whose prompt has the block.
    void countUse(BlockHash block, TimePoint now);

    /// Returns how many requests a second have had the block lately.
    double useRate(BlockHash block, TimePoint now) const;

    /// Returns the beliefs about a block, in no order; empty if there are none.
    const std::vector<BlockHolder> &holders(BlockHash block) const;

    std::size_t size() const { return m_entries.size(); }

    /// Returns the memory in use, in bytes, as the sizes of the elements say.
    std::size_t bytes() const;

private:
    struct Entry;

    /// Returns the entry of a block, new if need be, as the most recently renewed one.
    Entry &touch(BlockHash block);

    struct Entry
    {
        std::vector<BlockHolder> holders;
        double uses = 0;
        TimePoint usedAt{};
        std::list<BlockHash>::iterator order;
    };

    std::size_t m_maxBlocks;
    std::size_t m_maxHolders;
    std::unordered_map<BlockHash, Entry> m_entries;
    /// Least recently renewed first.
    std::list<BlockHash> m_order;
};

} // namespace kumquathaven::routing

#endif // KUMQUATHAVEN_ROUTING_PREFIXINDEX_H
