// Log entries that the replica holds in memory, and the configurations among them.

#include "kumquathaven/consensus/replica.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace kumquathaven::consensus {

std::uint64_t Replica::lastIndex() const
{
    return m_firstIndex + m_entries.size() - 1;
}

std::uint64_t Replica::lastTerm() const
{
    return m_entries.empty() ? m_baseTerm : m_entries.back().term;
}

const Entry *Replica::entryAt(std::uint64_t index) const
{
    if (index < m_firstIndex || index > lastIndex())
        return nullptr;
    return &m_entries[index - m_firstIndex];
}

std::optional<std::uint64_t> Replica::termAt(std::uint64_t index) const
{
    if (index + 1 == m_firstIndex)
        return m_baseTerm;
    const Entry *entry = entryAt(index);
    return entry ? std::optional(entry->term) : std::nullopt;
}

void Replica::append(Entry entry)
{
    assert(entry.index == lastIndex() + 1 && "entries are appended without gaps");
    m_entryBytes += entry.data.size();
    m_entries.push_back(std::move(entry));
    if (m_firstUnsavedIndex == 0)
        m_firstUnsavedIndex = m_entries.back().index;
    trackConfiguration(m_entries.back());
}

void Replica::truncateFrom(std::uint64_t index)
{
    assert(index > m_commitIndex && "a committed entry is never replaced");
    while (lastIndex() >= index) {
        m_entryBytes -= m_entries.back().data.size();
        m_entries.pop_back();
    }
    m_durableIndex = std::min(m_durableIndex, index - 1);
    if (m_firstUnsavedIndex >= index)
        m_firstUnsavedIndex = 0;
    while (!m_configurations.empty() && m_configurations.back().at.index >= index)
        m_configurations.pop_back();
    applyConfiguration();
}

// A configuration takes effect as soon as it is in the log, committed or not.
void Replica::trackConfiguration(const Entry &entry)
{
    if (entry.kind != EntryKind::Configuration)
        return;
    m_configurations.push_back({{entry.index, entry.term}, configurationFrom(entry.data)});
    applyConfiguration();
}

Configuration Replica::configurationFrom(const std::string &bytes)
{
    return orElse(
        [&] {
            return decodeConfiguration(bytes);
        },
        [](const Error &) {
            assert(false && "configurations are validated before they are appended");
            return Configuration();
        });
}

void Replica::applyConfiguration()
{
    m_configuration =
        m_configurations.empty() ? Configuration() : m_configurations.back().configuration;
    if (m_role == Role::Leader)
        reconcileProgress();
    else if (m_role == Role::Learner || m_role == Role::Follower)
        m_role = m_configuration.isVoter(m_self) ? Role::Follower : Role::Learner;
}

void Replica::setCommit(std::uint64_t index)
{
    const std::uint64_t until = std::min(index, lastIndex());
    while (m_commitIndex < until) {
        const Entry &entry = *entryAt(++m_commitIndex);
        m_uncommittedBytes -= std::min(m_uncommittedBytes, entry.data.size());
    }
}

void Replica::adoptSnapshot(std::uint64_t index, std::string state)
{
    if (index <= m_snapshot.index || index > m_applied)
        return;
    const auto at =
        std::find_if(m_configurations.rbegin(), m_configurations.rend(), [&](const auto &it) {
            return it.at.index <= index;
        });
    assert(at != m_configurations.rend() && "the configuration before the snapshot index is kept");
    m_snapshot.index = index;
    m_snapshot.term = *termAt(index);
    m_snapshot.configuration = encode(at->configuration);
    m_snapshot.state = std::make_shared<const std::string>(std::move(state));
    m_effects.localSnapshot = m_snapshot;
    compact(index);
}

void Replica::compact(std::uint64_t index)
{
    while (m_configurations.size() > 1 && m_configurations[1].at.index <= index)
        m_configurations.pop_front();
    std::size_t trailingBytes = 0;
    for (std::uint64_t n = m_firstIndex; n <= index; ++n)
        trailingBytes += entryAt(n)->data.size();
    while (m_firstIndex + m_settings.trailingEntries <= index
           || trailingBytes > m_settings.trailingBytes) {
        const std::size_t bytes = m_entries.front().data.size();
        trailingBytes -= bytes;
        m_entryBytes -= bytes;
        m_baseTerm = m_entries.front().term;
        m_entries.pop_front();
        ++m_firstIndex;
    }
}

bool Replica::isSnapshotDue() const
{
    const std::uint64_t base = std::max(m_snapshot.index, m_snapshotRequestIndex);
    const std::size_t stateBytes = m_snapshot.state ? m_snapshot.state->size() : 0;
    return m_applied >= base + m_settings.snapshotEntries
        || m_appliedBytes >= std::max(m_settings.snapshotBytes, stateBytes);
}

} // namespace kumquathaven::consensus
