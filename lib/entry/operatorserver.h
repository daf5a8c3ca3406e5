// The operators' interface of an entry instance.

#ifndef KUMQUATHAVEN_LIB_ENTRY_OPERATORSERVER_H
#define KUMQUATHAVEN_LIB_ENTRY_OPERATORSERVER_H

#include "entrystate.h"
#include "kumquathaven/runtime/httpserver.h"

namespace kumquathaven::entry {

/// Answers /healthz, /readyz, /metrics, /v1/status and POST /v1/drain.
void handleOperator(EntryState &state, runtime::HttpExchange &exchange);

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_OPERATORSERVER_H
