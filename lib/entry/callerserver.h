// The callers' interface: finds the function for each path.

#ifndef KUMQUATHAVEN_LIB_ENTRY_CALLERSERVER_H
#define KUMQUATHAVEN_LIB_ENTRY_CALLERSERVER_H

#include "entrystate.h"
#include "kumquathaven/runtime/httpserver.h"

namespace kumquathaven::entry {

/// Answers one request of a caller.
void handleCaller(EntryState &state, runtime::HttpExchange &exchange);

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_CALLERSERVER_H
