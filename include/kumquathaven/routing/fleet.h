// What one entry knows about its upstreams: incarnations, cached blocks, loads, speeds and health.

#ifndef KUMQUATHAVEN_ROUTING_FLEET_H
#define KUMQUATHAVEN_ROUTING_FLEET_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/routing/health.h"
#include "kumquathaven/routing/pace.h"
#include "kumquathaven/routing/policy.h"
#include "kumquathaven/routing/prefixindex.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquathaven::routing {

/// How much is known of an engine's cache.
enum class CacheKnowledge {
    /// No event stream was ever heard.
    Never,
    /// Events have arrived without a gap since the incarnation began or since the last gap.
    Known,
    /// Events are missing: what was known before may be gone, and loses weight with time.
    Unknown,
};

constexpr std::array<EnumName<CacheKnowledge>, 3> cacheKnowledgeNames = {{
    {CacheKnowledge::Never, "never"},
    {CacheKnowledge::Known, "known"},
    {CacheKnowledge::Unknown, "unknown"},
}};

/// Priorities that engines honour; the smaller goes first.
constexpr std::size_t priorityCount = 3;

/// A request under way on an upstream.
struct Outstanding
{
    std::uint64_t ticket = 0;
    TimePoint sentAt{};
    std::uint32_t promptTokens = 0;
    /// Prompt tokens that the upstream was expected to compute.
    std::uint32_t missingTokens = 0;
    /// The blocks of the prompt.
    std::vector<BlockHash> blocks;
    Duration expectedFirstToken{};
    bool trial = false;
    /// Prompt tokens that were expected to be computed before.
    double aheadTokens = 0;
    bool hasFirstToken = false;
    std::size_t priority = 0;
    /// The part of the time to its first sign that is its own work rather than a wait: computing
    /// all of its prompt, and generating the answer where only the whole of it shows.
    Duration ownTime{};
};

/// A wait before a first token, as it was last learned.
struct LearnedWait
{
    double seconds = 0;
    TimePoint at{};
};

/// A load report as it was received, with the time at which it was true.
struct LoadReport
{
    std::uint64_t incarnation = 0;
    TimePoint takenAt{};
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Prompt tokens of waiting requests that are not cached, if the upstream says.
    std::optional<std::uint64_t> waitingTokens;
};

/// Where events of a stream are missing.
struct EventGap
{
    TimePoint at{};
    /// Probability that a block held before was removed by one of the missing events.
    double lostShare = 1;
};

/// One upstream.
struct UpstreamView
{
    std::string name;
    std::string model;
    /// The version that the upstream last said it serves.
    std::string weightsVersion;
    /// Tokens in one of its blocks; zero means that it has not said so.
    std::uint32_t blockTokens = 0;
    /// Whether the slot is in use.
    bool present = false;
    bool leaving = false;
    /// Loading weights: it lives and refuses work.
    bool loading = false;
    Health health;

    std::uint64_t incarnation = 0;
    std::uint32_t life = 0;
    std::uint32_t run = 0;
    CacheKnowledge knowledge = CacheKnowledge::Never;
    bool streaming = false;
    std::uint64_t nextSequence = 1;
    /// When the stream was last lost, if it is not open.
    TimePoint streamLostAt{};
    /// The last gaps, oldest first; the last one began the present run.
    std::vector<EventGap> gaps;

    /// How long blocks stay after their last use, learned from removals.
    double blockLifeSeconds = 0;
    /// Blocks stored and removed lately, as moving counts.
    double stored = 0;
    double removed = 0;
    double events = 0;
    TimePoint countedAt{};
    /// Blocks that the events say are held.
    double held = 0;

    LoadReport load;
    std::vector<Outstanding> outstanding;
    /// By priority, what requests waited besides their own work.
    std::array<LearnedWait, priorityCount> waits;
    /// The last first token or whole answer. The default means never.
    TimePoint firstTokenAt{};
    /// Moving sums of prompt tokens that were waited for, and of the time that took.
    double computedTokens = 0;
    double computingSeconds = 0;
    Pace pace;
    /// Moving average of the prompt tokens that a request of ours leaves to be computed, and how
    /// many requests it stands on.
    double meanMissing = 0;
    std::uint32_t missingSamples = 0;
    /// Moving rate of missing tokens that this entry sends, per second.
    double sentRate = 0;
    TimePoint sentRateAt{};
};

/// Counts of events by what became of them.
struct EventCounts
{
    std::uint64_t applied = 0;
    std::uint64_t repeated = 0;
    std::uint64_t gaps = 0;
    std::uint64_t otherIncarnation = 0;
};

/// All upstreams of one entry.
struct Fleet
{
    explicit Fleet(const Policy &policy = Policy());

