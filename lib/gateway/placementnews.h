// What instances tell each other of shared prompts: which server they sent one to, and whether the
// store gets it too.
//
// Answers the load of one shared prompt at many instances. Each of them would otherwise have it
// read by another server and stored once more.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_PLACEMENTNEWS_H
#define KUMQUATHAVEN_LIB_GATEWAY_PLACEMENTNEWS_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/base/time.h"
#include "servers.h"

#include <string>
#include <string_view>
#include <vector>

namespace kumquathaven::gateway {

/// Returns what is to be told to the others, and forgets it. At most a bounded number at a time.
std::vector<PlacedPrompt> takeNews(Servers &servers);

/// Takes what another instance told. Servers that this one does not know are passed over.
void takePlacements(Servers &servers, const std::vector<PlacedPrompt> &news, TimePoint now);

/// News as CBOR, and back. The error is InvalidRequest and names \p peer.
std::string encodePlacements(const std::vector<PlacedPrompt> &news);
Result<std::vector<PlacedPrompt>> decodePlacements(std::string_view bytes, const std::string &peer);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_PLACEMENTNEWS_H
