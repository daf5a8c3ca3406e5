// Updates that instances send each other about their requests: the server and the store that a
// shared prompt was sent to, the prompt tokens that wait at each server, the pauses between the
// chunks of a server's answers, and servers that refuse requests, are unreachable or have new
// weights.
//
// Without updates, each of many instances with the same shared prompt would have it read by another
// server and stored again, would not know of queues that others built up, and, with many servers,
// would learn their speeds too late from its own requests.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_PEERUPDATE_H
#define KUMQUATHAVEN_LIB_GATEWAY_PEERUPDATE_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/base/time.h"
#include "servers.h"

#include <string>
#include <string_view>
#include <vector>

namespace kumquathaven::gateway {

/// One update of an instance to its peers.
struct PeerUpdate
{
    std::vector<PlacedPrompt> prompts;
    /// Only backlogs that changed or were not reported for a while.
    std::vector<ServerBacklog> backlogs;
    std::vector<StoreUpdate> stored;
    std::vector<ServerObservation> observations;
    /// Paces of servers that sent this instance enough chunks since its last report of them.
    std::vector<ServerPace> paces;

    bool isEmpty() const
    {
        return prompts.empty() && backlogs.empty() && stored.empty() && paces.empty()
            && observations.empty();
    }
};

/// Returns the unreported data and removes it from \p servers. The size of an update is bounded;
/// data beyond the bound is kept for the next update.
PeerUpdate takeUpdate(Servers &servers, TimePoint now);

/// Applies an update of another instance. Data about servers that this instance does not know is
/// ignored.
void applyPeerUpdate(Servers &servers, const std::string &peer, const PeerUpdate &update,
                     TimePoint now);

/// Encode an update as CBOR and decode it. The error is InvalidRequest and names \p peer.
std::string encodePeerUpdate(const PeerUpdate &update);
Result<PeerUpdate> decodePeerUpdate(std::string_view bytes, const std::string &peer);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_PEERUPDATE_H
