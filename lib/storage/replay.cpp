// Reads a log back: the snapshot, then the segments in order, with the rest of an interrupted
// write cut off.

#include "atomicfile.h"
#include "bytes.h"
#include "ioerror.h"
#include "kumquathaven/storage/log.h"
#include "logfiles.h"
#include "record.h"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <utility>

namespace kumquathaven::storage {

namespace {

constexpr const char *segmentPrefix = "log-";

/// Returns whether a valid mark at or after \p from says that the byte at \p offset was durable.
bool wasSynced(std::string_view content, const SegmentId &segment, std::size_t offset,
               std::size_t maxRecordBytes)
{
    std::size_t at = findRecord(content, segment, offset + 1, maxRecordBytes);
    while (at != std::string_view::npos) {
        const auto record = recordAt(content, segment, at, maxRecordBytes);
        if (record->type == RecordType::SyncMark) {
            ByteReader reader(record->payload);
            if (reader.number<std::uint64_t>() > offset)
                return true;
        }
        at = findRecord(content, segment, at + record->size, maxRecordBytes);
    }
    return false;
}

/// Adds an entry to the contents, in place of entries with the same or a larger index. Returns
/// false if entries before it are missing.
bool takeEntry(Contents &contents, Entry entry)
{
    const std::uint64_t first = contents.snapshot.index + 1;
    if (entry.index < first) {
        contents.entries.clear();
        return true;
    }
    const std::uint64_t position = entry.index - first;
    if (position > contents.entries.size())
        return false;
    contents.entries.resize(position);
    contents.entries.push_back(std::move(entry));
    return true;
}

} // namespace

std::string segmentName(std::uint64_t number)
{
    return segmentPrefix + std::to_string(number);
}

std::optional<std::uint64_t> segmentNumber(const std::string &name)
{
    const std::string prefix = segmentPrefix;
    if (name.compare(0, prefix.size(), prefix) != 0)
        return std::nullopt;
    std::uint64_t number = 0;
    const char *end = name.data() + name.size();
    const auto read = std::from_chars(name.data() + prefix.size(), end, number);
    if (read.ec != std::errc() || read.ptr != end)
        return std::nullopt;
    return number;
}

Result<void> Log::load(Contents &contents)
{
    contents = {};
    BOOST_LEAF_CHECK(discardFailedWrite());
    // Names that an earlier failure left unsynced must be durable before they are relied upon.
    const int ec = m_folder->files().syncFolder(m_path);
    BOOST_LEAF_CHECK(checkIo(ec, "storage.syncFolder", m_path));
    BOOST_LEAF_AUTO(first, loadSnapshot(contents));
    BOOST_LEAF_AUTO(numbers, findSegments(first));
    BOOST_LEAF_CHECK(dropUnfinishedSegment(numbers));
    m_segments.clear();
    for (const std::uint64_t it : numbers)
        BOOST_LEAF_CHECK(replaySegment(it, it == numbers.back(), contents));
    m_hardState = contents.hardState;
    return openLastSegment();
}

// After a failed sync the operating system may hold bytes in memory that it will never write. They
// are cut off before the file is read again.
Result<void> Log::discardFailedWrite()
{
    const FileOperations &files = m_folder->files();
    if (m_failedSegment != 0) {
        const std::string path = segmentPath(m_failedSegment);
        const int ec = files.remove(path);
        BOOST_LEAF_CHECK(checkIo(ec == ENOENT ? 0 : ec, "storage.remove", path));
        m_failedSegment = 0;
    }
    if (m_handle >= 0 && m_needsRecovery) {
        int ec = files.truncate(m_handle, m_syncedBytes);
        if (ec == 0)
            ec = files.sync(m_handle);
        BOOST_LEAF_CHECK(checkIo(ec, "storage.truncate", m_path));
    }
    closeSegment();
    return {};
}

Result<std::uint64_t> Log::loadSnapshot(Contents &contents)
{
    BOOST_LEAF_AUTO(content, readFile(m_folder->files(), m_path, snapshotName));
    if (!content)
        return firstSegmentNumber;
    ByteReader reader(*content);
    const auto identity = reader.number<std::uint64_t>();
    const auto group = reader.number<std::uint32_t>();
    const auto first = reader.number<std::uint64_t>();
    contents.snapshot.index = reader.number<std::uint64_t>();
    contents.snapshot.term = reader.number<std::uint64_t>();
    contents.snapshot.configuration = reader.string();
    if (!reader.isValid() || identity != m_folder->identity() || group != m_group)
        return failCorrupt("storage.snapshot", m_path, "the snapshot belongs to another log");
    contents.snapshot.state = std::make_shared<const std::string>(reader.rest());
    return first;
}

Result<std::vector<std::uint64_t>> Log::findSegments(std::uint64_t first)
{
    const FileOperations &files = m_folder->files();
    std::vector<std::string> names;
    BOOST_LEAF_CHECK(checkIo(files.list(m_path, names), "storage.list", m_path));
    std::vector<std::uint64_t> numbers;
    for (const std::string &it : names) {
        const auto number = segmentNumber(it);
        if (number && *number >= first)
            numbers.push_back(*number);
        else if (number)
            files.remove(m_path + "/" + it);
    }
    std::sort(numbers.begin(), numbers.end());
    for (std::size_t n = 0; n < numbers.size(); ++n) {
        if (numbers[n] != first + n)
            return failCorrupt("storage.replay", segmentPath(first + n), "the segment is missing");
    }
    if (numbers.empty())
        return failCorrupt("storage.replay", segmentPath(first), "the segment is missing");
    return numbers;
}

Result<void> Log::dropUnfinishedSegment(std::vector<std::uint64_t> &numbers)
{
    const FileOperations &files = m_folder->files();
    const SegmentId segment{m_folder->identity(), m_group, numbers.back()};
    const std::string path = segmentPath(segment.number);
    std::string content;
    BOOST_LEAF_CHECK(checkIo(files.read(path, content), "storage.read", path));
    if (recordAt(content, segment, 0, m_limits.maxRecordBytes))
        return {};
    const bool hasRecords =
        findRecord(content, segment, 0, m_limits.maxRecordBytes) != std::string::npos;
    if (hasRecords || numbers.size() == 1)
        return failCorrupt("storage.replay", path, "the start of the segment is damaged");
    BOOST_LEAF_CHECK(checkIo(files.remove(path), "storage.remove", path));
    BOOST_LEAF_CHECK(checkIo(files.syncFolder(m_path), "storage.syncFolder", m_path));
    numbers.pop_back();
    return {};
}

Result<void> Log::replaySegment(std::uint64_t number, bool isLast, Contents &contents)
{
    const SegmentId segment{m_folder->identity(), m_group, number};
    const std::string path = segmentPath(number);
    std::string content;
    BOOST_LEAF_CHECK(checkIo(m_folder->files().read(path, content), "storage.read", path));
    m_segments[number] = {};
    std::size_t at = 0;
    while (at < content.size()) {
        const auto record = recordAt(content, segment, at, m_limits.maxRecordBytes);
        if (!record)
            break;
        BOOST_LEAF_CHECK(replayRecord(number, *record, contents));
        at += record->size;
    }
    m_segments[number].bytes = at;
    if (at == content.size())
        return {};
    if (!isLast || wasSynced(content, segment, at, m_limits.maxRecordBytes)) {
        return failCorrupt("storage.replay", path,
                           "a durable record is damaged at byte " + std::to_string(at));
    }
    contents.tornBytes += content.size() - at;
    return {};
}

Result<void> Log::replayRecord(std::uint64_t number, const Record &record, Contents &contents)
{
    const std::string path = segmentPath(number);
    if (record.type == RecordType::SyncMark)
        return {};
    if (record.type == RecordType::Entry) {
        auto entry = entryFrom(record.payload);
        if (!entry)
            return failCorrupt("storage.replay", path, "an entry is malformed");
        m_segments[number].lastIndex = std::max(m_segments[number].lastIndex, entry->index);
        if (!takeEntry(contents, std::move(*entry)))
            return failCorrupt("storage.replay", path, "entries are missing before an entry");
        return {};
    }
    ByteReader reader(record.payload);
    if (record.type == RecordType::SegmentStart && reader.number<std::uint32_t>() != segmentVersion)
        return failCorrupt("storage.replay", path, "the segment has an unknown version");
    auto state = hardStateFrom(reader.rest());
    if (!state)
        return failCorrupt("storage.replay", path, "a hard state is malformed");
    contents.hardState = std::move(*state);
    return {};
}

// Everything that was read counts from now on, so that it is made durable first: the previous
// process may have ended between a write and its sync.
Result<void> Log::openLastSegment()
{
    const FileOperations &files = m_folder->files();
    const std::string path = segmentPath(m_segments.rbegin()->first);
    BOOST_LEAF_CHECK(checkIo(files.open(path, m_handle), "storage.open", path));
    int ec = files.truncate(m_handle, lastSegment().bytes);
    if (ec == 0)
        ec = files.sync(m_handle);
    if (ec != 0) {
        closeSegment();
        return checkIo(ec, "storage.truncate", path);
    }
    m_syncedBytes = lastSegment().bytes;
    m_needsRecovery = false;
    markSynced();
    return {};
}

} // namespace kumquathaven::storage
