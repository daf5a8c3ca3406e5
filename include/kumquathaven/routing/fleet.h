// One entry's view of its upstreams: their incarnations, cached blocks, loads, speeds and health.

#ifndef KUMQUATHAVEN_ROUTING_FLEET_H
#define KUMQUATHAVEN_ROUTING_FLEET_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/routing/enginespeed.h"
#include "kumquathaven/routing/health.h"
#include "kumquathaven/routing/policy.h"
#include "kumquathaven/routing/prefixindex.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquathaven::routing {

/// How complete the knowledge of an engine's cache is.
enum class CacheKnowledge {
    /// No event stream was ever received.
    Never,
    /// Every event since the start of the incarnation was received.
    Known,
    /// Events are missing. Blocks that were known before a gap may have been evicted, and their
    /// weight decays with time.
    Unknown,
};

constexpr std::array<EnumName<CacheKnowledge>, 3> cacheKnowledgeNames = {{
    {CacheKnowledge::Never, "never"},
    {CacheKnowledge::Known, "known"},
    {CacheKnowledge::Unknown, "unknown"},
}};

/// The number of priorities that engines honour. Smaller values are served first.
constexpr std::size_t priorityCount = 3;

/// A request that was sent to an upstream and has not finished.
struct Outstanding
{
    std::uint64_t ticket = 0;
    TimePoint sentAt{};
    std::uint32_t promptTokens = 0;
    /// Prompt tokens that the upstream was expected to compute.
    std::uint32_t missingTokens = 0;
    /// The block hashes of the prompt.
    std::vector<BlockHash> blocks;
    Duration expectedFirstToken{};
    /// Whether the request is the trial of a half-open upstream.
    bool trial = false;
    /// Prompt tokens of other requests that the upstream was expected to compute first.
    double aheadTokens = 0;
    bool hasFirstToken = false;
    std::size_t priority = 0;
    /// The part of the time to the first visible output that is spent on this request rather than
    /// waiting: computing its complete prompt and, if the answer is not streamed, generating it.
    Duration serviceTime{};
};

/// An estimate of the wait before a first token, with the time of its last update.
struct WaitEstimate
{
    double seconds = 0;
    TimePoint recordedAt{};
};

/// A load report of an upstream, with the time at which the load was measured.
struct LoadReport
{
    std::uint64_t incarnation = 0;
    TimePoint measuredAt{};
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Uncached prompt tokens of waiting requests. Nothing if the upstream does not report them.
    std::optional<std::uint64_t> waitingTokens;
};

/// A gap in an event stream.
struct EventGap
{
    TimePoint recordedAt{};
    /// Probability that a block cached before the gap was removed by one of the missing events.
    double lostShare = 1;
};

/// The view of one upstream.
struct UpstreamView
{
    std::string name;
    std::string model;
    /// The version that the upstream last reported as served.
    std::string weightsVersion;
    /// Tokens in one block of its cache; zero until the upstream has reported it.
    std::uint32_t blockTokens = 0;
    /// Whether the slot is in use.
    bool present = false;
    /// Whether the upstream is being taken out of service and gets no new requests.
    bool leaving = false;
    /// Whether the upstream is loading weights: it is alive and refuses requests.
    bool loading = false;
    Health health;

    std::uint64_t incarnation = 0;
    /// Counts the incarnations that were seen in the slot.
    std::uint32_t generation = 0;
    /// Counts the gap-free runs of the event stream.
    std::uint32_t streamRun = 0;
    CacheKnowledge knowledge = CacheKnowledge::Never;
    /// Whether the event stream is open.
    bool streaming = false;
    /// Sequence number of the next event.
    std::uint64_t nextSequence = 1;
    /// When the event stream was last lost. Meaningful only while it is not open.
    TimePoint streamLostAt{};
    /// The most recent gaps, oldest first, at most Policy::maxGaps. The last gap started the
    /// current gap-free run.
    std::vector<EventGap> gaps;

