// Records of a log segment: each framed with its length and a checksum over its place and content.

#ifndef KUMQUATHAVEN_STORAGE_RECORD_H
#define KUMQUATHAVEN_STORAGE_RECORD_H

#include "kumquathaven/storage/log.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kumquathaven::storage {

enum class RecordType : std::uint8_t {
    /// First in a segment: format version and group.
    SegmentStart = 1,
    HardState,
    Entry,
    /// Says that all bytes of the segment before an offset are durable.
    SyncMark,
};

/// Where a segment belongs. It is part of each checksum, so that a record that was copied from
/// elsewhere, also by a payload that holds one, is not valid.
struct SegmentId
{
    std::uint64_t identity = 0;
    std::uint32_t group = 0;
    std::uint64_t number = 0;
};

/// A record as it stands in a segment.
struct Record
{
    RecordType type = RecordType::SegmentStart;
    std::string_view payload;
    /// Bytes of the record with its frame.
    std::size_t size = 0;
};

/// Bytes that a record has besides its payload.
inline constexpr std::size_t recordFrameBytes = 4 + 1 + 4 + 4;

/// Appends a record to \p out. \p base is the offset in the segment of the first byte of \p out.
void putRecord(std::string &out, const SegmentId &segment, std::size_t base, RecordType type,
               std::string_view payload);

/// Returns the record at an offset of a segment's content, or nothing if there is no valid one.
std::optional<Record> recordAt(std::string_view content, const SegmentId &segment,
                               std::size_t offset, std::size_t maxRecordBytes);

/// Returns the offset of the first byte after \p from that starts a valid record, or npos.
std::size_t findRecord(std::string_view content, const SegmentId &segment, std::size_t from,
                       std::size_t maxRecordBytes);

std::string payloadOf(const HardState &state);
std::string payloadOf(const Entry &entry);

/// Read a payload; nothing if it is malformed.
std::optional<HardState> hardStateFrom(std::string_view payload);
std::optional<Entry> entryFrom(std::string_view payload);

} // namespace kumquathaven::storage

#endif // KUMQUATHAVEN_STORAGE_RECORD_H
