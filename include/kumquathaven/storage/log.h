// The durable log of one group: segments of checksummed records, and the newest snapshot.

#ifndef KUMQUATHAVEN_STORAGE_LOG_H
#define KUMQUATHAVEN_STORAGE_LOG_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/storage/datafolder.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace kumquathaven::storage {

/// What a member must remember about elections.
struct HardState
{
    std::uint64_t term = 0;
    /// Whom the member voted for in the term; empty and zero if it has not voted.
    std::string votedFor;
    std::uint64_t votedForIdentity = 0;
};

/// What an entry of the log holds.
enum class EntryKind : std::uint8_t {
    /// Opens a leader's term.
    Noop,
    /// A change of the state machine, as proposed.
    Change,
    /// A configuration of the group's members.
    Configuration,
};

/// One entry of the log.
struct Entry
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    EntryKind kind = EntryKind::Noop;
    std::string data;
};

/// The state after all entries up to an index.
struct Snapshot
{
    /// Zero: there is no snapshot.
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    /// The encoded configuration of the members at the index.
    std::string configuration;
    /// The state machine's own encoding. Null only if there is no snapshot.
    std::shared_ptr<const std::string> state;
};

/// What a log held when it was opened.
struct Contents
{
    HardState hardState;
    Snapshot snapshot;
    /// Consecutive entries from snapshot.index + 1.
    std::vector<Entry> entries;
    /// Bytes of a write that was under way at the last crash and were cut off.
    std::size_t tornBytes = 0;
};

/// One write: all of it becomes durable, or after a crash none, or only a prefix of its entries.
struct Batch
{
    /// Null: the hard state stays as it is.
    const HardState *hardState = nullptr;
    /// Consecutive. The first may have an index that the log holds already: that entry and all
    /// later ones are replaced.
    const std::vector<Entry> *entries = nullptr;
};

struct Record;

/// Bounds of a log's files.
struct LogLimits
{
    std::size_t segmentBytes = std::size_t{4} * 1024 * 1024;
    std::size_t maxRecordBytes = std::size_t{16} * 1024 * 1024;
};

/// The open log of one group. The data folder must outlive it.
class Log
{
public:
    /// Opens the group's log, creates it if the group is new, and puts what it holds into
    /// \p contents. The rest of an interrupted write is cut off. Corrupt means that acknowledged
    /// records are damaged or missing: the member must rejoin with an empty folder.
    static Result<Log> open(DataFolder &folder, std::uint32_t group, const LogLimits &limits,
                            Contents &contents);

    Log(Log &&other) noexcept;
    Log &operator=(Log &&other) = delete;
    Log(const Log &) = delete;
    Log &operator=(const Log &) = delete;
    ~Log();

    /// Writes a batch and makes it durable. After an error nothing of the batch counts, and the log
    /// goes on from the last durable batch once the operations work again.
    Result<void> write(const Batch &batch);

    /// Stores a snapshot taken from entries that the log holds, then removes the segments that
    /// hold no later entry.
    Result<void> saveSnapshot(const Snapshot &snapshot);

    /// Stores a snapshot received from the leader in place of all entries.
    Result<void> installSnapshot(const Snapshot &snapshot);

    /// Reads again what is durable.
    Result<void> reload(Contents &contents);

    /// Size of all segments.
    std::size_t bytes() const;

private:
    struct Segment
    {
        std::size_t bytes = 0;
        /// The largest index of an entry in the segment; zero if there is none.
        std::uint64_t lastIndex = 0;
    };

    Log(DataFolder &folder, std::uint32_t group, const LogLimits &limits);

    // log.cpp
    Result<void> create();
    Result<void> startSegment(std::uint64_t number);
    Result<void> appendDurably(const std::string &records);
    void markSynced();
    Result<void> storeSnapshot(const Snapshot &snapshot, std::uint64_t firstSegment);
    Result<void> failedWrite(Result<void> failure);
    void removeSegmentsBefore(std::uint64_t number);
    void closeSegment();
    std::string segmentPath(std::uint64_t number) const;
    Segment &lastSegment() { return m_segments.rbegin()->second; }

    // replay.cpp
    Result<void> load(Contents &contents);
    Result<void> discardFailedWrite();
    Result<std::uint64_t> loadSnapshot(Contents &contents);
    Result<std::vector<std::uint64_t>> findSegments(std::uint64_t first);
    Result<void> dropUnfinishedSegment(std::vector<std::uint64_t> &numbers);
    Result<void> replaySegment(std::uint64_t number, bool isLast, Contents &contents);
    Result<void> replayRecord(std::uint64_t number, const Record &record, Contents &contents);
    Result<void> openLastSegment();

    DataFolder *m_folder;
    std::uint32_t m_group;
    LogLimits m_limits;
    std::string m_path;
    HardState m_hardState;
    /// By segment number, without gaps. The last one is open for appending.
    std::map<std::uint64_t, Segment> m_segments;
    int m_handle = -1;
    /// Length of the open segment's durable part.
    std::size_t m_syncedBytes = 0;
    /// Whether the files may hold the rest of a failed write.
    bool m_needsRecovery = false;
    /// Number of a segment whose creation failed; zero if there is none.
    std::uint64_t m_failedSegment = 0;
};

} // namespace kumquathaven::storage

#endif // KUMQUATHAVEN_STORAGE_LOG_H
