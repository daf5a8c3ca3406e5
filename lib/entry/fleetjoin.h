// Serves keyed work from the answer that another entry runs or keeps.

#ifndef KUMQUATHAVEN_LIB_ENTRY_FLEETJOIN_H
#define KUMQUATHAVEN_LIB_ENTRY_FLEETJOIN_H

#include "jointable.h"
#include "passage.h"
#include "upstreamattempt.h"

#include <optional>
#include <string>

namespace kumquathaven::entry {

/// A piece of work and the fingerprint of its request.
struct Work
{
    answers::WorkKey key;
    std::string fingerprint;
};

/// Looks for a keyed request's answer on the other entries and serves it from there. Returns
/// nothing if this instance is to run the work; nothing was handed over then.
std::optional<AttemptReport> serveFromFleet(Passage &passage, const Work &work, const Part &part,
                                            AnswerSink &sink);

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_FLEETJOIN_H
