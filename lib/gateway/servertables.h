// Declarations that the tables of servers (servers.cpp) and the choice (pick.cpp) share.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_SERVERTABLES_H
#define KUMQUATHAVEN_LIB_GATEWAY_SERVERTABLES_H

#include "servers.h"

namespace kumquathaven::gateway {

/// Block size, in tokens, in which this instance tracks the prompts that engines hold. Small enough
/// for shared parts of some hundred tokens to matter, large enough to keep a long prompt at some
/// tens of blocks.
constexpr std::uint32_t blockTokens = 1'024;

/// Returns how long a prompt that is sent to a server now waits for the prompts that all instances
/// sent there before.
Duration expectedWait(const Servers &servers, const KnownServer &server, TimePoint now);

/// Records that a server gets work; if it was idle, its progress is measured from now on.
void recordWorkStart(const Servers &servers, KnownServer &server, TimePoint now);

/// Records that a server reads a shared prompt and then sends it to a store.
void recordPromptReader(Servers &servers, std::uint64_t lastBlock, const std::string &reader,
                        const std::string &store, TimePoint now);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_SERVERTABLES_H
