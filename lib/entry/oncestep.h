// Serves a request that may run at most once under its idempotency key.

#ifndef KUMQUATHAVEN_LIB_ENTRY_ONCESTEP_H
#define KUMQUATHAVEN_LIB_ENTRY_ONCESTEP_H

#include "passage.h"
#include "upstreamattempt.h"

namespace kumquathaven::entry {

/// Serves a request that may run at most once under its idempotency key. Returns how the last
/// attempt ended; a refusal is a failed attempt with its error.
AttemptReport serveOnce(Passage &passage, AnswerSink &sink);

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_ONCESTEP_H
