// What the two halves of the knowledge of servers share: the tables and the choice.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_SERVERTABLES_H
#define KUMQUATHAVEN_LIB_GATEWAY_SERVERTABLES_H

#include "servers.h"

namespace kumquathaven::gateway {

/// Tokens in which this instance counts what engines hold of prompts. Small enough for shared parts
/// of some hundred tokens to matter, large enough to keep a long prompt at some tens of blocks.
constexpr std::uint32_t blockTokens = 1'024;

/// A backlog that does not change is told again after this time.
constexpr Duration backlogInterval = std::chrono::seconds(1);

/// Returns how long a prompt that is sent to a server now waits for those that were sent before, by
/// whichever instance.
Duration expectedWait(const Servers &servers, const KnownServer &server, TimePoint now);

/// A server that was idle gets work.
void recordWorkStart(const Servers &servers, KnownServer &server, TimePoint now);

/// A server reads a shared prompt and then sends it to a store.
void recordPromptReader(Servers &servers, std::uint64_t lastBlock, const std::string &reader,
                        const std::string &store, TimePoint now);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_SERVERTABLES_H
