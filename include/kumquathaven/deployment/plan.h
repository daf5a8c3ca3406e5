// What a declaration says: routes, services and customers, as typed values.

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

/// What may be done with a request of a route more than once.
enum class RequestKind {
    /// It may run any number of times.
    Idempotent,
    /// It runs at most once for each attempt of its caller.
    NonIdempotent,
    /// It is answered by a stream of events, and runs at most once unless the route is resumable.
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

/// How requests reach upstreams.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    RequestKind kind = RequestKind::NonIdempotent;
    std::vector<WeightedService> services;
    /// Longest time for which a caller is kept waiting.
    Duration timeout{0};
    /// Time within which an answer, or the first event of a stream, is worth most.
    Duration objective{0};
    /// Streams: the longest pause between events of an answer that is on time.
    Duration gapObjective{0};
    /// Zero is the most urgent.
    std::uint32_t priority = 0;
    /// Servers that one request may be sent to.
    std::uint32_t attempts = 1;
    /// Whether callers need no key.
    bool openToAll = false;
    /// Streams: whether another server may go on after the last event.
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

/// Engines of one service, which are all alike but for their speed.
struct EngineTraits
{
    std::uint32_t slots = 1;
    std::uint64_t kvTokens = 0;
    std::uint64_t tokenBytes = 0;
    double linkMbps = 0;
    /// Streams of cache events that each engine serves at a time.
    std::uint32_t maxEventStreams = 0;
    std::vector<std::string> models;
};

/// A store of kept KV cache, which is reached at an address of its own.
struct StoreTraits
{
    std::string address;
    std::string failureDomain;
    std::uint64_t kvTokens = 0;
    double linkMbps = 0;
};

/// Servers that do the same.
struct Service
{
    std::string name;
    std::string healthPath;
    /// Connections that each server accepts from all instances together. Zero: not known.
    std::uint32_t maxConnections = 0;
    std::optional<EngineTraits> engine;
    std::optional<StoreTraits> store;
};

/// A customer with its keys and its limit over all instances.
struct Customer
{
    std::string name;
    std::vector<std::string> keys;
    /// Takes precedence over that of the route.
    std::optional<std::uint32_t> priority;
    /// Tokens that a request without a count of its own stands for.
    std::uint64_t defaultTokens = 1;
    /// Shares no cached prompt with other customers.
    bool isolated = false;
    /// Tokens a second and tokens at once. Zero: no limit.
    std::uint64_t rateTokensPerSecond = 0;
    std::uint64_t burstTokens = 0;
};

/// What callers may send, and how long they may take.
struct CallerLimits
{
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint32_t maxBodyBytes = 8 * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(10);
    Duration idleTimeout = std::chrono::seconds(60);
};

/// A whole declaration.
struct Plan
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, Service> services;
    std::vector<Customer> customers;
    CallerLimits limits;
};

/// Returns what makes a plan impossible to carry out, or an empty text: a route to a service that
/// does not exist or to none, two routes at one place, a route without a timeout, or a key of two
/// customers.
std::string validationError(const Plan &plan);

/// Finds routes and customers of a plan. The plan must outlive it.
class PlanIndex
{
public:
    explicit PlanIndex(const Plan &plan);

    /// Returns the route with the longest prefix that begins the path, or null. A port in the host
    /// does not count.
    const Route *findRoute(const std::string &host, const std::string &path) const;

    /// Returns the customer that holds a key, or null.
    const Customer *findCustomer(const std::string &key) const;

private:
    /// By host; the longest prefixes come first.
    std::map<std::string, std::vector<const Route *>> m_routes;
    std::map<std::string, const Customer *> m_customers;
};

} // namespace kumquathaven::deployment

#endif // KUMQUATHAVEN_DEPLOYMENT_PLAN_H
