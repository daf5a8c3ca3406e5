// Steps of a member that is a bucket's home or a candidate for it. Private to the library.

#ifndef KUMQUATHAVEN_LIMITS_BUCKET_H
#define KUMQUATHAVEN_LIMITS_BUCKET_H

#include "kumquathaven/limits/keeper.h"

namespace kumquathaven::limits {

/// Groups in a line that a candidate follows back to the newest state.
constexpr std::size_t maxHistory = 6;

/// The newest state that a majority holds, and when it was sent.
struct Confirmed
{
    std::uint64_t version = 0;
    TimePoint sentAt{};
};

// Candidates: candidate.cpp.

/// Becomes a candidate under a new term and asks the members of the bucket's groups.
void startPreparing(Keeper &keeper, const std::string &name, Bucket &bucket, TimePoint now,
                    Effects &effects);

/// Takes a line of groups from a member that knows it, if the own one has a gap.
void adoptHistory(const Keeper &keeper, const Promise &promise, Bucket &bucket, TimePoint now,
                  Effects &effects);

/// Notes that one who promised may spend what it has for a while.
void notePromisedSpending(const Keeper &keeper, Bucket &bucket, Duration maySpendFor,
                          TimePoint now);

/// Starts as the home once it is proved what is unspent.
void tryToStart(Keeper &keeper, const std::string &name, Bucket &bucket, TimePoint now,
                Effects &effects);

/// Sends the candidate's question again to members that have not answered.
void sendPrepare(const Keeper &keeper, const std::string &name, Bucket &bucket, TimePoint now,
                 Effects &effects);

/// Returns how long a spender must wait for the candidate.
Duration startsIn(const Keeper &keeper, const Bucket &bucket, TimePoint now);

/// Ends the role of a home or candidate, and holds what it knew.
void stepDown(Bucket &bucket, TimePoint now);

// Homes: home.cpp.

/// Fills the bucket up to the present time. Tokens in it and tokens still to be spent are never
/// more than the burst together.
void refill(Bucket &bucket, TimePoint now);

/// Gives the state a new version and sends it to the standbys.
void replicate(Keeper &keeper, const std::string &name, Bucket &bucket, TimePoint now,
               Effects &effects);

void noteAck(Bucket &bucket, const std::string &from, std::uint64_t version);

Confirmed confirmedVersion(const Bucket &bucket);

/// Returns whether an ask belongs to a session that ended before the one known.
bool isOlder(const TokenRequest &tokenRequest, const SpenderSession &session);

/// Takes the counters of an ask. Returns false if its session is closed.
bool applyReport(Keeper &keeper, Bucket &bucket, const std::string &from,
                 const TokenRequest &tokenRequest, TimePoint now);

/// Grants tokens to spenders in the order in which they came, and sends what may be sent.
void serveWaiters(Keeper &keeper, const std::string &name, Bucket &bucket, TimePoint now,
                  Effects &effects);

/// Sends the answers whose grants a majority holds.
void sendDue(Keeper &keeper, const std::string &name, Bucket &bucket, TimePoint now,
             Effects &effects);

/// Does what is due for a home or candidate.
void tickBucket(Keeper &keeper, const std::string &name, Bucket &bucket, TimePoint now, bool fresh,
                Effects &effects);

/// Returns whether time alone can change the bucket.
bool needsTicks(const Bucket &bucket);

} // namespace kumquathaven::limits

#endif // KUMQUATHAVEN_LIMITS_BUCKET_H
