#include "kumquathaven/routing/prefixindex.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace kumquathaven::routing {

namespace {

/// Time constant of the decaying count of a block's uses.
constexpr double useWindowSeconds = 10;

} // namespace

PrefixIndex::PrefixIndex(std::size_t maxBlocks, std::size_t maxHolders)
    : m_maxBlocks(maxBlocks)
    , m_maxHolders(maxHolders)
{
    assert(maxBlocks > 0 && maxHolders > 0
           && "an index must have room for one block and one holder");
}

PrefixIndex::Entry &PrefixIndex::touch(BlockHash block)
{
    const auto known = m_entries.find(block);
    if (known != m_entries.end()) {
        m_order.splice(m_order.end(), m_order, known->second.order);
        return known->second;
    }
    if (m_entries.size() >= m_maxBlocks) {
        m_entries.erase(m_order.front());
        m_order.pop_front();
    }
    m_order.push_back(block);
    Entry entry;
    entry.order = std::prev(m_order.end());
    return m_entries.emplace(block, std::move(entry)).first->second;
}

void PrefixIndex::countUse(BlockHash block, TimePoint now)
{
    Entry &entry = touch(block);
    entry.uses = entry.uses * std::exp(-toSeconds(now - entry.usedAt) / useWindowSeconds) + 1;
    entry.usedAt = now;
}

double PrefixIndex::useRate(BlockHash block, TimePoint now) const
{
    const auto it = m_entries.find(block);
    if (it == m_entries.end())
        return 0;
    const double age = toSeconds(now - it->second.usedAt);
    return it->second.uses * std::exp(-age / useWindowSeconds) / useWindowSeconds;
}

void PrefixIndex::addHolder(BlockHash block, const BlockHolder &holder)
{
    std::vector<BlockHolder> &holders = touch(block).holders;
    const auto same = std::find_if(holders.begin(), holders.end(), [&](const BlockHolder &other) {
        return other.slot == holder.slot;
    });
    if (same != holders.end()) {
        *same = holder;
    } else if (holders.size() < m_maxHolders) {
        holders.push_back(holder);
    } else {
        *std::min_element(holders.begin(), holders.end(),
                          [](const BlockHolder &a, const BlockHolder &b) {
                              return a.seenAt < b.seenAt;
                          }) = holder;
    }
}

void PrefixIndex::removeHolder(BlockHash block, Slot slot)
{
    const auto it = m_entries.find(block);
    if (it == m_entries.end())
        return;
    std::vector<BlockHolder> &holders = it->second.holders;
    const auto newEnd =
        std::remove_if(holders.begin(), holders.end(), [&](const BlockHolder &holder) {
            return holder.slot == slot;
        });
    holders.erase(newEnd, holders.end());
}

const std::vector<BlockHolder> &PrefixIndex::holders(BlockHash block) const
{
    static const std::vector<BlockHolder> none;
    const auto it = m_entries.find(block);
    return it == m_entries.end() ? none : it->second.holders;
}

std::size_t PrefixIndex::bytes() const
{
    constexpr std::size_t linkBytes = 3 * sizeof(void *);
    std::size_t total = m_entries.bucket_count() * sizeof(void *);
    for (const auto &it : m_entries)
        total += sizeof(it) + linkBytes + sizeof(BlockHash)
            + it.second.holders.capacity() * sizeof(BlockHolder);
    return total;
}

} // namespace kumquathaven::routing
