// Serves a repeated request from the kept answer or the running work of an earlier attempt.

#ifndef KUMQUATHAVEN_LIB_ENTRY_JOINSTEP_H
#define KUMQUATHAVEN_LIB_ENTRY_JOINSTEP_H

#include "passage.h"
#include "upstreamattempt.h"

namespace kumquathaven::entry {

/// Serves a repeated request from the kept answer or the running work of an earlier attempt.
/// Returns how the last attempt ended; a refusal is a failed attempt with its error.
AttemptReport serveJoined(Passage &passage, AnswerSink &sink);

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_JOINSTEP_H
