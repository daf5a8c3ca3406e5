// Has the chosen engine import what the KV cache store has of a prompt, before the attempt.

#ifndef KUMQUATHAVEN_LIB_ENTRY_IMPORTSTEP_H
#define KUMQUATHAVEN_LIB_ENTRY_IMPORTSTEP_H

#include "answersink.h"
#include "passage.h"

namespace kumquathaven::entry {

/// Carries out the import of a choice, if it has one. The attempt goes on in any case: what was not
/// imported, the engine computes.
void importBeforeAttempt(Passage &passage, const Choice &choice, AnswerSink &sink);

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_IMPORTSTEP_H
