// One request on its way through the steps of the pipeline.

#ifndef KUMQUATHAVEN_LIB_ENTRY_PASSAGE_H
#define KUMQUATHAVEN_LIB_ENTRY_PASSAGE_H

#include "callerrequest.h"
#include "entrystate.h"
#include "kumquathaven/runtime/httpserver.h"

#include <chrono>
#include <string>
#include <vector>

namespace kumquathaven::entry {

/// What every step works on. The snapshot keeps the catalogue that the request points into.
struct Passage
{
    EntryState &state;
    runtime::HttpExchange &exchange;
    catalogue::Snapshot snapshot;
    CallerRequest request;
    /// Names of what of the request can crash upstreams.
    std::vector<std::string> subjects = {};
    std::chrono::system_clock::time_point startedAt;
    /// When the quarantine let the request through.
    TimePoint admittedAt{};
};

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_PASSAGE_H
