// What instances tell each other of their requests: which server they sent a shared prompt to,
// which store gets it too, how many prompt tokens they wait for at each server, the pauses in which
// servers make pieces of answers, and servers that refuse, are unreachable or have new weights.
//
// Answers the load of one shared prompt at many instances, each of which would otherwise have it
// read by another server and stored once more, of queues that others built up, and of servers that
// are so many that one instance alone would learn their speeds too late.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_PEERUPDATE_H
#define KUMQUATHAVEN_LIB_GATEWAY_PEERUPDATE_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/base/time.h"
#include "servers.h"

#include <string>
#include <string_view>
#include <vector>

namespace kumquathaven::gateway {

/// What an instance tells the others.
struct PeerUpdate
{
    std::vector<PlacedPrompt> prompts;
    /// Only what has changed, or was not told for a while.
    std::vector<ServerBacklog> backlogs;
    std::vector<StoreUpdate> stored;
    std::vector<ServerObservation> observations;
    /// Of servers that gave this instance enough pieces since it last told of them.
    std::vector<ServerPace> paces;

    bool isEmpty() const
    {
        return prompts.empty() && backlogs.empty() && stored.empty() && paces.empty()
            && observations.empty();
    }
};

/// Returns what is to be told to the others, and forgets it. At most a bounded number at a time.
PeerUpdate takeUpdate(Servers &servers, TimePoint now);

/// Takes what another instance told. Servers that this one does not know are passed over.
void applyPeerUpdate(Servers &servers, const std::string &peer, const PeerUpdate &update,
                     TimePoint now);

/// News as CBOR, and back. The error is InvalidRequest and names \p peer.
std::string encodePeerUpdate(const PeerUpdate &update);
Result<PeerUpdate> decodePeerUpdate(std::string_view bytes, const std::string &peer);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_PEERUPDATE_H
