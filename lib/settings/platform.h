// Reads what a process that runs on a platform is told by it.

#ifndef KUMQUATHAVEN_LIB_SETTINGS_PLATFORM_H
#define KUMQUATHAVEN_LIB_SETTINGS_PLATFORM_H

#include "kumquathaven/settings/settings.h"
#include "reader.h"

#include <optional>

namespace kumquathaven::settings {

/// Reads the mapping "platform" of the whole file; nothing if it is not there.
std::optional<Platform> readPlatform(MapReader &top, Role role, Problems &problems);

} // namespace kumquathaven::settings

#endif // KUMQUATHAVEN_LIB_SETTINGS_PLATFORM_H
