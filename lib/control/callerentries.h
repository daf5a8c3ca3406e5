// Chooses the entries that a caller is told to use.

#ifndef KUMQUATHAVEN_LIB_CONTROL_CALLERENTRIES_H
#define KUMQUATHAVEN_LIB_CONTROL_CALLERENTRIES_H

#include "kumquathaven/catalogue/instances.h"

#include <cstddef>
#include <string>
#include <vector>

namespace kumquathaven::control {

/// Maximum number of entries that a caller is told.
constexpr std::size_t maxEntriesForCaller = 64;

/// Returns the caller-facing addresses of serving entries in the caller's failure domain, and of
/// some in other domains, in case its own domain is lost or has few. Entries with a hint that they
/// are leaving are left out.
///
/// Callers choose among all of these at random, so that each further entry in another domain takes
/// the same part of their requests. Different callers, as told by \p caller, are told different
/// ones, since otherwise few entries would get a part of the requests of all domains.
std::vector<std::string> entriesForCaller(const catalogue::Instances &instances,
                                          const std::string &failureDomain,
                                          const std::string &caller);

} // namespace kumquathaven::control

#endif // KUMQUATHAVEN_LIB_CONTROL_CALLERENTRIES_H
