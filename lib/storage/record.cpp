#include "record.h"

#include "bytes.h"
#include "kumquathaven/base/hash.h"

namespace kumquathaven::storage {

namespace {

constexpr std::uint32_t recordMagic = 0x4b48524cU;
constexpr std::string_view recordMagicBytes = "LRHK";

/// Returns the checksum of a record: CRC-32C of its place, then of its content.
std::uint32_t checksum(const SegmentId &segment, std::size_t offset, RecordType type,
                       std::string_view payload)
{
    std::string place;
    putNumber(place, segment.identity);
    putNumber(place, segment.group);
    putNumber(place, segment.number);
    putNumber<std::uint64_t>(place, offset);
    putNumber(place, static_cast<std::uint8_t>(type));
    putNumber<std::uint64_t>(place, payload.size());
    putNumber(place, crc32c(payload));
    return crc32c(place);
}

bool isKnown(std::uint8_t type)
{
    return type >= static_cast<std::uint8_t>(RecordType::SegmentStart)
        && type <= static_cast<std::uint8_t>(RecordType::SyncMark);
}

} // namespace

void putRecord(std::string &out, const SegmentId &segment, std::size_t base, RecordType type,
               std::string_view payload)
{
    const std::uint32_t sum = checksum(segment, base + out.size(), type, payload);
    putNumber(out, recordMagic);
    putNumber(out, static_cast<std::uint8_t>(type));
    putNumber(out, static_cast<std::uint32_t>(payload.size()));
    putNumber(out, sum);
    out.append(payload);
}

std::optional<Record> recordAt(std::string_view content, const SegmentId &segment,
                               std::size_t offset, std::size_t maxRecordBytes)
{
    ByteReader reader(content.substr(offset));
    if (reader.number<std::uint32_t>() != recordMagic)
        return std::nullopt;
    const auto type = reader.number<std::uint8_t>();
    const auto size = reader.number<std::uint32_t>();
    const auto sum = reader.number<std::uint32_t>();
    if (!isKnown(type) || size > maxRecordBytes)
        return std::nullopt;
    Record record;
    record.type = static_cast<RecordType>(type);
    record.payload = reader.take(size);
    record.size = recordFrameBytes + size;
    if (!reader.isValid() || checksum(segment, offset, record.type, record.payload) != sum)
        return std::nullopt;
    return record;
}

std::size_t findRecord(std::string_view content, const SegmentId &segment, std::size_t from,
                       std::size_t maxRecordBytes)
{
    std::size_t at = content.find(recordMagicBytes, from);
    while (at != std::string_view::npos) {
        if (recordAt(content, segment, at, maxRecordBytes))
            return at;
        at = content.find(recordMagicBytes, at + 1);
    }
    return at;
}

std::string payloadOf(const HardState &state)
{
    std::string out;
    putNumber(out, state.term);
    putNumber(out, state.votedForIdentity);
    putString(out, state.votedFor);
    return out;
}

std::string payloadOf(const Entry &entry)
{
    std::string out;
    out.reserve(entry.data.size() + 17);
    putNumber(out, entry.index);
    putNumber(out, entry.term);
    putNumber(out, static_cast<std::uint8_t>(entry.kind));
    out.append(entry.data);
    return out;
}

std::optional<HardState> hardStateFrom(std::string_view payload)
{
    ByteReader reader(payload);
    HardState state;
    state.term = reader.number<std::uint64_t>();
    state.votedForIdentity = reader.number<std::uint64_t>();
    state.votedFor = reader.string();
    if (!reader.isComplete())
        return std::nullopt;
    return state;
}

std::optional<Entry> entryFrom(std::string_view payload)
{
    ByteReader reader(payload);
    Entry entry;
    entry.index = reader.number<std::uint64_t>();
    entry.term = reader.number<std::uint64_t>();
    const auto kind = reader.number<std::uint8_t>();
    if (!reader.isValid() || kind > static_cast<std::uint8_t>(EntryKind::Configuration))
        return std::nullopt;
    entry.kind = static_cast<EntryKind>(kind);
    entry.data = reader.rest();
    return entry;
}

} // namespace kumquathaven::storage
