// The known servers, their state, and the choice of a server for a request.
//
// The functions are pure: lists, the catalogue, outcomes and the current time are arguments. The
// design covers hot shared prompts (placement by the blocks that engines hold), servers that fail
// or stop answering (ejection), and new weights (old versions are used only as long as they cost
// less than a wait).

#ifndef KUMQUATHAVEN_LIB_GATEWAY_SERVERS_H
#define KUMQUATHAVEN_LIB_GATEWAY_SERVERS_H

#include "kumquathaven/base/enumnames.h"
#include "kumquathaven/catalogue/catalogue.h"
#include "kumquathaven/catalogue/weightstimes.h"
#include "kumquathaven/deployment/plan.h"
#include "kumquathaven/deployment/request.h"
#include "kumquathaven/deployment/server.h"
#include "kumquathaven/pace/pace.h"
#include "kumquathaven/routing/choice.h"
#include "outcomes.h"
#include "releases.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace kumquathaven::gateway {

/// State of one start of a server, in addition to the routing tables.
struct KnownServer
{
    deployment::ListedServer listed;
    routing::Slot slot = 0;
    /// Whether another server answered at its address.
    bool isMoved = false;
    /// Number of requests of this instance that run there.
    std::uint32_t running = 0;
    /// Prompt tokens that all other instances together sent there and that have no first token yet.
    std::uint64_t backlogOfOthers = 0;
    /// What all instances saw of the server, and what this one did not report yet.
    RecentOutcomes outcomes;
    OutcomeCounts unreportedOutcomes;
    /// When the server last returned a first token or started to work after being idle.
    TimePoint lastProgressAt{};
    /// Until this time the server gets requests only if no other server accepts them, because it
    /// refused a request.
    TimePoint refusesUntil{};
    /// Until this time the server gets no requests of this instance at all, because it asked for
    /// that when it refused one.
    TimePoint pausedUntil{};
    /// When each instance last observed that the server accepts no connections, by instance name;
    /// the name of this instance is empty.
    std::map<std::string, TimePoint> unreachableObservedAt;
    /// Pauses between the chunks of its answers that were not reported to the other instances yet.
    routing::EngineSpeed unreportedPauses;
    /// Bounds the work that waits there while it has just started or recovered.
    pace::Pace pace;
};

/// The shared part of a prompt that was sent to a server.
struct PlacedPrompt
{
    std::string start;
    /// See deployment::CacheScopes.
    std::string cacheScope;
    std::string model;
    /// Version of the weights.
    std::string version;
    std::vector<deployment::PromptPart> parts;
    /// Address of the store that the server sends it to; empty if there is none.
    std::string store;
};

/// Kinds of facts about a server that an instance observes and that its peers would otherwise have
/// to find out with requests of their own.
enum class ObservationKind {
    /// The server refuses requests: it is full or loads new weights.
    Refuses,
    /// The server accepts no connections.
    Unreachable,
    /// The server has another weights version than expected.
    Weights,
    /// The server said that it is about to stop.
    Leaving,
};

constexpr std::array<EnumName<ObservationKind>, 4> observationKindNames = {{
    {ObservationKind::Refuses, "refuses"},
    {ObservationKind::Unreachable, "unreachable"},
    {ObservationKind::Weights, "weights"},
    {ObservationKind::Leaving, "leaving"},
}};

struct ServerObservation
{
    std::string start;
    ObservationKind kind = ObservationKind::Refuses;
    /// Set for ObservationKind::Weights only.
    std::string model;
    std::uint64_t version = 0;
};

/// Pause between the chunks of a server's answers, as measured by one instance.
struct ServerPace
{
    std::string start;
    Duration pause{0};
};

/// A shared prompt that is in a store, or will be once a server has read it.
struct StoredPrompt
{
    /// The start of the server that reads it, and the address of the store.
    std::string reader;
    std::string store;
    /// When it was sent to the reader, or when the store received it.
    TimePoint updatedAt{};
    bool isStored = false;
};

/// Whether a shared prompt that a server was to read and save is now in the store.
struct StoreUpdate
{
    std::uint64_t block = 0;
    bool isStored = false;
};

/// A server that has reached its full pace, for the log.
struct FullPace
{
    std::string start;
    Duration took{0};
    std::uint32_t doublings = 0;
    std::uint32_t setbacks = 0;
};

/// All servers that this instance may send requests to.
struct Servers
{
    Servers();

