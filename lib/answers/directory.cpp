#include "kumquathaven/answers/directory.h"

#include "kumquathaven/base/hash.h"

#include <algorithm>

namespace kumquathaven::answers {

namespace {

// A customer's order is compacted when it has more than this many positions per record, plus a
// constant so that short orders are not compacted.
constexpr std::size_t maxPositionsPerRecord = 2;
constexpr std::size_t extraPositions = 16;

/// Returns whether a position is the current position of its record.
bool isCurrent(const CustomerRecords &records, const RecordPosition &position)
{
    const auto it = records.byWork.find(position.work);
    return it != records.byWork.end() && it->second.sequence == position.sequence;
}

/// Removes stale positions from the front of the order.
void dropStalePositions(CustomerRecords &records)
{
    while (!records.order.empty() && !isCurrent(records, records.order.front()))
        records.order.pop_front();
}

void compactOrder(CustomerRecords &records)
{
    if (records.order.size() <= maxPositionsPerRecord * records.byWork.size() + extraPositions)
        return;
    const auto newEnd =
        std::remove_if(records.order.begin(), records.order.end(), [&](const RecordPosition &it) {
            return !isCurrent(records, it);
        });
    records.order.erase(newEnd, records.order.end());
}

/// Removes a customer's oldest record. The customer must have at least one.
void removeOldest(Directory &directory, CustomerRecords &records)
{
    dropStalePositions(records);
    records.byWork.erase(records.order.front().work);
    records.order.pop_front();
    --directory.count;
}

void evict(Directory &directory)
{
    while (directory.count > directory.limits.maxRecords) {
        const auto largest =
            std::max_element(directory.customers.begin(), directory.customers.end(),
                             [](const auto &a, const auto &b) {
                                 return a.second.byWork.size() < b.second.byWork.size();
                             });
        removeOldest(directory, largest->second);
        if (largest->second.byWork.empty())
            directory.customers.erase(largest);
    }
}

} // namespace

std::string homeOf(const std::vector<std::string> &instances, const WorkKey &key,
                   const std::set<std::string> &excluded)
{
    const std::string rankKey = key.customer + "/" + key.work;
    std::string best;
    std::uint64_t bestRank = 0;
    for (const std::string &it : instances) {
        const std::uint64_t rank = rendezvousRank(rankKey, it);
        const bool isBetter = best.empty() || rank > bestRank || (rank == bestRank && it < best);
        if (!isBetter || excluded.count(it) != 0)
            continue;
        best = it;
        bestRank = rank;
    }
    return best;
}

std::string claim(Directory &directory, const WorkKey &key, const std::string &claimant,
                  const std::string &staleHolder, TimePoint now)
{
    CustomerRecords &records = directory.customers[key.customer];
    const auto [it, isNew] = records.byWork.try_emplace(key.work);
    HolderRecord &record = it->second;
    const bool isHeld = !isNew && record.expiresAt > now && record.holder != claimant;
    if (isHeld && record.holder != staleHolder)
        return record.holder;
    directory.count += isNew ? 1 : 0;
    record = {claimant, now + directory.limits.recordLifetime, ++directory.lastSequence};
    records.order.push_back({key.work, record.sequence});
    compactOrder(records);
    evict(directory);
    return {};
}

void expire(Directory &directory, TimePoint now)
{
    for (auto it = directory.customers.begin(); it != directory.customers.end();) {
        CustomerRecords &records = it->second;
        dropStalePositions(records);
        while (!records.order.empty()
               && records.byWork.at(records.order.front().work).expiresAt <= now) {
            removeOldest(directory, records);
            dropStalePositions(records);
        }
        it = records.byWork.empty() ? directory.customers.erase(it) : std::next(it);
    }
}

} // namespace kumquathaven::answers
