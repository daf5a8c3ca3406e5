// The choice of an upstream by the expected time to the first token, with its explanation as data.

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
    /// It holds the longest part of the prompt and is soonest.
    Cached,
    /// Another holds more of the prompt, and waiting there costs more than computing here.
    Spread,
    /// Nobody holds the prompt; this is where all entries place it.
    Placed,
    /// Nobody holds the prompt, and its place is too busy.
    LeastWait,
    /// The KV cache store holds the missing part, and fetching it is quicker than computing.
    Import,
    /// The upstream was ejected, and this request tries it.
    Trial,
    /// The upstream reads the shared part for another request, and nobody else has it yet.
    BeingRead,
};

constexpr std::array<EnumName<ChoiceReason>, 7> choiceReasonNames = {{
    {ChoiceReason::Cached, "cached"},
    {ChoiceReason::Spread, "spread"},
    {ChoiceReason::Placed, "placed"},
    {ChoiceReason::LeastWait, "leastWait"},
    {ChoiceReason::Import, "import"},
    {ChoiceReason::Trial, "trial"},
    {ChoiceReason::BeingRead, "beingRead"},
}};

/// A KV cache store as seen by a choice.
struct StoreView
{
    /// For each chain of the request, the leading tokens that the store is expected to hold.
    std::vector<double> storedTokens;
    double importTokensPerSecond = 0;
    /// The time an import takes besides the transfer.
    Duration overhead = std::chrono::milliseconds(5);
    /// An import is used if it takes at most this share of computing the same tokens, and at most
    /// this time.
    double importShare = 1;
    Duration maxImportTime = Duration::max();
    /// Upstreams that can not import now.
    std::vector<Slot> withoutImport;
};

/// A request to be routed.
struct Request
{
    /// The prompt in each weights version that some candidate serves.
    std::vector<PrefixChain> chains;
    /// Upstreams that may serve it.
    std::vector<Slot> candidates;
    /// Candidates that were tried before.
    std::vector<Slot> tried;
    bool repeatable = true;
    /// What engines are told; below priorityCount.
    std::size_t priority = 0;
    /// The latest time at which the first token is of use, if there is one.
    std::optional<TimePoint> deadline;
    /// Tokens of an answer of which nothing shows before all of it. Zero for a stream.
    std::uint32_t completeAnswerTokens = 0;
    /// A store to import from, if there is one in service.
    std::optional<StoreView> store;
    /// Waits at candidates where the caller knows better than the fleet's tables, which hold only
    /// what this instance sent.
    std::map<Slot, Duration> waitOverrides;
    /// Draws among upstreams that are about as good for a prompt too short to have a place, so that
    /// instances that know the same do not all choose the same one. Nothing: the best one.
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
    /// Index of the chain in the request.
    std::size_t chain = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t expectedCachedTokens = 0;
    /// Tokens to be fetched from the store first.
    std::uint32_t importTokens = 0;
    Duration expectedWait{};
    Duration expectedFirstToken{};
    /// How many candidates could have taken it.
    std::uint32_t eligible = 0;
    /// The most tokens that any of them was expected to hold.
    std::uint32_t maxCachedTokens = 0;
};

/// Returns the upstream to use, or nothing if no candidate takes work.
std::optional<Choice> choose(const Fleet &fleet, const Request &request, TimePoint now);

/// Takes note that a choice is being carried out, and returns the ticket for its outcome.
std::uint64_t commit(Fleet &fleet, const Request &request, const Choice &choice, TimePoint now);

/// Returns the choice as "reason; cached=N; of=N; wait=N ms; first-token=N ms" for a header.
std::string describe(const Choice &choice);

/// Returns a draw whose largest value marks the place of a prefix. Faster upstreams get more
/// places, and only the places of an upstream that leaves move.
double placementRank(const Fleet &fleet, std::uint64_t key, Slot slot);

/// Returns the index of the chain in the weights version and block size of an upstream, or nothing.
std::optional<std::size_t> chainFor(const Request &request, const UpstreamView &view);

/// Returns whether an upstream may get the request at all.
bool isEligible(const Fleet &fleet, const Request &request, Slot slot);

} // namespace kumquathaven::routing

#endif // KUMQUATHAVEN_ROUTING_CHOICE_H
