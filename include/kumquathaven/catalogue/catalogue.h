// The catalogue: what operators declare about customers, keys, upstreams and routes.

#ifndef KUMQUATHAVEN_CATALOGUE_CATALOGUE_H
#define KUMQUATHAVEN_CATALOGUE_CATALOGUE_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kumquathaven::catalogue {

/// The urgency of a request. Quick requests are served first; patient requests keep a minimum share
/// of the service so that they never starve.
enum class ServiceClass { Quick, Standard, Patient };

/// The kind of an upstream, which determines the interface that it speaks.
enum class UpstreamKind { Engine, Service, KvStore, WeightStore };

/// Whether an upstream may be sent new requests.
enum class UpstreamState { Serving, Leaving };

/// Limits that a catalogue entry sets. Zero means no limit of that kind.
struct Limits
{
    /// Tokens per second over the whole fleet.
    std::uint64_t rateTokensPerSecond = 0;
    /// Tokens that may be spent at once over the whole fleet.
    std::uint64_t burstTokens = 0;
    /// Maximum number of requests that one instance runs at a time.
    std::uint32_t maxConcurrent = 0;
    /// Maximum number of tokens in the answer to one request.
    std::uint32_t maxOutputTokens = 0;
    /// Maximum time from a request's arrival to its first token, in milliseconds. A later answer is
    /// of no use to the caller.
    std::uint32_t deadlineMs = 0;
};

/// The fields that all kinds of catalogue entries share.
struct EntryHead
{
    /// Unique among the entries of its kind.
    std::string name;
    /// The team that is responsible for the entry.
    std::string owner;
    ServiceClass serviceClass = ServiceClass::Standard;
    Limits limits;
};

/// A department of a public body whose callers share one rate limit.
struct Customer
{
    EntryHead head;
    /// Share of the service relative to other customers when capacity is short.
    std::uint32_t weight = 1;
};

/// A credential of a customer's callers. Only the hash of the key is stored; the key itself is
/// shown once, when it is granted.
struct Key
{
    EntryHead head;
    std::string customer;
    /// SHA-256 of the key, in lower-case hexadecimal.
    std::string sha256;
    bool withdrawn = false;
    /// Whether the withdrawal also ends streams that were admitted before it.
    bool cutsStreams = false;
};

/// The state that orders bring an engine to. An empty weights version or role is left as it is.
struct DesiredState
{
    std::string weightsVersion;
    std::vector<std::string> adapters;
    std::string role;
};

/// An engine, a plain service or a store to which requests are sent.
struct Upstream
{
    EntryHead head;
    UpstreamKind kind = UpstreamKind::Engine;
    /// "host:port" with an IP address and a TCP port.
    std::string address;
    std::string failureDomain;
    /// For engines: the model, the weights version in service and the adapters that a request can
    /// name.
    std::string model;
    std::string weightsVersion;
    std::vector<std::string> adapters;
    /// Release of its software, which a rollout moves traffic to or from. May be empty.
    std::string release;
    /// For engines: the state that orders bring the engine to. Without a value it gets no orders.
    std::optional<DesiredState> desired;
    /// Whether the upstream refuses orders with an outdated fencing number.
    bool checksFencing = false;
    /// For weight stores: the maximum number of servers that load from the store at the same time.
    std::uint32_t loadSlots = 1;
    /// Bearer token that is sent in place of the caller's key. If empty, no Authorization header is
    /// sent.
    std::string credential;
    UpstreamState state = UpstreamState::Serving;
};

/// Maps requests to upstreams, either by model or by the path of a plain service.
struct Route
{
    EntryHead head;
    /// The model that callers name; empty for a route to plain services.
    std::string model;
    /// The path that callers use, for example "/svc/orders"; empty for a route to engines.
    std::string pathPrefix;
    /// Names of the upstreams that may serve the route; empty for every engine with its model.
    std::vector<std::string> upstreams;
    /// Whether callers may use the route without a key.
    bool openToAll = false;
    /// Whether a request is idempotent, so that it may run more than once.
    bool repeatable = true;
};

/// A complete description of routes, services and customers that operators submitted as one text,
/// in the format of the platform that the deployment runs on. The catalogue stores it verbatim.
struct Declaration
{
    /// Zero if there is no declaration. Only a declaration with a higher version replaces it.
    std::uint64_t version = 0;
    std::shared_ptr<const std::string> text;
};

/// Maximum size of the text of a declaration. One of thousands of routes stays below it.
constexpr std::size_t maxDeclarationBytes = std::size_t{8} * 1024 * 1024;

/// The weights that an engine found by discovery was last ordered to serve.
struct ServerWeights
{
    /// Identifies one start of the server that the order was sent to; after a restart the server
    /// has another value.
    std::string server;
    std::string model;
    std::uint64_t version = 0;
    /// Whether the order is still in progress. The server starts no request until it is completed.
    bool isLoading = false;
};

/// State of a rollout of a release.
enum class RolloutState { Running, Complete, RolledBack };

/// An operator's order to move the traffic of a service to servers with another release of its
/// software, and how far it was carried out.
struct ServiceRollout
{
    /// On a platform the name of the service; on the native interface the name of the route.
    std::string service;
    /// The release to which traffic moves, as servers name it.
    std::string release;
    /// Time limit, in milliseconds, and when the order was accepted, in milliseconds since 1970 on
    /// the clock of the member that proposed it; zero if that is not known.
    std::uint64_t limitMs = 0;
    std::uint64_t orderedAtMs = 0;
    /// The revision that accepted the order. It identifies the order and all counts about it.
    std::uint64_t number = 0;
    RolloutState state = RolloutState::Running;
    /// Raised by each change of the share or the state.
    std::uint32_t step = 0;
    /// Share of the requests that the release may get, in thousandths.
    std::uint32_t sharePerMille = 0;
    /// Time since the order at the last step, in milliseconds, as measured without a wall clock.
    std::uint64_t elapsedMs = 0;
    /// Figures behind the last step.
    std::string reason;
};

/// One revision of the complete catalogue.
struct Catalogue
{
    /// Incremented by each accepted change. Zero until the first one.
    std::uint64_t revision = 0;
    std::map<std::string, Customer> customers;
    /// Keyed by name, not by hash.
    std::map<std::string, Key> keys;
    std::map<std::string, Upstream> upstreams;
    std::map<std::string, Route> routes;
    Declaration declaration;
    /// The newest weights version that was set for each model.
    std::map<std::string, std::uint64_t> weights;
    /// Link addresses of the control members, "host:port", for deployments whose settings do not
    /// list them.
    std::vector<std::string> controlLinks;
    /// Keyed by server and model, as "server/model". A server that was sent no order has no entry.
    std::map<std::string, ServerWeights> serverWeights;
    /// The last rollout of each service, by name of the service.
    std::map<std::string, ServiceRollout> rollouts;
};

/// Returns the maximum number of servers that may load weights at the same time: the minimum over
/// all weight stores, or one if there is no weight store.
std::uint32_t loadSlotsOf(const Catalogue &catalogue);

} // namespace kumquathaven::catalogue

#endif // KUMQUATHAVEN_CATALOGUE_CATALOGUE_H
