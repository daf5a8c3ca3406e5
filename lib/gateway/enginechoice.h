// Chooses an engine for a request by weights version, by the placement of its shared prompt, and by
// the expected wait.
//
// The choice is designed for shared prompts that many instances send at the same time, and for the
// time after new weights, when no engine holds any prompt.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_ENGINECHOICE_H
#define KUMQUATHAVEN_LIB_GATEWAY_ENGINECHOICE_H

#include "servers.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kumquathaven::gateway {

/// Preferred servers of a shared prompt. Instances derive the same preference without
/// communication.
struct Placement
{
    /// Identifies the shared part of the prompt; empty if the part is too small to matter.
    std::string key;
    /// Maximum additional time to the first event that is accepted for a preferred server, compared
    /// with the fastest server.
    Duration maxDelay{0};
    /// Servers that are reading the shared part and then send it to the store. Before that, any
    /// other server would have to read the part again.
    std::vector<routing::Slot> readers;
    /// Maximum additional time to the first event that is accepted for one of the readers.
    Duration maxReaderDelay{0};
    /// Maximum wait at a server that was drawn for a request without a large shared part.
    Duration maxDrawnWait{0};
};

/// Converts a weights version of the routing tables to a number. An empty version is 0.
std::uint64_t versionNumber(const std::string &version);

/// Returns whether requests may still be sent to servers that have \p version of a model's weights:
/// a replaced version is used for a limited time.
bool isUsableVersion(const Servers &servers, const std::string &model, std::uint64_t version,
                     TimePoint now);

/// Returns the time after which a request that waits at a server with \p version must be withdrawn,
/// since it may begin to run too late; zero if that is over.
Duration timeToWithdraw(const Servers &servers, const std::string &model, std::uint64_t version,
                        TimePoint now);

/// Chooses among the candidates of a request for \p model, which all have usable versions. Servers
/// with old weights are chosen less readily once some time has passed since the new version was
/// named. Returns nothing if no candidate accepts work.
std::optional<routing::Choice> chooseEngine(const Servers &servers, const routing::Request &request,
                                            const std::string &model, const Placement &placement,
                                            TimePoint now);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_ENGINECHOICE_H
