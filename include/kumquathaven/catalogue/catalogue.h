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

/// How urgent work is. Quick work goes first; patient work has a floor so that it never starves.
enum class ServiceClass { Quick, Standard, Patient };

/// What an upstream is and so which interface it speaks.
enum class UpstreamKind { Engine, Service, KvStore, WeightStore };

/// Whether an upstream may get new work.
enum class UpstreamState { Serving, Leaving };

/// Limits of a catalogue entry. Zero means that the entry sets no limit of that kind.
struct Limits
{
    /// Tokens a second over the whole fleet.
    std::uint64_t rateTokensPerSecond = 0;
    /// Tokens that may be spent at once over the whole fleet.
    std::uint64_t burstTokens = 0;
    /// Requests that one instance runs at a time.
    std::uint32_t maxConcurrent = 0;
    /// Tokens in a request's answer.
    std::uint32_t maxOutputTokens = 0;
    /// Milliseconds from arrival to the first token after which the answer is of no use.
    std::uint32_t deadlineMs = 0;
};

/// What every entry of the catalogue has.
struct EntryHead
{
    /// Unique among the entries of its kind.
    std::string name;
    /// The team that answers for the entry.
    std::string owner;
    ServiceClass serviceClass = ServiceClass::Standard;
    Limits limits;
};

/// A public body's department whose callers share one rate.
struct Customer
{
    EntryHead head;
    /// Share of service relative to other customers when there is not enough for all.
    std::uint32_t weight = 1;
};

/// A credential of a customer's callers. The key itself is shown once and not stored.
struct Key
{
    EntryHead head;
    std::string customer;
    /// SHA-256 of the key, in lower-case hexadecimal.
    std::string sha256;
    bool withdrawn = false;
    /// A withdrawal with this flag also ends streams that were admitted before it.
    bool cutsStreams = false;
};

/// What an engine is ordered to serve. An empty weights version or role is not ordered.
struct DesiredState
{
    std::string weightsVersion;
    std::vector<std::string> adapters;
    std::string role;
};

/// An engine, a plain service or a store that the system sends requests to.
struct Upstream
{
    EntryHead head;
    UpstreamKind kind = UpstreamKind::Engine;
    /// "host:port", an IP address and a TCP port.
    std::string address;
    std::string failureDomain;
    /// Engines: the model, the weights version in service and the adapters that can be asked for.
    std::string model;
    std::string weightsVersion;
    std::vector<std::string> adapters;
    /// Engines: orders make it so. Nothing: it gets no orders.
    std::optional<DesiredState> desired;
    /// Whether it refuses an order with an old fencing number.
    bool checksFencing = false;
    /// Weight stores: servers that may load from it at the same time.
    std::uint32_t loadSlots = 1;
    /// Sent as a bearer token in place of the caller's key. Empty: no Authorization header is sent.
    std::string credential;
    UpstreamState state = UpstreamState::Serving;
};

/// How requests reach upstreams. A route names either a model or a path of a plain service.
struct Route
{
    EntryHead head;
    /// The model that callers name; empty for a route to plain services.
    std::string model;
    /// The path that callers use, for example "/svc/orders"; empty for a route to engines.
    std::string pathPrefix;
    /// Names of the upstreams that may serve it; empty for every engine with the route's model.
    std::vector<std::string> upstreams;
    /// Whether callers need no key.
    bool openToAll = false;
    /// Whether a request may run more than once.
    bool repeatable = true;
};

/// A whole description of routes, services and customers that operators handed in as one text, in
/// the format of the platform that the deployment runs on. The catalogue keeps it as it came.
struct Declaration
{
    /// Zero: there is none. Only a higher one takes its place.
    std::uint64_t version = 0;
    std::shared_ptr<const std::string> text;
};

/// What an engine found by discovery was last ordered to serve.
struct ServerWeights
{
    /// The start of the server that the order went to; a later start is another one.
    std::string server;
    std::string model;
    std::uint64_t version = 0;
    /// The order is under way: the server starts no request until it ends.
    bool isLoading = false;
};

/// One revision of everything that operators declared.
struct Catalogue
{
    /// Grows by one with each accepted change. Zero: nothing was accepted yet.
    std::uint64_t revision = 0;
    std::map<std::string, Customer> customers;
    /// By name, not by hash.
    std::map<std::string, Key> keys;
    std::map<std::string, Upstream> upstreams;
    std::map<std::string, Route> routes;
    Declaration declaration;
    /// The newest version that was named of each model's weights.
    std::map<std::string, std::uint64_t> weights;
    /// Links of the control members, "host:port", where no settings list them.
    std::vector<std::string> controlLinks;
    /// By server and model, as "server/model". Servers that nothing was ordered of have no entry.
    std::map<std::string, ServerWeights> serverWeights;
};

/// Returns how many servers may load weights at the same time: the fewest that any weight store
/// allows, and one if there is none.
std::uint32_t loadSlotsOf(const Catalogue &catalogue);

} // namespace kumquathaven::catalogue

#endif // KUMQUATHAVEN_CATALOGUE_CATALOGUE_H
