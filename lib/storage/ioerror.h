// Turns errno values of the file operations into errors.

#ifndef KUMQUATHAVEN_STORAGE_IOERROR_H
#define KUMQUATHAVEN_STORAGE_IOERROR_H

#include "kumquathaven/base/result.h"

#include <string>

namespace kumquathaven::storage {

/// Returns success if \p code is 0, else a failure with the code Storage. \p step names the
/// operation and \p path the file.
Result<void> checkIo(int code, const char *step, const std::string &path);

/// Makes a failure with the code Corrupt about a file.
boost::leaf::error_id failCorrupt(const char *step, const std::string &path, std::string message);

} // namespace kumquathaven::storage

#endif // KUMQUATHAVEN_STORAGE_IOERROR_H
