// Simple routing strategies that serve as baselines in measurements.

#ifndef KUMQUATHAVEN_ROUTING_BASELINES_H
#define KUMQUATHAVEN_ROUTING_BASELINES_H

#include "kumquathaven/base/random.h"
#include "kumquathaven/routing/choice.h"

namespace kumquathaven::routing {

/// Chooses a random eligible candidate. Returns nothing if there is none.
std::optional<Choice> chooseRandom(const Fleet &fleet, const Request &request, Random &random);

/// Chooses the eligible candidate with the fewest requests: those in its last load report plus
/// those that this instance sent after the report. Ties are broken at random. Returns nothing if no
/// candidate is eligible.
std::optional<Choice> chooseLeastLoaded(const Fleet &fleet, const Request &request, Random &random);

/// Chooses an eligible candidate by rendezvous hashing of the first \p depth blocks of the prompt.
/// Returns nothing if there is none.
std::optional<Choice> choosePrefixHash(const Fleet &fleet, const Request &request,
                                       std::size_t depth);

} // namespace kumquathaven::routing

#endif // KUMQUATHAVEN_ROUTING_BASELINES_H
