// The contents of a declaration as typed values: routes, services and customers.

#ifndef KUMQUATHAVEN_DEPLOYMENT_PLAN_H
#define KUMQUATHAVEN_DEPLOYMENT_PLAN_H

#include "kumquathaven/base/enumnames.h"
#include "kumquathaven/base/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquathaven::deployment {

/// How often a request of a route may run.
enum class RequestKind {
    /// The request may run any number of times.
    Idempotent,
    /// The request runs at most once for each attempt of its caller.
    NonIdempotent,
    /// The request is answered by a stream of events, and runs at most once unless the route is
    /// resumable.
    Streaming,
};

constexpr std::array<EnumName<RequestKind>, 3> requestKindNames{{
    {RequestKind::Idempotent, "idempotent"},
    {RequestKind::NonIdempotent, "nonIdempotent"},
    {RequestKind::Streaming, "streaming"},
}};

/// A service and its share of a route's requests.
struct WeightedService
{
    std::string service;
    std::uint32_t weight = 1;
};

/// Selects requests by host and path, and states how they are sent to upstreams.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    RequestKind kind = RequestKind::NonIdempotent;
    std::vector<WeightedService> services;
    /// Maximum time for which a caller waits for the answer.
    Duration timeout{0};
    /// Target time for the answer, or for the first event of a stream.
    Duration objective{0};
    /// Streams: target for the longest time between two events of an answer.
    Duration gapObjective{0};
    /// Zero is the most urgent.
    std::uint32_t priority = 0;
    /// Maximum number of servers to which one request is sent.
    std::uint32_t attempts = 1;
    /// Whether callers may send requests without a key.
    bool openToAll = false;
    /// Streams: whether another server may continue the answer after the last event.
    bool resumable = false;
    /// Whether requests carry prompts.
    bool hasPrompts = false;
};

/// Returns whether a request of the route may run more than once.
inline bool isRepeatable(const Route &route)
{
    return route.kind == RequestKind::Idempotent
        || (route.kind == RequestKind::Streaming && route.resumable);
}

/// Properties of the engines of one service, which differ only in speed.
struct EngineTraits
{
    std::uint32_t slots = 1;
    std::uint64_t kvTokens = 0;
    std::uint64_t tokenBytes = 0;
    double linkMbps = 0;
    /// Maximum number of streams of cache events that each engine serves at a time.
    std::uint32_t maxEventStreams = 0;
    std::vector<std::string> models;
};

/// A store of KV cache blocks, which has its own address.
struct StoreTraits
{
    std::string address;
    std::string failureDomain;
    std::uint64_t kvTokens = 0;
    double linkMbps = 0;
};

/// A group of interchangeable servers.
struct Service
{
    std::string name;
    std::string healthPath;
    /// Maximum number of connections that each server accepts from all instances together. Zero:
    /// unknown.
    std::uint32_t maxConnections = 0;
    std::optional<EngineTraits> engine;
    std::optional<StoreTraits> store;
};

/// A customer with its keys and its rate limit over all instances.
struct Customer
{
    std::string name;
    std::vector<std::string> keys;
    /// Takes precedence over the priority of the route.
    std::optional<std::uint32_t> priority;
    /// Tokens that are charged for a request without token counts.
    std::uint64_t defaultTokens = 1;
    /// Whether the customer shares no cached prompts with other customers.
    bool isolated = false;
    /// Rate limit in tokens per second, and burst in tokens. Zero: no limit.
    std::uint64_t rateTokensPerSecond = 0;
    std::uint64_t burstTokens = 0;
};

/// Limits on the size of requests and on the time that callers may take to send them.
struct CallerLimits
{
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint32_t maxBodyBytes = 8 * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(10);
    Duration idleTimeout = std::chrono::seconds(60);
};

/// A complete declaration.
struct Plan
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, Service> services;
    std::vector<Customer> customers;
    CallerLimits limits;
};

/// Returns the first error of a plan, or an empty string if it is valid. Errors are a route to a
/// service that does not exist, a route whose services have no weight, two routes with the same
/// host and path prefix, a route without a timeout, and a key of two customers.
std::string validationError(const Plan &plan);

/// Looks up routes and customers of a plan. The plan must outlive the index.
class PlanIndex
{
public:
    explicit PlanIndex(const Plan &plan);

    /// Returns the route of the host with the longest prefix of the path, or null. A port in the
    /// host is ignored, and the host is compared without regard to case.
    const Route *findRoute(const std::string &host, const std::string &path) const;

    /// Returns the customer to which a key belongs, or null.
    const Customer *findCustomer(const std::string &key) const;

private:
    /// Routes by host, the longest path prefixes first.
    std::map<std::string, std::vector<const Route *>> m_routes;
    std::map<std::string, const Customer *> m_customers;
};

} // namespace kumquathaven::deployment

#endif // KUMQUATHAVEN_DEPLOYMENT_PLAN_H
