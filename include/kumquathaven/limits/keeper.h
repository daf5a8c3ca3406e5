// The part of an entry instance that keeps buckets, as their home or as a standby.

#ifndef KUMQUATHAVEN_LIMITS_KEEPER_H
#define KUMQUATHAVEN_LIMITS_KEEPER_H

#include "kumquathaven/catalogue/instances.h"
#include "kumquathaven/limits/config.h"
#include "kumquathaven/limits/effects.h"
#include "kumquathaven/limits/group.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace kumquathaven::limits {

/// A home's record of one spender's session. Fields that TokenRequest or Answer have as well mean
/// the same here.
struct SpenderSession
{
    std::uint64_t incarnation = 0;
    std::uint64_t session = 0;
    /// Closed sessions stay in the map, so that a late message cannot open them again.
    bool open = false;
    std::uint64_t granted = 0;
    std::uint64_t spent = 0;
    std::uint64_t returned = 0;
    std::uint64_t waived = 0;
    /// Refunds that the home wants the spender to have waived, counted from the session's start.
    std::uint64_t waiveTarget = 0;
    std::uint64_t reserved = 0;
    std::uint64_t sequence = 0;
    TimePoint expiresAt{};
    /// Whether the spender awaits an answer. It is sent once a majority holds answerVersion.
    bool answerDue = false;
    std::uint64_t answerVersion = 0;
    /// Whether the next answer asks the spender to return its unspent tokens.
    bool recall = false;
    TimePoint recalledAt{};
    /// The tokens that the spender still needs, as in its TokenRequest, and when it stops waiting.
    std::uint64_t first = 0;
    std::uint64_t need = 0;
    std::uint64_t want = 0;
    TimePoint waitsUntil{};
    Duration retryAfter{};
};

/// The newest version of the home's state that a member has acknowledged.
struct Follower
{
    std::uint64_t version = 0;
    /// When the home sent that version.
    TimePoint sentAt{};
};

/// The time at which the home sent a version of its state to the standbys.
struct SentVersion
{
    std::uint64_t version = 0;
    TimePoint sentAt{};
};

/// The state of one bucket on one instance.
struct Bucket
{
    enum class Role { Standby, Preparing, Confirming, Home };

    BucketLimits limits;
    /// The group that keeps the bucket at present.
    Group group;
    /// The present group and its predecessors, newest first, without a gap. Empty if the present
    /// group's predecessor is not known.
    std::vector<Group> history;
    /// When this instance received the present group.
    TimePoint groupLearnedAt{};
    /// Whether the customer is new, so that nothing can have been spent.
    bool isNew = false;
    /// Whether no entry has ever departed. If all entries promise then, no other process can have
    /// spent tokens.
    bool firstGeneration = false;
    /// The position of this instance in the present group, if it is a member.
    std::uint32_t rank = 0;
    /// Whether this instance belongs to the present group.
    bool member = false;

    /// The largest term that this instance follows.
    Term promised;
    /// The newest state that this instance holds.
    HeldState held;
    /// When the held state was current.
    TimePoint heldAt{};
    /// When the last message from a home or candidate arrived.
    TimePoint lastHomeMessageAt{};
    /// Fencing term: this instance accepts no grant from a home of a smaller term.
    Term fence;
    /// When the tokens that this instance's spender was granted expire.
    TimePoint maySpendUntil{};

    Role role = Role::Standby;
    /// The term under which this instance is, or was last, a candidate or the home.
    Term term;
    /// The promises that a candidate has received, by the member's name.
    std::map<std::string, Promise> promises;
    /// When the grants of earlier homes to all members that promised have expired.
    TimePoint promisedSpendingEndsAt{};
    /// When this instance became a candidate.
    TimePoint preparedAt{};
    /// When a candidate or home resends its unanswered messages, and the interval after that.
    TimePoint resendAt{};
    Duration resendAfter{};

    /// Tokens in the bucket that are not granted.
    double level = 0;
    TimePoint refilledAt{};
    /// Tokens outstanding under former homes. They count until legacyUntil, when the sessions with
    /// those homes have ended.
    double legacyOutstanding = 0;
    TimePoint legacyUntil{};
    /// The newest version of the home's state.
    std::uint64_t version = 0;
    /// Recently sent versions, oldest first.
    std::deque<SentVersion> sent;
    /// The members' progress in replication, by name.
    std::map<std::string, Follower> followers;
    /// The sessions with the home, by the spender's name.
    std::map<std::string, SpenderSession> sessions;
    /// Names of the spenders that need tokens, in order of arrival.
    std::deque<std::string> waiters;
    /// Names of the spenders that await an answer.
    std::set<std::string> pendingAnswers;
    /// Tokens that the open sessions may still spend.
    double outstanding = 0;
    /// When the home may next ask spenders to waive refunds.
    TimePoint nextWaiveAt{};
    /// When the home replicates its state even if it has not changed.
    TimePoint nextReplicationAt{};
};

/// The state of the keeper of one instance.
struct Keeper
{
    std::string name;
    std::uint64_t incarnation = 0;
    Config config;
    std::uint64_t epoch = 0;
    /// The current incarnation of each entry. Messages from other incarnations are late.
    std::map<std::string, std::uint64_t> incarnations;
    /// Whether every process that is no longer among the entries is proven to have ended.
    bool othersEnded = false;
    /// The time of the newest freshness proof.
    TimePoint provenAt{};
    std::map<std::string, Bucket> buckets;
    /// Names of the buckets that tickKeeper() must visit.
    std::set<std::string> active;
};

/// Applies a set of entries and the limits of all buckets. \p provenAt is the time of the freshness
/// proof. A home acts only while the proof is no older than Config::freshnessBound.
void configureKeeper(Keeper &keeper, const catalogue::Instances &instances,
                     const std::map<std::string, BucketLimits> &limits, TimePoint provenAt,
                     TimePoint now, Effects &effects);

/// Handles a token request from another instance's spender or from this instance's own.
void handleTokenRequest(Keeper &keeper, const std::string &from, const TokenRequest &tokenRequest,
                        TimePoint now, Effects &effects);
/// Handles the state that a home replicates, and acknowledges it.
void handleReplicate(Keeper &keeper, const std::string &from, const Replicate &replicate,
                     TimePoint now, Effects &effects);
/// Handles a member's acknowledgement, and sends the answers whose grants a majority holds now.
void handleReplicaAck(Keeper &keeper, const std::string &from, const ReplicaAck &ack, TimePoint now,
                      Effects &effects);
/// Returns whether this instance may spend a grant from a home of \p term.
bool acceptsGrant(const Keeper &keeper, const std::string &bucket, const Term &term);
/// Records that this instance's spender may spend its granted tokens of a bucket until \p until.
void recordMaySpendUntil(Keeper &keeper, const std::string &bucket, TimePoint until);
/// Handles a candidate's request, and answers it with a promise.
void handlePrepare(Keeper &keeper, const std::string &from, const Prepare &prepare, TimePoint now,
                   Effects &effects);
/// Handles a member's promise, and starts as the home if the promises suffice.
void handlePromise(Keeper &keeper, const std::string &from, const Promise &promise, TimePoint now,
                   Effects &effects);

/// Resends unanswered messages, renews leases and ends expired sessions. Called every few
/// milliseconds.
void tickKeeper(Keeper &keeper, TimePoint now, Effects &effects);

} // namespace kumquathaven::limits

#endif // KUMQUATHAVEN_LIMITS_KEEPER_H
