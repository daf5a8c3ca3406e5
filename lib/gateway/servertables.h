// Declarations that the tables of servers (servers.cpp) and the choice (pick.cpp) share.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_SERVERTABLES_H
#define KUMQUATHAVEN_LIB_GATEWAY_SERVERTABLES_H

#include "servers.h"

namespace kumquathaven::gateway {

/// Number of prompt tokens that matter little for the choice of an engine.
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