    Policy policy;
    std::vector<UpstreamView> upstreams;
    std::map<std::string, Slot> slots;
    PrefixIndex index;
    EventCounts events;
    /// Entries that send to the same upstreams, this one among them.
    std::uint32_t entries = 1;
    std::uint64_t nextTicket = 1;
    /// When the speeds of upstreams were last compared, and the speed that counts as the mean one,
    /// in prompt tokens a second.
    TimePoint pacesReviewedAt{};
    double meanPrefill = 0;
    PrefillRates prefillRates;
    /// Answers whose upstream said how much it reused, and their tokens.
    std::uint64_t answers = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t promptTokens = 0;
    /// Moving average of the prompt tokens that a request leaves to be computed, anywhere.
    double meanMissing = 0;
    /// Tokens that may be computed now though another upstream holds them. Below zero such tokens
    /// have a price.
    double spreadTokens = 0;
    /// Retries that may be made now.
    double retries = 0;
};

/// Adds an upstream, or returns the slot it has. A slot that was in use before starts a new life.
Slot addUpstream(Fleet &fleet, const std::string &name, const std::string &model,
                 const std::string &weightsVersion, TimePoint now);

/// Forgets an upstream. Nothing that was believed about it can be used again.
void removeUpstream(Fleet &fleet, const std::string &name);

/// Takes note of the incarnation that an upstream says it is. A new one has an empty cache, no
/// requests of ours and no history of failures. Returns whether it is new.
bool noteIncarnation(Fleet &fleet, Slot slot, std::uint64_t incarnation, TimePoint now);

/// A change of an engine's cache.
struct CacheEvent
{
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    bool stored = true;
    std::vector<BlockHash> blocks;
};

/// What became of an event.
enum class EventResult { Applied, Repeated, Gap, OtherIncarnation };

/// Takes note that the event stream is open, for an incarnation.
void noteStreamOpen(Fleet &fleet, Slot slot, std::uint64_t incarnation, TimePoint now);

/// Takes note that the event stream ended. Until it is open again beliefs lose weight.
void noteStreamLost(Fleet &fleet, Slot slot, TimePoint now);

/// Applies an event. After a gap the event itself still counts.
EventResult applyEvent(Fleet &fleet, Slot slot, const CacheEvent &event, TimePoint now);

/// Takes a load report. One of another incarnation or older than the present one changes nothing.
void applyLoad(Fleet &fleet, Slot slot, const LoadReport &report, TimePoint now);

/// Returns the probability, from 0 to 1, that a belief still holds.
double probability(const Fleet &fleet, const Belief &belief, TimePoint now);

/// Returns for each slot the number of leading prompt tokens that it is expected to hold.
std::vector<double> expectedCachedTokens(const Fleet &fleet, const PrefixChain &chain,
                                         TimePoint now);

/// The work before a request that is sent now.
struct Queue
{
    double tokens = 0;
    Duration wait{};
    /// Requests that wait, as far as they can be told from the work.
    double requests = 0;
};

/// Returns the request under way with a ticket, or a null pointer.
const Outstanding *outstandingFor(const UpstreamView &view, std::uint64_t ticket);

/// Returns the expected queue of an upstream: the last load report, what was sent since, and what
/// was computed in the meantime.
Queue expectedQueue(const Fleet &fleet, Slot slot, TimePoint now);

/// Returns the prompt tokens sent to an upstream whose requests have no first token yet.
double outstandingTokens(const UpstreamView &view);

/// Returns how many blocks an upstream evicts for each block that it stores, from 0 to 1.
double evictionShare(const Fleet &fleet, Slot slot);

/// Returns the prompt tokens an upstream is believed to compute in a second: the mean of the fleet
/// times its speed against the others where that is known, else what its own first tokens show.
double prefillSpeed(const Fleet &fleet, Slot slot);

/// Takes note that a request was sent, and returns its ticket.
std::uint64_t noteSent(Fleet &fleet, Slot slot, const PrefixChain &chain,
                       std::uint32_t missingTokens, Duration expectedFirstToken, TimePoint now);

/// Takes note of an answer that came whole, whose first token nobody saw.
void noteWhole(Fleet &fleet, Slot slot, std::uint64_t ticket, TimePoint now);

/// Takes note of the first token of a request.
void recordFirstToken(Fleet &fleet, Slot slot, std::uint64_t ticket, TimePoint now);

/// Takes note of the end of a request. \p cachedTokens is what the upstream says it reused, or
/// negative if it did not say.
void noteFinished(Fleet &fleet, Slot slot, std::uint64_t ticket, std::int64_t cachedTokens,
                  TimePoint now);

/// Takes note that an attempt without a first token was ended, because its deadline passed, it is
/// tried elsewhere or its caller left. It counts as a failure only if the upstream gave no first
/// token to any request since it was sent: a long queue is no failure.
void noteGivenUp(Fleet &fleet, Slot slot, std::uint64_t ticket, TimePoint now);

/// Takes note of a failed request.
void noteFailed(Fleet &fleet, Slot slot, std::uint64_t ticket, Failure failure, TimePoint now);

/// Ejects and reopens upstreams as their reports and failures say. Call it some times a
/// second.
void reviewHealth(Fleet &fleet, TimePoint now);

/// Counts a first attempt, which earns a part of a retry.
void earnRetry(Fleet &fleet);

/// Takes one retry from the budget. Returns false, and takes nothing, if it is used up.
bool spendRetry(Fleet &fleet);

} // namespace kumquathaven::routing

#endif // KUMQUATHAVEN_ROUTING_FLEET_H
