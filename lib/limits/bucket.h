// The protocol steps of a bucket's home and of candidates for it. Private to the library.

#ifndef KUMQUATHAVEN_LIMITS_BUCKET_H
#define KUMQUATHAVEN_LIMITS_BUCKET_H

#include "kumquathaven/limits/keeper.h"

namespace kumquathaven::limits {

/// The maximum number of successive groups that a candidate follows back to the newest state.
constexpr std::size_t maxHistory = 6;

/// The newest version of the state that a majority holds, and when the home sent it.
struct Confirmed
{
    std::uint64_t version = 0;
    TimePoint sentAt{};
};

// Candidates: candidate.cpp.

/// Becomes a candidate under a new term and sends Prepare to the members of the bucket's groups.
void startPreparing(Keeper &keeper, const std::string &name, Bucket &bucket, TimePoint now,
                    Effects &effects);

/// Adopts the history of groups from a promise if this instance's own history has a gap.
void adoptHistory(const Keeper &keeper, const Promise &promise, Bucket &bucket, TimePoint now,
                  Effects &effects);

/// Records that a member that promised may spend its tokens of earlier homes for \p maySpendFor.
void recordPromisedSpending(const Keeper &keeper, Bucket &bucket, Duration maySpendFor,
                            TimePoint now);

/// Starts as the home once the promises prove how many tokens are unspent.
void startIfProven(Keeper &keeper, const std::string &name, Bucket &bucket, TimePoint now,
                   Effects &effects);

/// Sends Prepare to the members that have not answered the candidate.
void sendPrepare(const Keeper &keeper, const std::string &name, Bucket &bucket, TimePoint now,
                 Effects &effects);

/// Returns how long a spender must wait until the candidate may have become the home.
Duration timeUntilStart(const Keeper &keeper, const Bucket &bucket, TimePoint now);

/// Makes a home or candidate a standby. A home keeps its state as the held state.
void stepDown(Bucket &bucket, TimePoint now);

// Homes: home.cpp.

/// Refills the bucket up to the present time. The tokens in it and the outstanding tokens together
/// never exceed the burst.
void refill(Bucket &bucket, TimePoint now);

/// Gives the state a new version and sends it to the standbys.
void replicate(Keeper &keeper, const std::string &name, Bucket &bucket, TimePoint now,
               Effects &effects);

/// Records that a member has acknowledged a version of the state.
void recordAck(Bucket &bucket, const std::string &from, std::uint64_t version);

/// Returns the newest version that a majority of the group has acknowledged.
Confirmed confirmedVersion(const Bucket &bucket);

/// Returns whether a request belongs to an older session than the recorded one.
bool isOlder(const TokenRequest &tokenRequest, const SpenderSession &session);

/// Applies the counters of a request. Returns false if its session is closed.
bool applyReport(Keeper &keeper, Bucket &bucket, const std::string &from,
                 const TokenRequest &tokenRequest, TimePoint now);

/// Grants tokens to the waiting spenders in the order of their arrival, and sends the answers that
/// may be sent.
void serveWaiters(Keeper &keeper, const std::string &name, Bucket &bucket, TimePoint now,
                  Effects &effects);

/// Sends the pending answers whose grants a majority holds.
void sendConfirmedAnswers(Keeper &keeper, const std::string &name, Bucket &bucket, TimePoint now,
                          Effects &effects);

/// Runs the periodic work of a home or candidate. \p fresh tells whether the freshness proof is
/// young enough.
void tickBucket(Keeper &keeper, const std::string &name, Bucket &bucket, TimePoint now, bool fresh,
                Effects &effects);

/// Returns whether the bucket can change by the passing of time alone, so that it needs periodic
/// calls of tickBucket().
bool needsTicks(const Bucket &bucket);

} // namespace kumquathaven::limits

#endif // KUMQUATHAVEN_LIMITS_BUCKET_H
