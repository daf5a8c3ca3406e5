// Reads catalogue files in YAML, of which JSON is a part.

#ifndef KUMQUATHAVEN_TOOLS_KUMQUATCTL_ENTRYFILE_H
#define KUMQUATHAVEN_TOOLS_KUMQUATCTL_ENTRYFILE_H

#include "kumquathaven/base/result.h"

#include <nlohmann/json.hpp>

#include <string>

namespace kumquathaven::ctl {

/// Reads a file, or standard input if the name is "-". The error names the file and, for text that
/// is not YAML, the line.
Result<nlohmann::json> readEntryFile(const std::string &file);

} // namespace kumquathaven::ctl

#endif // KUMQUATHAVEN_TOOLS_KUMQUATCTL_ENTRYFILE_H
