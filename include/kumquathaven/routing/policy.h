// The parameters of routing decisions, in one place so that an experiment can vary them.

#ifndef KUMQUATHAVEN_ROUTING_POLICY_H
#define KUMQUATHAVEN_ROUTING_POLICY_H

#include "kumquathaven/base/time.h"

#include <cstddef>
#include <cstdint>

namespace kumquathaven::routing {

/// Parameters of cache estimates, load estimates, placement, ejection and retries.
struct Policy
{
    /// Half-life of the estimate that an upstream caches a block, while no event stream keeps it up
    /// to date. It is adapted to the lifetime of blocks that reported removals show, between
    /// minHalfLife and maxHalfLife; this is the initial value.
    Duration estimateHalfLife = std::chrono::seconds(3);
    Duration minHalfLife = std::chrono::seconds(1);
    Duration maxHalfLife = std::chrono::seconds(30);
    /// An event stream counts as live while anything was received from its upstream within this
    /// time.
    Duration streamTimeout = std::chrono::seconds(1);
    /// Maximum number of blocks in the prefix index, and of holders of each block.
    std::size_t maxBlocks = 65536;
    std::size_t maxHolders = 64;
    /// Event gaps that are kept for each upstream. Estimates from before the oldest one are
    /// ignored.
    std::size_t maxGaps = 16;
    /// Outstanding requests that are kept for each upstream; the oldest are dropped.
    std::size_t maxOutstanding = 4096;

    /// The rate at which each other entry is assumed to send work to an upstream, as a multiple of
    /// this entry's own rate.
    double otherEntriesWeight = 0.15;
    /// Cost to the fleet of computing uncached tokens, as a multiple of the time that it takes.
    double recomputeWeight = 1.2;
    /// Additional multiple for each request in the queue, since as many requests will wait behind
    /// this one.
    double queueWeight = 2;
    /// Cost to the fleet of evicting a token to make room for a computed one, as a multiple of the
    /// time that an average upstream takes to compute a token.
    double evictionWeight = 1.0;
    /// Budget of tokens that may be computed although another upstream caches them: the share of
    /// all prompt tokens that is added to it, and the maximum in tokens by which it can be positive
    /// or negative. Without this bound a busy fleet spreads its prefixes, the recomputation makes
    /// it busier, and it does not recover.
    double spreadShare = 0.01;
    double spreadReserve = 20000;
    /// Tokens of overdraft of that budget that raise the cost of each further such token by the
    /// time that an average upstream takes to compute a token.
    double spreadPriceTokens = 1000;
    /// Prompts are placed by their shortest prefix whose requests use at most this share of an
    /// average upstream's capacity.
    double placeLoad = 0.3;
    /// A prompt is sent to the upstream that hashing places it on if the cost there exceeds the
    /// lowest one by at most placementSlack of the time to compute the complete prompt plus
    /// placementSlackTime.
    double placementSlack = 0.5;
    Duration placementSlackTime = std::chrono::milliseconds(5);

    /// Number of upstreams of which the best one gets a request that may go anywhere; zero to
    /// choose among all.
    std::size_t drawnUpstreams = 3;

    /// Half-life of estimates of the wait before the first token.
    Duration waitHalfLife = std::chrono::seconds(5);
    /// Factor on the wait of an attempt that was ended without a first token, since it would have
    /// waited longer.
    double endedWaitFactor = 1.5;
    /// Lower bound, in prompt tokens per second, on the prefill speed that the service time of a
    /// request is computed with. Waits that were mistaken for service time make the estimated speed
    /// too low.
    double minPrefillSpeed = 2500;
    /// Share of the time to its deadline that an attempt waits before it is retried elsewhere.
    double moveAfterShare = 0.5;
    /// Time allowed for each token of an answer that is not streamed: twice the objective of 49 ms
    /// at the 95th percentile.
    Duration tokenAllowance = std::chrono::milliseconds(98);

    /// Prefill speed, in prompt tokens per second, assumed of an upstream without samples.
    double initialPrefillSpeed = 10000;
    /// Samples of fewer computed tokens are ignored, since they do not show the speed.
    std::uint32_t minSpeedSample = 256;
    /// Weight that each speed sample takes from the earlier ones.
    double speedWeight = 0.05;
    /// Uncached prompt tokens assumed of a request before the first sample.
    double initialMissing = 2000;

    /// An upstream from which nothing was received for longer than this counts as dead.
    Duration deadAfter = std::chrono::milliseconds(1500);
    /// Failed connections in a row after which an upstream counts as dead.
    std::uint32_t refusedLimit = 2;
    /// Share of failures among recent requests from which an upstream is an outlier.
    double errorLimit = 0.5;
    /// Requests needed before an upstream can be an outlier.
    std::uint32_t minSamples = 5;
    /// An upstream whose first tokens take this many times the expected time is an outlier.
    double slowLimit = 6;
    /// A first token counts as slow only if it exceeds its expected time by more than this.
    Duration slowFloor = std::chrono::milliseconds(500);
    /// Maximum share of the upstreams of one model that may be ejected as outliers.
    double maxEjectedShare = 0.3;
    /// The length of an ejection doubles from the first value up to the second.
    Duration firstEjection = std::chrono::seconds(1);
    Duration maxEjection = std::chrono::seconds(30);

    /// Retry budget: the retries that each first attempt adds to it, and its maximum.
    double retryShare = 0.1;
    double retryReserve = 20;
};

} // namespace kumquathaven::routing

#endif // KUMQUATHAVEN_ROUTING_POLICY_H
