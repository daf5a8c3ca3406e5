// What the two halves of the knowledge of servers share: the tables and the choice.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_SERVERTABLES_H
#define KUMQUATHAVEN_LIB_GATEWAY_SERVERTABLES_H

#include "servers.h"

namespace kumquathaven::gateway {

/// Tokens in which this instance counts what engines hold of prompts. Small enough for shared parts
/// of some hundred tokens to matter, large enough to keep a long prompt at some tens of blocks.
constexpr std::uint32_t blockTokens = 512;

/// A shared prompt is in the store, or on its way there.
void markStored(Servers &servers, std::uint64_t lastBlock, TimePoint now);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_SERVERTABLES_H