    routing::Fleet fleet;
    /// By start of the server.
    std::map<std::string, KnownServer> known;
    /// When the list of servers was read from the platform.
    TimePoint listReadAt{};
    std::shared_ptr<const catalogue::Catalogue> catalogue;
    /// When the versions of models' weights were set.
    std::shared_ptr<const catalogue::WeightsTimes> weightsTimes =
        std::make_shared<const catalogue::WeightsTimes>();
    /// Time after a newer version was set from which on nothing may start on an older one.
    Duration weightsTime = std::chrono::seconds(6);
    /// Weights versions that servers returned in their answers, by start and model. They are newer
    /// than the list and the catalogue.
    std::map<std::string, std::uint64_t> observedVersions;
    /// When servers said that they are about to stop, by start. Kept after a server has left the
    /// list, which may name it again while it lags.
    std::map<std::string, TimePoint> leavingSince;
    /// Addresses of the stores that can be reached. Prompts are fetched from these and saved there
    /// only.
    std::set<std::string> reachableStores;
    /// Shared prompts by the hash of their last block.
    std::map<std::uint64_t, StoredPrompt> stored;
    /// Changes of prompts in the store that were not reported to the other instances yet.
    std::vector<StoreUpdate> unreportedStoreUpdates;
    /// Placed prompts that were not reported to the other instances yet.
    std::vector<PlacedPrompt> unreportedPrompts;
    /// Observations that were not reported to the other instances yet.
    std::vector<ServerObservation> observations;
    /// Starts with new pauses in KnownServer::unreportedPauses.
    std::set<std::string> changedPauses;
    /// Starts whose backlog of this instance changed since it was last reported.
    std::set<std::string> changedBacklogs;
    /// Starts with unreported outcomes.
    std::set<std::string> changedOutcomes;
    /// Whether servers that have just started or recovered are paced, those that reached their full
    /// pace since the last log line, and how often a request went elsewhere for a pace.
    bool pacesServers = true;
    std::vector<FullPace> fullPaces;
    std::uint64_t heldBack = 0;
    /// Starts by the keys of their backlogs, answers and errors.
    std::unordered_map<std::uint64_t, std::string> startsByKey;
    Releases releases;
};

/// Input of the choice in addition to the state of the servers.
struct PickRequest
{
    const deployment::Plan *plan = nullptr;
    const deployment::Route *route = nullptr;
    const deployment::CallerHead *head = nullptr;
    const deployment::Customer *customer = nullptr;
    /// Starts of the servers that the request was already sent to.
    std::set<std::string> tried;
    TimePoint deadline{};
    /// Whether a server with the new release of a running rollout failed it.
    bool failedAtNextRelease = false;
    /// Scope of cached prompts under the newest plan, see deployment::CacheScopes.
    std::string cacheScope;
};

/// The chosen server, and what is sent to it together with the request.
struct Pick
{
    std::string start;
    std::string serverId;
    settings::Address address;
    std::string service;
    std::uint32_t maxConnections = 0;
    routing::Slot slot = 0;
    std::uint64_t ticket = 0;
    std::optional<std::uint64_t> weights;
    std::string cacheScope;
    std::string fetchFrom;
    std::string saveTo;
    /// Hash of the last block of the shared prompt, which identifies it in the store; zero if
    /// nothing is saved.
    std::uint64_t savedBlock = 0;
    /// Blocks of the prompt that the server holds once the request has started there.
    std::vector<routing::BlockHash> blocks;
    Duration expectedFirstToken{0};
    /// Reason of the choice, for logs.
    std::string reason;
    ReleaseSend send;
};

/// Applies a complete list. Servers that are not on it are removed.
void applyList(Servers &servers, const std::vector<deployment::ListedServer> &list, TimePoint now);

/// Applies the weights versions and the states of servers that the catalogue has.
void applyCatalogue(Servers &servers, std::shared_ptr<const catalogue::Catalogue> catalogue);

/// Applies the rollouts that the catalogue has; \p wallMs is the present time in milliseconds since
/// 1970. Returns the services whose rollout changed.
std::vector<std::string> applyReleases(Servers &servers, std::uint64_t wallMs, TimePoint now);

/// Chooses a server and counts the request as running there. Returns nothing if no server may get
/// it.
std::optional<Pick> pick(Servers &servers, const PickRequest &request, TimePoint now);

/// The part of an expected wait that exceeds what the objective of a request tolerates.
struct ExcessWait
{
    Duration excess{0};
    /// For logs: the chosen server and its expected times.
    std::string reason;
};

/// Result of a choice that may refuse the request.
struct PickResult
{
    std::optional<Pick> pick;
    /// Service that the weights of the route select for the request; empty if the route has none.
    std::string service;
    /// Set if a server would accept the request, but the answer would be late.
    std::optional<ExcessWait> excessWait;
};

/// Chooses like pick(), but returns no server if the request would wait at the chosen engine for
/// longer than its objective tolerates.
PickResult pickIfInTime(Servers &servers, const PickRequest &request, TimePoint now);

