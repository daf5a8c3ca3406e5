// The constants of routing decisions, in one place so that a run can vary them.

#ifndef KUMQUATHAVEN_ROUTING_POLICY_H
#define KUMQUATHAVEN_ROUTING_POLICY_H

#include "kumquathaven/base/time.h"

#include <cstddef>
#include <cstdint>

namespace kumquathaven::routing {

/// How beliefs age, loads are estimated and upstreams are ejected.
struct Policy
{
    /// A belief that no event stream keeps up loses half its weight in this time.
    /// It is learned from removals, within bounds; this is where it starts.
    Duration estimateHalfLife = std::chrono::seconds(3);
    Duration minHalfLife = std::chrono::seconds(1);
    Duration maxHalfLife = std::chrono::seconds(30);
    /// An event stream counts as live while its upstream was heard of within this time.
    Duration streamTimeout = std::chrono::seconds(1);
    std::size_t maxBlocks = 65536;
    std::size_t maxHolders = 64;
    /// Gaps that are remembered for each upstream; beliefs from before them are dropped.
    std::size_t maxGaps = 16;
    /// Requests under way that are remembered for each upstream.
    std::size_t maxOutstanding = 4096;

    /// How much of this entry's own rate each other entry is assumed to send to an upstream.
    double otherEntriesWeight = 0.15;
    /// What computing costs the fleet, as a multiple of the time it takes the request itself.
    double recomputeWeight = 1.2;
    /// The same for each request in the queue, since as many will wait behind this one.
    double queueWeight = 2;
    /// What evicting a token for a computed one costs the fleet, as a multiple of the time that an
    /// average upstream takes to compute it.
    double evictionWeight = 1.0;
    /// Tokens that may be computed though another upstream holds them, as a share of all prompt
    /// tokens, and the most that can be saved up or overdrawn. Without this bound a busy fleet
    /// spreads, spreading makes it busier, and it does not recover.
    double spreadShare = 0.01;
    double spreadReserve = 20000;
    /// Overdrawn tokens that raise the price of each further one by the time that an average
    /// upstream takes to compute it.
    double spreadPriceTokens = 1000;
    /// Prompts are placed by the shortest prefix whose requests load an average upstream at most to
    /// this share.
    double placeLoad = 0.3;
    /// A prompt goes to its place if that costs at most this share of computing all of it, and this
    /// time, more than the best upstream.
    double placementSlack = 0.5;
    Duration placementSlackTime = std::chrono::milliseconds(5);

    /// Half-life of what was learned about waits before the first token.
    Duration waitHalfLife = std::chrono::seconds(5);
    /// What an attempt that was ended without a first token counts as, as a multiple of its wait:
    /// it would have waited longer.
    double endedWaitFactor = 1.5;
    /// Prompt tokens a second that an upstream is taken to compute at least, where a request's own
    /// work is told from its wait. Waits that were taken for work make the believed speed low.
    double minPrefillSpeed = 2500;
    /// Part of the time to its deadline that an attempt waits before it is tried elsewhere.
    double moveAfterShare = 0.5;
    /// The time that each token of a whole answer is allowed: twice the 49 ms that 95 in 100 are to
    /// keep.
    Duration tokenAllowance = std::chrono::milliseconds(98);

    /// Prompt tokens a second assumed of an upstream without a sample.
    double initialPrefillSpeed = 10000;
    /// Samples of fewer computed tokens say nothing about the speed.
    std::uint32_t minSpeedSample = 256;
    /// Weight that each sample of the speed takes from the earlier ones.
    double speedWeight = 0.05;
    /// Prompt tokens that a request is assumed to need computed before a sample.
    double initialMissing = 2000;

    /// Without any answer or report for this long an upstream counts as dead.
    Duration deadAfter = std::chrono::milliseconds(1500);
    /// Refused connections in a row after which an upstream counts as dead.
    std::uint32_t refusedLimit = 2;
    /// Share of failures, over recent requests, from which an upstream is an outlier.
    double errorLimit = 0.5;
    /// Requests before the share of failures or the slowness counts.
    std::uint32_t minSamples = 5;
    /// An upstream whose first tokens take this many times the expected time is an outlier.
    double slowLimit = 6;
    /// The least time beyond the expected one that counts as slow at all.
    Duration slowFloor = std::chrono::milliseconds(500);
    /// Largest share of the upstreams of one model that may be ejected as outliers.
    double maxEjectedShare = 0.3;
    Duration firstEjection = std::chrono::seconds(1);
    Duration maxEjection = std::chrono::seconds(30);

    /// Retries earned by each first attempt, and the most that can be saved up.
    double retryShare = 0.1;
    double retryReserve = 20;
};

} // namespace kumquathaven::routing

#endif // KUMQUATHAVEN_ROUTING_POLICY_H
