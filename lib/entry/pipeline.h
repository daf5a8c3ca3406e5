// The steps of one request, from its arrival to the last byte of its answer.

#ifndef KUMQUATHAVEN_LIB_ENTRY_PIPELINE_H
#define KUMQUATHAVEN_LIB_ENTRY_PIPELINE_H

#include "entrystate.h"
#include "kumquathaven/runtime/httpserver.h"

namespace kumquathaven::entry {

/// Serves one request of a caller: reads it, authenticates it, chooses upstreams, and relays the
/// answer or refuses. Runs in the thread of the caller's connection.
void serveRequest(EntryState &state, runtime::HttpExchange &exchange);

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_PIPELINE_H
