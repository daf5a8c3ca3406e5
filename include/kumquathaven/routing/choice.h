// Chooses the upstream for a request by the expected time to the first token, and explains the
// choice as data.

#ifndef KUMQUATHAVEN_ROUTING_CHOICE_H
#define KUMQUATHAVEN_ROUTING_CHOICE_H

#include "kumquathaven/base/enumnames.h"
#include "kumquathaven/routing/fleet.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquathaven::routing {

/// Why an upstream was chosen.
enum class ChoiceReason {
    /// The upstream caches the longest prefix of the prompt and has the lowest cost.
    Cached,
    /// Another upstream caches more of the prompt, but waiting there costs more than computing the
    /// prompt here.
    Spread,
    /// No upstream caches the prompt; rendezvous hashing places it here, at all entries alike.
    Placed,
    /// No upstream caches the prompt, and the one that hashing places it on is too busy.
    LeastWait,
    /// The KV cache store holds the missing blocks, and importing them is faster than computing
    /// them.
    Import,
    /// The upstream is half-open after an ejection, and this request is its trial.
    Trial,
    /// The upstream is computing the shared prefix for another request, and no other upstream
    /// caches it yet.
    BeingRead,
    /// The upstream is the best of a few that were drawn for the request.
    Drawn,
};

constexpr std::array<EnumName<ChoiceReason>, 8> choiceReasonNames = {{
    {ChoiceReason::Cached, "cached"},
    {ChoiceReason::Spread, "spread"},
    {ChoiceReason::Placed, "placed"},
    {ChoiceReason::LeastWait, "leastWait"},
    {ChoiceReason::Import, "import"},
    {ChoiceReason::Trial, "trial"},
    {ChoiceReason::BeingRead, "beingRead"},
    {ChoiceReason::Drawn, "drawn"},
}};

/// What a choice needs to know about the KV cache store.
struct StoreView
{
    /// For each chain of the request, the leading tokens that the store is expected to hold.
    std::vector<double> storedTokens;
    double importTokensPerSecond = 0;
    /// Fixed time that an import takes besides the transfer.
    Duration overhead = std::chrono::milliseconds(5);
    /// An import is used only if it takes at most importShare of the time to compute the same
    /// tokens, and at most maxImportTime.
    double importShare = 1;
    Duration maxImportTime = Duration::max();
    /// Upstreams whose imports are paused.
    std::vector<Slot> withoutImport;
};

/// A request to be routed.
struct Request
{
    /// The prompt's block hashes, one chain for each weights version that some candidate serves.
    std::vector<PrefixChain> chains;
    /// Upstreams that may serve the request.
    std::vector<Slot> candidates;
    /// Candidates that an earlier attempt was sent to. They are not eligible again.
    std::vector<Slot> tried;
    bool repeatable = true;
    /// The priority that is sent to the engine; below priorityCount.
    std::size_t priority = 0;
    /// The latest time at which the first token is still useful. Nothing means no deadline.
    std::optional<TimePoint> deadline;
    /// The expected length, in tokens, of an answer that is not streamed and so becomes visible
    /// only once it is complete. Zero for a stream.
    std::uint32_t completeAnswerTokens = 0;
    /// The KV cache store to import from. Nothing if no store is in service.
    std::optional<StoreView> store;
    /// Expected waits at candidates, by slot, that replace the fleet's own estimates. The fleet's
    /// tables cover only requests that this instance sent; the caller may know of others.
    std::map<Slot, Duration> waitOverrides;
    /// A random number that chooses among upstreams of similar cost when the prompt is too short to
    /// have a block to place it by. It keeps instances with the same view from all choosing the
    /// same upstream. Nothing means that the upstream with the lowest cost is chosen.
    std::optional<std::uint64_t> draw;
};

/// The upstream that was chosen, and why.
struct Choice
{
    Slot slot = 0;
    std::string upstream;
    std::uint64_t incarnation = 0;
    std::string weightsVersion;
    ChoiceReason reason = ChoiceReason::LeastWait;
    /// Index of the chain in Request::chains.
    std::size_t chain = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t expectedCachedTokens = 0;
    /// Tokens to import from the store before the request is sent.
    std::uint32_t importTokens = 0;
    Duration expectedWait{};
    Duration expectedFirstToken{};
    /// The number of eligible candidates.
    std::uint32_t eligible = 0;
    /// The largest number of prompt tokens that any eligible candidate was expected to cache.
    std::uint32_t maxCachedTokens = 0;
};

/// Returns the upstream to send the request to, or nothing if no candidate is eligible.
std::optional<Choice> choose(const Fleet &fleet, const Request &request, TimePoint now);

/// Records that the request is being sent to the chosen upstream. Returns the ticket under which
/// its outcome must be recorded.
std::uint64_t commit(Fleet &fleet, const Request &request, const Choice &choice, TimePoint now);

/// Returns the choice as the value of a header:
/// "reason; cached=N; of=N; import=N; wait-ms=N; first-token-ms=N".
std::string describe(const Choice &choice);

/// Returns the weight of an upstream in weighted rendezvous hashing of \p key: a prefix is placed
/// on the upstream with the largest weight. Faster upstreams are chosen for proportionally more
/// prefixes, and when an upstream leaves, only the prefixes placed on it move.
double placementRank(const Fleet &fleet, std::uint64_t key, Slot slot);

/// Returns the index of the request's chain that matches the weights version and block size of an
/// upstream, or nothing if there is none.
std::optional<std::size_t> chainFor(const Request &request, const UpstreamView &view);

/// Returns whether the request may be sent to an upstream: it is in service and healthy enough, it
/// was not tried before, and one of the request's chains matches it.
bool isEligible(const Fleet &fleet, const Request &request, Slot slot);

} // namespace kumquathaven::routing

#endif // KUMQUATHAVEN_ROUTING_CHOICE_H