    /// Moving average of the seconds that blocks stay cached after their last use, estimated from
    /// reported removals. Zero until the first one.
    double blockLifetimeSeconds = 0;
    /// Blocks that were stored and removed, and events received, as exponentially decaying counts.
    /// They are valid for the time countedAt.
    double stored = 0;
    double removed = 0;
    double events = 0;
    TimePoint countedAt{};
    /// The number of blocks in the cache according to the events.
    double held = 0;

    /// The latest load report.
    LoadReport load;
    /// Requests under way, in the order in which they were sent.
    std::vector<Outstanding> outstanding;
    /// By priority, the estimated wait of requests before the upstream processes them.
    std::array<WaitEstimate, priorityCount> waitEstimates;
    /// When the last first token or complete answer was received. The default means never.
    TimePoint firstTokenAt{};
    /// Exponentially decaying sums of the prompt tokens that were computed before first tokens, and
    /// of the seconds that this took.
    double computedTokens = 0;
    double computingSeconds = 0;
    EngineSpeed engineSpeed;
    /// Moving average of the uncached prompt tokens of the requests that this entry sent, and the
    /// number of requests in it.
    double meanMissing = 0;
    std::uint32_t missingSamples = 0;
    /// Moving average of the rate at which this entry sends uncached prompt tokens, in tokens per
    /// second. It is valid for the time sentRateAt.
    double sentRate = 0;
    TimePoint sentRateAt{};
};

/// Counts of received cache events by their result.
struct EventCounts
{
    std::uint64_t applied = 0;
    std::uint64_t repeated = 0;
    std::uint64_t gaps = 0;
    std::uint64_t otherIncarnation = 0;
};

/// The view of all upstreams of one entry.
struct Fleet
{
    explicit Fleet(const Policy &policy = Policy());

    Policy policy;
    /// Indexed by slot.
    std::vector<UpstreamView> upstreams;
    /// Slots of the present upstreams by name.
    std::map<std::string, Slot> slots;
    PrefixIndex index;
    EventCounts events;
    /// The number of entries that send to the same upstreams, including this one.
    std::uint32_t entries = 1;
    std::uint64_t nextTicket = 1;
    /// When the speed steps of upstreams were last updated, and the speed that is assumed of an
    /// upstream of mean speed, in prompt tokens per second.
    TimePoint speedStepsUpdatedAt{};
    double meanPrefillSpeed = 0;
    PrefillRates prefillRates;
    /// The number of answers whose upstream reported its cached tokens, and the sums of their
    /// cached and of their prompt tokens.
    std::uint64_t answers = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t promptTokens = 0;
    /// Moving average of the uncached prompt tokens of a request, over all upstreams.
    double meanMissing = 0;
    /// Budget of tokens that may be computed although another upstream caches them. While it is
    /// negative, such tokens raise the cost of a candidate.
    double spreadTokens = 0;
    /// Budget of retries.
    double retries = 0;
};

/// Adds an upstream and returns its slot, or returns the slot that it already has. A slot that was
/// in use before is reset, so that nothing known about the earlier upstream applies to the new one.
Slot addUpstream(Fleet &fleet, const std::string &name, const std::string &model,
                 const std::string &weightsVersion, TimePoint now);

/// Removes an upstream, together with everything known about its cache.
void removeUpstream(Fleet &fleet, const std::string &name);

/// Records the incarnation that an upstream reports. A new incarnation starts with an empty cache,
/// no outstanding requests and no failure history except for the number of its ejections. Returns
/// whether the incarnation is new.
bool recordIncarnation(Fleet &fleet, Slot slot, std::uint64_t incarnation, TimePoint now);

/// A change of an engine's cache.
struct CacheEvent
{
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    bool stored = true;
    std::vector<BlockHash> blocks;
};

/// The result of applying a cache event.
enum class EventResult { Applied, Repeated, Gap, OtherIncarnation };

/// Records that the event stream of an incarnation was opened.
void recordStreamOpened(Fleet &fleet, Slot slot, std::uint64_t incarnation, TimePoint now);

/// Records that the event stream was lost. Until it is open again, the estimates of the cached
/// blocks decay.
void recordStreamLost(Fleet &fleet, Slot slot, TimePoint now);

