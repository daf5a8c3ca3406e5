// Which servers there are, what is known of them, and which one gets a request.
//
// Pure: lists, the catalogue, outcomes and the present time come in as arguments. Answers the loads
// of hot shared prompts (placement by what engines hold), of servers that fail or fall silent
// (ejection), and of new weights (old versions only as long as they cost less than a wait).

#ifndef KUMQUATHAVEN_LIB_GATEWAY_SERVERS_H
#define KUMQUATHAVEN_LIB_GATEWAY_SERVERS_H

#include "kumquathaven/base/enumnames.h"
#include "kumquathaven/catalogue/catalogue.h"
#include "kumquathaven/deployment/plan.h"
#include "kumquathaven/deployment/request.h"
#include "kumquathaven/deployment/server.h"
#include "kumquathaven/routing/choice.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kumquathaven::gateway {

/// Prompt tokens that one instance waits for at a server, as of a time.
struct ToldBacklog
{
    std::uint64_t tokens = 0;
    TimePoint at{};
};

/// What is known of one start of a server beyond the routing tables.
struct KnownServer
{
    deployment::ListedServer listed;
    routing::Slot slot = 0;
    /// Another server answered at its address.
    bool isMoved = false;
    /// Requests of this instance that are under way there.
    std::uint32_t running = 0;
    /// By instance, the prompt tokens that it sent there and that have not begun to be answered.
    std::map<std::string, ToldBacklog> peers;
    /// What the other instances were last told of this one's.
    ToldBacklog told;
    /// When it last gave a first token, or began to work.
    TimePoint progressAt{};
    /// Until then it gets requests only where no other server takes them, since it said that it
    /// does not run what it gets.
    TimePoint refusesUntil{};
    /// When instances last found that it takes no connections, by their names; this one's is empty.
    std::map<std::string, TimePoint> unreachableFor;
    /// Pauses between pieces of its answers that the other instances were not told of.
    routing::EngineSpeed untoldPauses;
};

/// The shared part of a prompt on its way to a server.
struct PlacedPrompt
{
    std::string start;
    /// Set where the prompt must not be shared with other customers.
    std::string customer;
    std::string model;
    /// Version of the weights.
    std::string version;
    std::vector<deployment::PromptPart> parts;
    /// The address of the store that gets it too; empty if none does.
    std::string store;
};

/// The prompt tokens that this instance waits for at a server.
struct ServerBacklog
{
    std::string start;
    std::uint64_t tokens = 0;
};

/// What an instance found of a server that the others would find with requests of their own.
enum class FindingKind {
    /// It does not run requests now: it is full, or takes new weights.
    Refuses,
    /// It takes no connections.
    Unreachable,
    /// It has other weights than was known.
    Weights,
};

constexpr std::array<EnumName<FindingKind>, 3> findingKindNames = {{
    {FindingKind::Refuses, "refuses"},
    {FindingKind::Unreachable, "unreachable"},
    {FindingKind::Weights, "weights"},
}};

struct ServerFinding
{
    std::string start;
    FindingKind kind = FindingKind::Refuses;
    /// For weights.
    std::string model;
    std::uint64_t version = 0;
};

/// The pause in which a server makes a piece of an answer, as one instance saw it.
struct ServerPace
{
    std::string start;
    Duration pause{0};
};

/// A shared prompt that a store has, or gets once a server has read it.
struct StoredPrompt
{
    /// The start of the server that reads it, and the address of the store.
    std::string reader;
    std::string store;
    /// When it was sent to the reader, or the store got it.
    TimePoint at{};
    bool isThere = false;
};

/// What became of a shared prompt that a server was to read and send to the store.
struct StoreNews
{
    std::uint64_t block = 0;
    bool isThere = false;
};

/// All servers that this instance may send to.
struct Servers
{
    Servers();

    routing::Fleet fleet;
    /// By start of the server.
    std::map<std::string, KnownServer> known;
    TimePoint listedAt{};
    std::shared_ptr<const catalogue::Catalogue> catalogue;
    /// When this instance learned of the versions of each model's weights.
    std::map<std::string, std::map<std::uint64_t, TimePoint>> namedAt;
    /// How long after a newer version was named nothing may begin on an older one.
    Duration weightsTime = std::chrono::seconds(6);
    /// Versions that servers showed themselves, by start and model; newer than list and catalogue.
    std::map<std::string, std::uint64_t> shown;
    /// Addresses of the stores that can be reached. Nothing is fetched from others or sent there.
    std::set<std::string> reachableStores;
    /// Shared prompts by the hash of their last block.
    std::map<std::uint64_t, StoredPrompt> stored;
    /// What the others have not been told of prompts that this instance had stored.
    std::vector<StoreNews> storeNews;
    /// Prompts that this instance sent and has not told the others.
    std::vector<PlacedPrompt> news;
    /// What this instance found and has not told the others.
    std::vector<ServerFinding> findings;
};

