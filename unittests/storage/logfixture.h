// A log over files in memory, with a model of what it must hold.

#ifndef KUMQUATHAVEN_UNITTESTS_STORAGE_LOGFIXTURE_H
#define KUMQUATHAVEN_UNITTESTS_STORAGE_LOGFIXTURE_H

#include "common/codeof.h"
#include "kumquathaven/storage/datafolder.h"
#include "kumquathaven/storage/log.h"
#include "memoryfiles.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace kumquathaven::storage {

inline constexpr LogLimits smallLimits{600, 400};

using testing::codeOf;

/// Everything a log holds, in a form that tests compare.
struct LogModel
{
    std::uint64_t term = 0;
    std::string votedFor;
    std::uint64_t snapshotIndex = 0;
    std::string state;
    /// "index/term/data" of the entries after the snapshot.
    std::vector<std::string> entries;

    friend bool operator==(const LogModel &a, const LogModel &b)
    {
        return a.term == b.term && a.votedFor == b.votedFor && a.snapshotIndex == b.snapshotIndex
            && a.state == b.state && a.entries == b.entries;
    }

    std::uint64_t lastIndex() const { return snapshotIndex + entries.size(); }
};

inline std::string textOf(const Entry &entry)
{
    return std::to_string(entry.index) + "/" + std::to_string(entry.term) + "/" + entry.data;
}

inline LogModel modelOf(const Contents &contents)
{
    LogModel model;
    model.term = contents.hardState.term;
    model.votedFor = contents.hardState.votedFor;
    model.snapshotIndex = contents.snapshot.index;
    if (contents.snapshot.state)
        model.state = *contents.snapshot.state;
    for (const Entry &it : contents.entries)
        model.entries.push_back(textOf(it));
    return model;
}

/// A data folder in memory with the log of group 0 open.
class LogFixture
{
public:
    static constexpr std::uint64_t identity = 77;

    /// Opens or opens again. Returns the error's code if that fails.
    std::optional<ErrorCode> open()
    {
        close();
        return codeOf([this]() -> Result<void> {
            BOOST_LEAF_AUTO(opened, DataFolder::open(m_files.operations(), "/data", identity));
            m_folder.emplace(std::move(opened));
            BOOST_LEAF_AUTO(log, Log::open(*m_folder, 0, smallLimits, m_contents));
            m_log.emplace(std::move(log));
            return {};
        });
    }

    void close()
    {
        m_log.reset();
        m_folder.reset();
    }

    Log &log() { return *m_log; }
    MemoryFiles &files() { return m_files; }
    LogModel found() const { return modelOf(m_contents); }
    const Contents &contents() const { return m_contents; }

private:
    MemoryFiles m_files;
    std::optional<DataFolder> m_folder;
    std::optional<Log> m_log;
    Contents m_contents;
};

/// A random sequence of writes and snapshots on a log, with the model of what was acknowledged.
class LogWorkload
{
public:
    explicit LogWorkload(std::uint64_t seed)
        : m_random(seed)
    { }

    /// Does one step. On success the model is what the log holds durably, on failure the model is
    /// as before and attempted() is what the step would have led to.
    std::optional<ErrorCode> step(Log &log)
    {
        m_attempted = acknowledged;
        const std::uint64_t kind = m_random.below(10);
        const auto ec = kind < 8 ? writeBatch(log) : takeSnapshot(log, kind == 9);
        if (!ec)
            acknowledged = m_attempted;
        return ec;
    }

    const LogModel &attempted() const { return m_attempted; }
    Random &random() { return m_random; }

    LogModel acknowledged;

private:
    std::optional<ErrorCode> writeBatch(Log &log)
    {
        HardState state;
        Batch batch;
        if (m_random.below(4) == 0) {
            state.term = m_attempted.term + 1;
            state.votedFor = m_random.below(2) == 0 ? "caerdydd-1" : "";
            m_attempted.term = state.term;
            m_attempted.votedFor = state.votedFor;
            batch.hardState = &state;
        }
        const std::uint64_t replaced = m_random.below(4) == 0 ? m_random.below(4) : 0;
        const std::uint64_t kept = m_attempted.entries.size()
            - std::min<std::uint64_t>(replaced, m_attempted.entries.size());
        std::vector<Entry> entries;
        const std::uint64_t count = m_random.below(4);
        if (count > 0)
            m_attempted.entries.resize(kept);
        for (std::uint64_t n = 0; n < count; ++n) {
            entries.push_back({m_attempted.lastIndex() + 1, m_attempted.term, EntryKind::Change,
                               std::string(m_random.below(60), static_cast<char>('a' + n))});
            m_attempted.entries.push_back(textOf(entries.back()));
        }
        batch.entries = &entries;
        return codeOf([&] {
            return log.write(batch);
        });
    }

    std::optional<ErrorCode> takeSnapshot(Log &log, bool isInstalled)
    {
        Snapshot snapshot;
        const std::uint64_t first = m_attempted.snapshotIndex;
        snapshot.index = isInstalled ? m_attempted.lastIndex() + 5
                                     : first + m_random.below(m_attempted.entries.size() + 1);
        if (snapshot.index == first)
            return std::nullopt;
        snapshot.state =
            std::make_shared<const std::string>("state " + std::to_string(snapshot.index));
        auto &entries = m_attempted.entries;
        entries.erase(entries.begin(),
                      isInstalled
                          ? entries.end()
                          : entries.begin() + static_cast<std::ptrdiff_t>(snapshot.index - first));
        m_attempted.snapshotIndex = snapshot.index;
        m_attempted.state = *snapshot.state;
        return codeOf([&] {
            return isInstalled ? log.installSnapshot(snapshot) : log.saveSnapshot(snapshot);
        });
    }

    Random m_random;
    LogModel m_attempted;
};

} // namespace kumquathaven::storage

#endif // KUMQUATHAVEN_UNITTESTS_STORAGE_LOGFIXTURE_H
