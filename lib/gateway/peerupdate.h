// What instances tell each other about their requests, as events: the server and the store that a
// shared prompt was sent to, the pauses between the chunks of a server's answers, and servers that
// refuse requests, are unreachable, leave or have new weights.
//
// Without these, each of many instances with the same shared prompt would have it read by another
// server and stored again, and, with many servers, would learn their speeds too late from its own
// requests. Backlogs are not events, since only their sums matter.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_PEERUPDATE_H
#define KUMQUATHAVEN_LIB_GATEWAY_PEERUPDATE_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/base/time.h"
#include "kumquathaven/overlay/aggregate.h"
#include "kumquathaven/quarantine/quarantine.h"
#include "servers.h"

#include <string>
#include <string_view>
#include <vector>

namespace kumquathaven::gateway {

/// Events of one instance.
struct PeerUpdate
{
    /// Name of the instance that observed the events.
    std::string instance;
    std::vector<PlacedPrompt> prompts;
    std::vector<StoreUpdate> stored;
    std::vector<ServerObservation> observations;
    /// Paces of servers that sent this instance enough chunks since its last report of them.
    std::vector<ServerPace> paces;
    /// Crashes of servers, and suspected parts that were answered nevertheless.
    std::vector<quarantine::CrashReport> crashes;
    std::vector<quarantine::AnsweredSubject> answered;
};

/// Returns the unreported data of \p instance and removes it from \p servers.
PeerUpdate takeUpdate(Servers &servers, const std::string &instance);

/// Applies events of another instance. Data about servers that this instance does not know is
/// ignored.
void applyPeerUpdate(Servers &servers, const PeerUpdate &update, TimePoint now);

/// Encodes each part of an update as an event of its own. A later event about the same thing has
/// the same key.
std::vector<overlay::Event> encodeEvents(const PeerUpdate &update);

/// Decodes the bytes of an event. The error is InvalidRequest and names \p peer, from which the
/// event was received.
Result<PeerUpdate> decodeEvent(std::string_view bytes, const std::string &peer);

/// Encodes a verdict as a fact, and decodes its bytes. The error is InvalidRequest.
overlay::Fact verdictFact(const quarantine::SubjectVerdict &verdict, TimePoint now);
Result<quarantine::SubjectVerdict> decodeFact(const overlay::Fact &fact, const std::string &peer,
                                              TimePoint now);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_PEERUPDATE_H