/// What the choice rests on besides the servers.
struct PickRequest
{
    const deployment::Plan *plan = nullptr;
    const deployment::Route *route = nullptr;
    const deployment::CallerHead *head = nullptr;
    const deployment::Customer *customer = nullptr;
    /// Starts of servers that the request was sent to.
    std::set<std::string> tried;
    TimePoint deadline{};
};

/// The server that was chosen, and what the request takes along.
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
    /// Block that stands for the shared prompt in the store; zero if nothing is saved.
    std::uint64_t savedBlock = 0;
    /// Blocks of the prompt that the server will hold once the request has begun there.
    std::vector<routing::BlockHash> blocks;
    Duration expectedFirstToken{0};
    /// For logs: why this server.
    std::string reason;
};

/// Takes a list that was read whole. Servers that it does not name are gone.
void takeList(Servers &servers, const std::vector<deployment::ListedServer> &list, TimePoint now);

/// Takes what control says of weights.
void takeCatalogue(Servers &servers, std::shared_ptr<const catalogue::Catalogue> catalogue,
                   TimePoint now);

/// Chooses a server and counts the request as running there; nothing if none may get it.
std::optional<Pick> pick(Servers &servers, const PickRequest &request, TimePoint now);

/// A wait that is longer than the objective of a request bears.
struct ExcessWait
{
    Duration excess{0};
    /// For logs: the server that was chosen and what was expected of it.
    std::string reason;
};

/// What became of a request that may be refused.
struct Offer
{
    std::optional<Pick> pick;
    /// The service that its route draws; empty if the route has none.
    std::string service;
    /// Set if servers would take it, but its answer would be late.
    std::optional<ExcessWait> excessWait;
};

/// Chooses as pick() does, unless the request would wait at the engine that is chosen for longer
/// than its objective bears.
Offer offer(Servers &servers, const PickRequest &request, TimePoint now);

/// Returns whether pick() would find a server.
bool canPick(const Servers &servers, const PickRequest &request, TimePoint now);

/// Takes note of a prompt that another instance sent to a server.
void notePlaced(Servers &servers, const PlacedPrompt &prompt, TimePoint now);

/// Takes note that a store can be reached, or not. One that was lost is taken to come back empty.
void noteStore(Servers &servers, const std::string &address, bool isReachable);

/// Takes note of what became of a prompt that another instance had stored.
void noteStoreNews(Servers &servers, const StoreNews &news, TimePoint now);

/// Takes note of the prompt tokens that another instance waits for at a server.
void noteBacklog(Servers &servers, const std::string &peer, const ServerBacklog &backlog,
                 TimePoint now);

/// Returns the prompt tokens that other instances wait for at a server. What was not told again is
/// forgotten.
std::uint64_t peerBacklog(const KnownServer &server, TimePoint now);

/// How a send ended.
enum class SendEnd {
    /// The answer came whole, or the server gave an answer of its own.
    Answered,
    /// The server said that it does not run the request.
    Refused,
    /// The server is another one, or has other weights.
    Misdirected,
    NotConnected,
    Cut,
    Silent,
    /// This side ended it for reasons of its own.
    Abandoned,
};

constexpr std::array<EnumName<SendEnd>, 7> sendEndNames = {{
    {SendEnd::Answered, "answered"},
    {SendEnd::Refused, "notRun"},
    {SendEnd::Misdirected, "anotherServerOrWeights"},
    {SendEnd::NotConnected, "noConnection"},
    {SendEnd::Cut, "cut"},
    {SendEnd::Silent, "silent"},
    {SendEnd::Abandoned, "abandoned"},
}};

/// Takes the first event of a stream, or the head of an answer.
void recordFirstToken(Servers &servers, const Pick &pick, TimePoint now);

/// Takes the pause between two events of a server's answer.
void recordPause(Servers &servers, const Pick &pick, Duration pause);

/// Takes what another instance found of a server. One instance alone does not make a server count
/// as unreachable, since its own link may be at fault.
void noteFinding(Servers &servers, const std::string &peer, const ServerFinding &finding,
                 TimePoint now);

/// Takes the pause of a server that another instance saw.
void notePace(Servers &servers, const ServerPace &engineSpeed);

/// Takes the end of a send.
void noteEnd(Servers &servers, const Pick &pick, SendEnd end, TimePoint now);

/// Another server answered at the address.
void noteMoved(Servers &servers, const Pick &pick);

/// A server showed a version of its weights.
void noteWeights(Servers &servers, const Pick &pick, const std::string &model,
                 std::uint64_t version);

/// Returns how many servers get no work but trials.
std::size_t ejectedOf(const Servers &servers);

/// Returns the starts of the servers in use.
std::set<std::string> startsOf(const Servers &servers);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_SERVERS_H
