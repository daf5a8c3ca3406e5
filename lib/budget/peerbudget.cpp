#include "kumquathaven/budget/peerbudget.h"

#include <utility>

#include <malloc.h>

namespace kumquathaven::budget {

Account::~Account()
{
    if (m_budget)
        m_budget->close(m_id);
}

Account::Account(Account &&other) noexcept
    : m_budget(std::move(other.m_budget))
    , m_id(other.m_id)
    , m_bytes(other.m_bytes)
{ }

Account &Account::operator=(Account &&other) noexcept
{
    std::swap(m_budget, other.m_budget);
    std::swap(m_id, other.m_id);
    std::swap(m_bytes, other.m_bytes);
    return *this;
}

void Account::set(std::size_t bytes, TimePoint now)
{
    if (!m_budget)
        return;
    m_bytes = bytes;
    m_budget->set(m_id, bytes, now);
}

void Account::setStage(PeerStage stage, TimePoint now)
{
    if (m_budget)
        m_budget->setStage(m_id, stage, now);
}

Account PeerBudget::open(const void *server, std::function<void()> end, TimePoint now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    Account result;
    result.m_budget = shared_from_this();
    result.m_id = ++m_lastId;
    Entry &entry = m_entries[result.m_id];
    entry.account.id = result.m_id;
    entry.account.progressAt = now;
    entry.account.since = now;
    entry.server = server;
    entry.end = std::move(end);
    return result;
}

void PeerBudget::set(std::uint64_t id, std::size_t bytes, TimePoint now)
{
    std::vector<std::function<void()>> ends;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        Entry &entry = m_entries.at(id);
        const bool hasGrown = bytes > entry.account.bytes;
        m_total += bytes - entry.account.bytes;
        entry.account.bytes = bytes;
        entry.account.progressAt = now;
        if (!hasGrown || !isOver(m_total, bytes, m_maxBytes))
            return;
        std::vector<PeerAccount> accounts;
        accounts.reserve(m_entries.size());
        for (const auto &it : m_entries) {
            // What was ended before returns its bytes soon.
            if (!it.second.isEnding)
                accounts.push_back(it.second.account);
        }
        const auto ids = peersToEnd(accounts, m_maxBytes);
        ends = takeEnds(ids);
        m_endedForMemory += ends.size();
    }
    for (const auto &it : ends)
        it();
}

std::vector<std::function<void()>> PeerBudget::takeEnds(const std::vector<std::uint64_t> &ids)
{
    std::vector<std::function<void()>> ends;
    for (const std::uint64_t it : ids) {
        Entry &entry = m_entries.at(it);
        entry.isEnding = true;
        ends.push_back(entry.end);
    }
    return ends;
}

void PeerBudget::setStage(std::uint64_t id, PeerStage stage, TimePoint now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    Entry &entry = m_entries.at(id);
    entry.isEnding = false;
    entry.account.stage = stage;
    entry.account.since = now;
}

void PeerBudget::close(std::uint64_t id)
{
    std::function<void()> end;
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_entries.find(id);
    m_total -= it->second.account.bytes;
    end = std::move(it->second.end);
    m_entries.erase(it);
}

bool PeerBudget::replaceOne(const void *server)
{
    std::vector<std::function<void()>> ends;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::vector<PeerAccount> accounts;
        for (const auto &it : m_entries) {
            if (it.second.server == server && !it.second.isEnding)
                accounts.push_back(it.second.account);
        }
        const auto id = peerToReplace(accounts);
        if (!id)
            return false;
        ends = takeEnds({*id});
        ++m_endedForConnections;
    }
    for (const auto &it : ends)
        it();
    return true;
}

void returnMemoryEarly()
{
#ifdef __GLIBC__
    constexpr int separateBytes = 128 * 1024;
    constexpr int keptBytes = 1024 * 1024;
    constexpr int arenas = 2;
    mallopt(M_MMAP_THRESHOLD, separateBytes);
    mallopt(M_TRIM_THRESHOLD, keptBytes);
    mallopt(M_ARENA_MAX, arenas);
#endif
}

} // namespace kumquathaven::budget