/// Applies a cache event. An event after a gap is applied as well.
EventResult applyEvent(Fleet &fleet, Slot slot, const CacheEvent &event, TimePoint now);

/// Applies a load report. A report that is older than the latest one leaves the load as it is; a
/// report of another incarnation starts that incarnation.
void applyLoad(Fleet &fleet, Slot slot, const LoadReport &report, TimePoint now);

/// Returns the estimated probability, from 0 to 1, that the upstream of \p holder still caches the
/// block.
double holdProbability(const Fleet &fleet, const BlockHolder &holder, TimePoint now);

/// Returns, for each slot, the number of leading prompt tokens that the upstream is expected to
/// cache.
std::vector<double> expectedCachedTokens(const Fleet &fleet, const PrefixChain &chain,
                                         TimePoint now);

/// The estimated queue ahead of a request that is sent now.
struct Queue
{
    /// Uncached prompt tokens to be computed first.
    double tokens = 0;
    Duration wait{};
    /// The number of waiting requests, estimated from the tokens.
    double requests = 0;
};

/// Returns the outstanding request with a ticket, or a null pointer.
const Outstanding *outstandingFor(const UpstreamView &view, std::uint64_t ticket);

/// Returns the expected queue of an upstream: the queue in its last load report, plus the requests
/// sent since, minus what the upstream is estimated to have computed in the meantime.
Queue expectedQueue(const Fleet &fleet, Slot slot, TimePoint now);

/// Returns the uncached prompt tokens of the outstanding requests that have no first token yet.
double outstandingTokens(const UpstreamView &view);

/// Returns how many blocks an upstream evicts for each block that it stores, bounded to [0, 1].
double evictionShare(const Fleet &fleet, Slot slot);

/// Returns the estimated prefill speed of an upstream in prompt tokens per second. If its relative
/// speed is known, this is the mean speed of the fleet times that; otherwise it is estimated from
/// the upstream's own times to the first token.
double prefillSpeed(const Fleet &fleet, Slot slot);

/// Records that a request was sent, and returns its ticket.
std::uint64_t recordSent(Fleet &fleet, Slot slot, const PrefixChain &chain,
                         std::uint32_t missingTokens, Duration expectedFirstToken, TimePoint now);

/// Records a complete answer that was not streamed, so that the time of its first token is unknown.
void recordCompleteAnswer(Fleet &fleet, Slot slot, std::uint64_t ticket, TimePoint now);

/// Records the first token of a request.
void recordFirstToken(Fleet &fleet, Slot slot, std::uint64_t ticket, TimePoint now);

/// Records the end of a request. \p cachedTokens is the number of prompt tokens that the upstream
/// reports as reused from its cache, or negative if it does not report one.
void recordFinished(Fleet &fleet, Slot slot, std::uint64_t ticket, std::int64_t cachedTokens,
                    TimePoint now);

/// Records that an attempt was ended early because its deadline passed, it is retried elsewhere or
/// its caller disconnected. It counts as a failure only if it had no first token and the upstream
/// sent no first token for any request since the attempt was sent: a long queue is not a failure.
void recordGivenUp(Fleet &fleet, Slot slot, std::uint64_t ticket, TimePoint now);

/// Records a failed request.
void recordFailed(Fleet &fleet, Slot slot, std::uint64_t ticket, Failure failure, TimePoint now);

/// Ejects upstreams that are due, and makes those half-open whose ejection has expired. At most
/// Policy::maxEjectedShare of a model's upstreams are ejected as outliers. Must be called several
/// times a second.
void reviewHealth(Fleet &fleet, TimePoint now);

/// Adds Policy::retryShare of a retry to the budget. Called for each first attempt.
void earnRetry(Fleet &fleet);

/// Takes one retry from the budget. Returns false and takes nothing if less than one is left.
bool spendRetry(Fleet &fleet);

} // namespace kumquathaven::routing

#endif // KUMQUATHAVEN_ROUTING_FLEET_H
