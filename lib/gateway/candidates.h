// Decides which servers may get a request: those of its route's services that take work, have
// usable weights and, while traffic moves to another release, the release that is its turn.
//
// The functions are pure.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_CANDIDATES_H
#define KUMQUATHAVEN_LIB_GATEWAY_CANDIDATES_H

#include "servers.h"

#include <string>
#include <vector>

namespace kumquathaven::gateway {

/// A server that may get the request, with its start.
struct Candidate
{
    const std::string *start = nullptr;
    const KnownServer *server = nullptr;
};

/// Returns the services of a route, starting with the one that the weights select for this request.
std::vector<std::string> servicesOf(const PickRequest &request);

/// Returns the sets of servers of a service that may get the request, in the order in which they
/// are to be tried. Servers that recently refused a request are returned only if their set has no
/// others. No set is empty.
std::vector<std::vector<Candidate>> candidatesOf(const Servers &servers, const PickRequest &request,
                                                 const std::string &service, TimePoint now);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_CANDIDATES_H
