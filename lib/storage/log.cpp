#include "kumquathaven/storage/log.h"

#include "atomicfile.h"
#include "bytes.h"
#include "ioerror.h"
#include "logfiles.h"
#include "record.h"

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <utility>

namespace kumquathaven::storage {

namespace {

std::string encodeBatch(const Batch &batch, const SegmentId &segment, std::size_t base)
{
    std::string records;
    if (batch.hardState)
        putRecord(records, segment, base, RecordType::HardState, payloadOf(*batch.hardState));
    if (!batch.entries)
        return records;
    for (const Entry &it : *batch.entries)
        putRecord(records, segment, base, RecordType::Entry, payloadOf(it));
    return records;
}

std::size_t encodedSize(const Batch &batch)
{
    constexpr std::size_t hardStateBytes = 20;
    constexpr std::size_t entryHeadBytes = 17;
    std::size_t size = 0;
    if (batch.hardState)
        size += recordFrameBytes + hardStateBytes + batch.hardState->votedFor.size();
    if (!batch.entries)
        return size;
    for (const Entry &it : *batch.entries)
        size += recordFrameBytes + entryHeadBytes + it.data.size();
    return size;
}

Result<void> checkSizes(const Batch &batch, const LogLimits &limits, const std::string &path)
{
    if (!batch.entries)
        return {};
    for (const Entry &it : *batch.entries) {
        if (it.data.size() + recordFrameBytes <= limits.maxRecordBytes - recordFrameBytes)
            continue;
        return fail({ErrorCode::TooLarge,
                     "storage.write",
                     path,
                     "the entry is larger than a record may be",
                     Outcome::NotRun,
                     {}});
    }
    return {};
}

} // namespace

Log::Log(DataFolder &folder, std::uint32_t group, const LogLimits &limits)
    : m_folder(&folder)
    , m_group(group)
    , m_limits(limits)
    , m_path(folder.groupFolder(group))
{ }

Log::Log(Log &&other) noexcept
    : m_folder(other.m_folder)
    , m_group(other.m_group)
    , m_limits(other.m_limits)
    , m_path(std::move(other.m_path))
    , m_hardState(std::move(other.m_hardState))
    , m_segments(std::move(other.m_segments))
    , m_handle(std::exchange(other.m_handle, -1))
    , m_syncedBytes(other.m_syncedBytes)
    , m_needsRecovery(other.m_needsRecovery)
    , m_failedSegment(other.m_failedSegment)
{ }

Log::~Log()
{
    closeSegment();
}

Result<Log> Log::open(DataFolder &folder, std::uint32_t group, const LogLimits &limits,
                      Contents &contents)
{
    Log log(folder, group, limits);
    if (!folder.hasGroup(group))
        BOOST_LEAF_CHECK(log.create());
    BOOST_LEAF_CHECK(log.load(contents));
    return log;
}

Result<void> Log::create()
{
    const FileOperations &files = m_folder->files();
    BOOST_LEAF_CHECK(checkIo(files.makeFolder(m_path), "storage.makeFolder", m_path));
    std::vector<std::string> names;
    BOOST_LEAF_CHECK(checkIo(files.list(m_path, names), "storage.list", m_path));
    for (const std::string &it : names)
        BOOST_LEAF_CHECK(checkIo(files.remove(m_path + "/" + it), "storage.remove", it));
    BOOST_LEAF_CHECK(startSegment(firstSegmentNumber));
    closeSegment();
    const std::string &parent = m_folder->path();
    BOOST_LEAF_CHECK(checkIo(files.syncFolder(parent), "storage.syncFolder", parent));
    return m_folder->addGroup(m_group);
}

Result<void> Log::write(const Batch &batch)
{
    if (!batch.hardState && (!batch.entries || batch.entries->empty()))
        return {};
    BOOST_LEAF_CHECK(checkSizes(batch, m_limits, m_path));
    if (m_needsRecovery) {
        Contents ignored;
        BOOST_LEAF_CHECK(load(ignored));
    }
    const std::size_t size = encodedSize(batch);
    if (lastSegment().lastIndex > 0 && lastSegment().bytes + size > m_limits.segmentBytes)
        BOOST_LEAF_CHECK(startSegment(m_segments.rbegin()->first + 1));
    const SegmentId segment{m_folder->identity(), m_group, m_segments.rbegin()->first};
    BOOST_LEAF_CHECK(appendDurably(encodeBatch(batch, segment, lastSegment().bytes)));
    if (batch.hardState)
        m_hardState = *batch.hardState;
    if (batch.entries && !batch.entries->empty())
        lastSegment().lastIndex = std::max(lastSegment().lastIndex, batch.entries->back().index);
    markSynced();
    return {};
}

Result<void> Log::appendDurably(const std::string &records)
{
    const FileOperations &files = m_folder->files();
    int ec = files.append(m_handle, records);
    if (ec == 0)
        ec = files.sync(m_handle);
    if (ec != 0)
        return failedWrite(checkIo(ec, "storage.write", m_path));
    lastSegment().bytes += records.size();
    m_syncedBytes = lastSegment().bytes;
    return {};
}

// A later replay that finds a mark behind a damaged record knows that the record was durable, so
// that it is damage and not the rest of an interrupted write. The mark itself needs no sync.
void Log::markSynced()
{
    std::string payload;
    putNumber<std::uint64_t>(payload, m_syncedBytes);
    std::string record;
    const SegmentId segment{m_folder->identity(), m_group, m_segments.rbegin()->first};
    putRecord(record, segment, lastSegment().bytes, RecordType::SyncMark, payload);
    if (m_folder->files().append(m_handle, record) != 0)
        m_needsRecovery = true;
    else
        lastSegment().bytes += record.size();
}

Result<void> Log::startSegment(std::uint64_t number)
{
    const FileOperations &files = m_folder->files();
    // A segment that is not the last one must be whole, its last mark included.
    if (m_handle >= 0) {
        const int ec = files.sync(m_handle);
        if (ec != 0)
            return failedWrite(checkIo(ec, "storage.sync", m_path));
    }
    const std::string path = segmentPath(number);
    std::string head;
    std::string payload;
    putNumber(payload, segmentVersion);
    payload += payloadOf(m_hardState);
    putRecord(head, {m_folder->identity(), m_group, number}, 0, RecordType::SegmentStart, payload);
    int handle = -1;
    int ec = files.open(path, handle);
    if (ec == 0)
        ec = files.append(handle, head);
    if (ec == 0)
        ec = files.sync(handle);
    if (ec == 0)
        ec = files.syncFolder(m_path);
    if (ec != 0) {
        if (handle >= 0)
            files.close(handle);
        m_failedSegment = number;
        return failedWrite(checkIo(ec, "storage.startSegment", path));
    }
    closeSegment();
    m_handle = handle;
    m_syncedBytes = head.size();
    m_segments[number] = {head.size(), 0};
    return {};
}

Result<void> Log::saveSnapshot(const Snapshot &snapshot)
{
    assert(snapshot.state && "a snapshot has a state");
    if (m_needsRecovery) {
        Contents ignored;
        BOOST_LEAF_CHECK(load(ignored));
    }
    if (lastSegment().lastIndex > 0)
        BOOST_LEAF_CHECK(startSegment(m_segments.rbegin()->first + 1));
    const auto needed = std::find_if(m_segments.begin(), m_segments.end(), [&](const auto &it) {
        return it.second.lastIndex > snapshot.index;
    });
    const std::uint64_t first =
        needed != m_segments.end() ? needed->first : m_segments.rbegin()->first;
    BOOST_LEAF_CHECK(storeSnapshot(snapshot, first));
    removeSegmentsBefore(first);
    return {};
}

Result<void> Log::installSnapshot(const Snapshot &snapshot)
{
    assert(snapshot.state && "a snapshot has a state");
    if (m_needsRecovery) {
        Contents ignored;
        BOOST_LEAF_CHECK(load(ignored));
    }
    const std::uint64_t first = m_segments.rbegin()->first + 1;
    BOOST_LEAF_CHECK(startSegment(first));
    BOOST_LEAF_CHECK(storeSnapshot(snapshot, first));
    removeSegmentsBefore(first);
    return {};
}

Result<void> Log::storeSnapshot(const Snapshot &snapshot, std::uint64_t firstSegment)
{
    std::string content;
    putNumber(content, m_folder->identity());
    putNumber(content, m_group);
    putNumber(content, firstSegment);
    putNumber(content, snapshot.index);
    putNumber(content, snapshot.term);
    putString(content, snapshot.configuration);
    content += *snapshot.state;
    auto stored = replaceFile(m_folder->files(), m_path, snapshotName, content);
    if (!stored)
        return failedWrite(std::move(stored));
    return stored;
}

Result<void> Log::failedWrite(Result<void> failure)
{
    m_needsRecovery = true;
    return failure;
}

// What can't be removed now is removed by the next load, since the snapshot names the first
// segment that counts.
void Log::removeSegmentsBefore(std::uint64_t number)
{
    while (m_segments.begin()->first < number) {
        m_folder->files().remove(segmentPath(m_segments.begin()->first));
        m_segments.erase(m_segments.begin());
    }
}

Result<void> Log::reload(Contents &contents)
{
    return load(contents);
}

std::size_t Log::bytes() const
{
    std::size_t sum = 0;
    for (const auto &it : m_segments)
        sum += it.second.bytes;
    return sum;
}

void Log::closeSegment()
{
    if (m_handle >= 0)
        m_folder->files().close(m_handle);
    m_handle = -1;
}

std::string Log::segmentPath(std::uint64_t number) const
{
    return m_path + "/" + segmentName(number);
}

} // namespace kumquathaven::storage
