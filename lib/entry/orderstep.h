// Serves a request when its turn has come in the order of service.

#ifndef KUMQUATHAVEN_LIB_ENTRY_ORDERSTEP_H
#define KUMQUATHAVEN_LIB_ENTRY_ORDERSTEP_H

#include "passage.h"
#include "upstreamattempt.h"

namespace kumquathaven::entry {

/// Serves a request when its turn has come in the order of service. Returns how the last attempt
/// ended; a refusal is a failed attempt with its error.
AttemptReport serveInOrder(Passage &passage, AnswerSink &sink);

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_ORDERSTEP_H
