// Serves a request within its customer's rate and burst: reserves tokens before, settles after.

#ifndef KUMQUATHAVEN_LIB_ENTRY_SHARESTEP_H
#define KUMQUATHAVEN_LIB_ENTRY_SHARESTEP_H

#include "passage.h"
#include "upstreamattempt.h"

namespace kumquathaven::entry {

/// Serves a request within its customer's rate and burst: reserves tokens before, settles after.
/// Returns how the last attempt ended; a refusal is a failed attempt with its error.
AttemptReport serveWithinShare(Passage &passage, AnswerSink &sink);

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_SHARESTEP_H
