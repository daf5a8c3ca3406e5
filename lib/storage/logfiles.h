// Names and versions of the files of a log.

#ifndef KUMQUATHAVEN_STORAGE_LOGFILES_H
#define KUMQUATHAVEN_STORAGE_LOGFILES_H

#include <cstdint>
#include <optional>
#include <string>

namespace kumquathaven::storage {

inline constexpr std::uint32_t segmentVersion = 1;
inline constexpr std::uint64_t firstSegmentNumber = 1;
inline constexpr const char *snapshotName = "snapshot";

/// Returns the name of a segment's file, for example "log-12".
std::string segmentName(std::uint64_t number);

/// Returns the number in a segment's file name, or nothing for any other file.
std::optional<std::uint64_t> segmentNumber(const std::string &name);

} // namespace kumquathaven::storage

#endif // KUMQUATHAVEN_STORAGE_LOGFILES_H
