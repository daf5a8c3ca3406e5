// Servers as the platform lists them, and the reports and orders that are exchanged with them.

#ifndef KUMQUATHAVEN_DEPLOYMENT_SERVER_H
#define KUMQUATHAVEN_DEPLOYMENT_SERVER_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/settings/settings.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquathaven::deployment {

/// A server as the platform lists it.
struct ListedServer
{
    /// Id that changes with most starts of a server. Together with startedAt it identifies one
    /// start.
    std::string id;
    /// Milliseconds since 1970 on the platform's clock. Zero: not reported.
    std::uint64_t startedAt = 0;
    std::string service;
    /// Release of its software; empty if the platform does not tell.
    std::string release;
    settings::Address address;
    std::string failureDomain;
    std::uint32_t slots = 1;
    /// The server is about to stop and receives no new requests.
    bool isDraining = false;
    /// Remaining time for which the server is slow after its start.
    Duration remainingWarmup{0};
    /// Versions of the weights that the server serves, by model.
    std::map<std::string, std::uint64_t> weights;
};

/// Returns the id of one start of a server.
inline std::string startIdOf(const ListedServer &server)
{
    return server.id + "@" + std::to_string(server.startedAt);
}

/// One page of the platform's list.
struct ListPage
{
    std::vector<ListedServer> servers;
    /// Number of entries that are malformed and skipped.
    std::uint32_t unreadableEntries = 0;
    /// Token of the next page; empty on the last page.
    std::string nextPage;
};

/// An engine's report of its own state, some hundred milliseconds late.
struct EngineReport
{
    /// The engine is carrying out an order.
    bool isBusy = false;
    /// Number of orders accepted since the engine started.
    std::uint64_t orders = 0;
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    std::uint64_t kvUsed = 0;
    std::uint64_t kvTotal = 0;
    std::map<std::string, std::uint64_t> weights;
};

/// An order to load a version of a model's weights.
struct WeightsOrder
{
    std::string model;
    std::uint64_t version = 0;
    std::string holder;
    /// Fencing token of the holder of orders.
    std::uint64_t fencingToken = 0;
    /// The server refuses the order if it has accepted a different number of orders.
    std::optional<std::uint64_t> expectedOrders;
};

/// A server's answer to an order.
enum class OrderAnswer { Accepted, AlreadyLoaded, Busy, Fenced, OtherServer, Refused };

} // namespace kumquathaven::deployment

#endif // KUMQUATHAVEN_DEPLOYMENT_SERVER_H
