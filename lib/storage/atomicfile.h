// Small files that are replaced whole: a crash leaves either the old content or the new one.

#ifndef KUMQUATHAVEN_STORAGE_ATOMICFILE_H
#define KUMQUATHAVEN_STORAGE_ATOMICFILE_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/storage/fileoperations.h"

#include <optional>
#include <string>
#include <string_view>

namespace kumquathaven::storage {

/// Replaces folder/name by a file with \p content and a checksum, and makes it durable.
Result<void> replaceFile(const FileOperations &files, const std::string &folder,
                         const std::string &name, std::string_view content);

/// Reads folder/name. Nothing if there is no such file, Corrupt if the checksum doesn't fit.
Result<std::optional<std::string>> readFile(const FileOperations &files, const std::string &folder,
                                            const std::string &name);

} // namespace kumquathaven::storage

#endif // KUMQUATHAVEN_STORAGE_ATOMICFILE_H
