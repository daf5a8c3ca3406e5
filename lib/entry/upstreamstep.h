// Serves a request by the upstreams that may serve it, one attempt after the other.

#ifndef KUMQUATHAVEN_LIB_ENTRY_UPSTREAMSTEP_H
#define KUMQUATHAVEN_LIB_ENTRY_UPSTREAMSTEP_H

#include "passage.h"
#include "upstreamattempt.h"

namespace kumquathaven::entry {

/// Serves a request by the upstreams that may serve it, one attempt after the other. Returns the
/// last attempt's report, with the outcome of all of them.
AttemptReport serveByUpstreams(Passage &passage, AnswerSink &sink);

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_UPSTREAMSTEP_H