/// Returns whether pick() has any server to choose from.
bool canPick(const Servers &servers, const PickRequest &request, TimePoint now);

/// Applies the report that another instance sent a prompt to a server.
void applyPlacedPrompt(Servers &servers, const PlacedPrompt &prompt, TimePoint now);

/// Sets whether a store can be reached. Forgets the prompts in it, since a store is assumed to be
/// empty when it becomes reachable again.
void setStoreReachable(Servers &servers, const std::string &address, bool isReachable);

/// Applies the report of another instance whether a prompt that it had saved is in the store.
void applyStoreUpdate(Servers &servers, const StoreUpdate &update, TimePoint now);

/// Returns the key under which instances report their backlogs at a server.
std::uint64_t backlogKey(const std::string &start);

/// Returns this instance's backlogs in prompt tokens, by start, that changed since the last call.
std::map<std::string, std::uint64_t> takeChangedBacklogs(Servers &servers);

/// Sets the prompt tokens that all other instances together have waiting at a server, and when that
/// sum last decreased anywhere, which shows that the server makes progress. Returns false if the
/// key is not that of a known server.
bool setBacklogOfOthers(Servers &servers, std::uint64_t key, std::int64_t tokens,
                        TimePoint decreasedAt, TimePoint now);

/// Returns the keys under which instances count the answers and the errors of a server.
std::uint64_t answersKey(const std::string &start);
std::uint64_t errorsKey(const std::string &start);

/// Returns the outcomes at this instance, by start, since the last call.
std::map<std::string, OutcomeCounts> takeOutcomes(Servers &servers);

/// Adds outcomes that other instances counted under a key. Returns false if the key is not that of
/// a known server.
bool applyOutcomesOfOthers(Servers &servers, std::uint64_t key, std::int64_t amount, TimePoint now);

/// How an attempt ended.
enum class AttemptEnd {
    /// The answer was complete, or the server returned an answer of its own.
    Answered,
    /// The server returned an error of its own.
    ServerError,
    /// The server reported that it does not run the request.
    Refused,
    /// The address belongs to another server, or the server has other weights.
    Misdirected,
    /// No connection could be made.
    NotConnected,
    /// The connection ended before the answer was complete.
    Cut,
    /// The server did not answer in time.
    Silent,
    /// This instance ended the attempt for its own reasons.
    Abandoned,
};

constexpr std::array<EnumName<AttemptEnd>, 8> attemptEndNames = {{
    {AttemptEnd::Answered, "answered"},
    {AttemptEnd::ServerError, "serverError"},
    {AttemptEnd::Refused, "notRun"},
    {AttemptEnd::Misdirected, "anotherServerOrWeights"},
    {AttemptEnd::NotConnected, "noConnection"},
    {AttemptEnd::Cut, "cut"},
    {AttemptEnd::Silent, "silent"},
    {AttemptEnd::Abandoned, "abandoned"},
}};

/// Records the first event of a stream, or the head of an answer.
void recordFirstToken(Servers &servers, const Pick &pick, TimePoint now);

/// Records a pause between two chunks of a server's answer.
void recordPause(Servers &servers, const Pick &pick, Duration pause);

/// Applies an observation of another instance. A single instance cannot make a server count as
/// unreachable, since its own link may be at fault.
void applyObservation(Servers &servers, const std::string &peer,
                      const ServerObservation &observation, TimePoint now);

/// Applies the pause of a server that another instance measured.
void applyPeerPace(Servers &servers, const ServerPace &engineSpeed);

/// Records the end of an attempt, apart from what countSendEnd() counts.
void recordAttemptEnd(Servers &servers, const Pick &pick, AttemptEnd end, TimePoint now);

/// Records that another server answered at the address.
void recordMoved(Servers &servers, const Pick &pick);

/// Records that a server said that it is about to stop. It gets no new requests.
void recordLeaving(Servers &servers, const Pick &pick, TimePoint now);

/// Returns whether a server was announced to stop.
bool isLeaving(const Servers &servers, const std::string &start);

/// Records that a server accepts no requests of this instance for a time.
void recordPauseRequest(Servers &servers, const Pick &pick, Duration pause, TimePoint now);

/// Returns the time until the first server of the route's services accepts requests of this
/// instance again, or nothing if no server only waits for the end of such a pause.
std::optional<Duration> timeToPauseEnd(const Servers &servers, const PickRequest &request,
                                       TimePoint now);

/// Records the weights version that a server returned.
void recordWeights(Servers &servers, const Pick &pick, const std::string &model,
                   std::uint64_t version);

/// Returns the number of servers that get no requests except trials.
std::size_t ejectedCount(const Servers &servers);

/// Returns the starts of all known servers.
std::set<std::string> startsOf(const Servers &servers);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_SERVERS_H
