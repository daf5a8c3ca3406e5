// Applies the pace of servers that have just started or recovered (pace/pace.h) to the tables of
// servers: when a server begins, what it completes, and which requests it may get.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_PACING_H
#define KUMQUATHAVEN_LIB_GATEWAY_PACING_H

#include "servers.h"

namespace kumquathaven::gateway {

/// Paces a server from now on, if this instance paces servers at all.
void beginPace(Servers &servers, KnownServer &server, TimePoint now);

/// Returns the work of all instances that waits at a server: prompt tokens at an engine, else
/// requests.
double waitingWork(const Servers &servers, const KnownServer &server);

/// Records that work which waited at a server, as waitingWork() counts it, was completed.
void recordCompletedWork(Servers &servers, const std::string &start, KnownServer &server,
                         double work, TimePoint now);

/// Records the first token of a request of this instance.
void recordPacedAnswer(Servers &servers, KnownServer &server, std::uint64_t ticket, TimePoint now);

/// Returns whether the pace of a server allows it a further request of a route.
bool isWithinPace(const Servers &servers, KnownServer &server, const deployment::Route &route,
                  bool isEngine);

/// Returns the number of servers that are paced now.
std::size_t pacedCount(const Servers &servers);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_PACING_H
