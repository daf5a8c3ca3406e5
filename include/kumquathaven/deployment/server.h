// What the platform and the servers themselves say of the servers behind services.

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
    /// New for most starts of a server; with startedAt it names one start.
    std::string id;
    /// Milliseconds since 1970 on the platform's clock. Zero: not told.
    std::uint64_t startedAt = 0;
    std::string service;
    settings::Address address;
    std::string failureDomain;
    std::uint32_t slots = 1;
    /// It is about to stop and gets no new request.
    bool isDraining = false;
    /// Time for which it is still slow after its start.
    Duration remainingWarmup{0};
    /// Versions of the weights in service, by model.
    std::map<std::string, std::uint64_t> weights;
};

/// Names one start of a server.
inline std::string startIdOf(const ListedServer &server)
{
    return server.id + "@" + std::to_string(server.startedAt);
}

/// One page of the platform's list.
struct ListPage
{
    std::vector<ListedServer> servers;
    /// Entries that could not be read; they name no server to use.
    std::uint32_t unreadableEntries = 0;
    /// Names the page that follows; empty on the last one.
    std::string nextPage;
};

/// What an engine reports of itself, some hundred milliseconds late.
struct EngineReport
{
    /// An order is under way.
    bool isBusy = false;
    /// Orders accepted since its start.
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
    /// Fencing token.
    std::uint64_t fencingToken = 0;
    /// The order is refused if the server accepted another number of orders.
    std::optional<std::uint64_t> expectedOrders;
};

/// What a server said to an order.
enum class OrderAnswer { Accepted, AlreadyLoaded, Busy, Fenced, OtherServer, Refused };

} // namespace kumquathaven::deployment

#endif // KUMQUATHAVEN_DEPLOYMENT_SERVER_H
