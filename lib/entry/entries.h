// The answer to callers that ask which entries to use.

#ifndef KUMQUATHAVEN_LIB_ENTRY_ENTRIES_H
#define KUMQUATHAVEN_LIB_ENTRY_ENTRIES_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/catalogue/instances.h"

#include <string>
#include <vector>

namespace kumquathaven::entry {

/// Returns the serving entries, those of \p failureDomain first, each group by falling weight. If
/// none is known, returns \p self alone, so that a caller is never left without an address.
std::vector<catalogue::Instance> entriesFor(const catalogue::Instances &instances,
                                            const std::string &failureDomain,
                                            const catalogue::Instance &self);

/// Returns the JSON body of GET /v1/entries.
std::string entriesBody(const std::vector<catalogue::Instance> &entries, Duration ttl);

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_ENTRIES_H
