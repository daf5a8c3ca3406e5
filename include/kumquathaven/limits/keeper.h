// The side of an entry instance that keeps buckets, as a home or a standby.

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

/// What a home knows of one spender's session.
struct SpenderSession
{
    std::uint64_t incarnation = 0;
    std::uint64_t session = 0;
    /// Closed sessions stay, so that a late message cannot open them again.
    bool open = false;
    std::uint64_t granted = 0;
    std::uint64_t spent = 0;
    std::uint64_t returned = 0;
    std::uint64_t waived = 0;
    std::uint64_t waiveTarget = 0;
    std::uint64_t reserved = 0;
    std::uint64_t sequence = 0;
    TimePoint expiresAt{};
    /// An answer is owed, and may leave once a majority holds this version.
    bool answerDue = false;
    std::uint64_t answerVersion = 0;
    bool recall = false;
    TimePoint recalledAt{};
    /// What the spender still lacks, and until when it waits.
    std::uint64_t first = 0;
    std::uint64_t need = 0;
    std::uint64_t want = 0;
    TimePoint waitsUntil{};
    Duration retryAfter{};
};

/// A member's progress in following the home.
struct Follower
{
    std::uint64_t version = 0;
    /// When the newest acknowledged message was sent.
    TimePoint sentAt{};
};

/// When a version of the state went out to the standbys.
struct SentVersion
{
    std::uint64_t version = 0;
    TimePoint sentAt{};
};

/// One bucket on one member of its group.
struct Bucket
{
    enum class Role { Standby, Preparing, Confirming, Home };

    BucketLimits limits;
    /// The group that keeps the bucket.
    Group group;
    /// The present group and those before it, newest first, without a gap. Empty if the one before
    /// the present is not known.
    std::vector<Group> history;
    /// When this instance learned of the present group.
    TimePoint groupLearnedAt{};
    /// The customer is new: nothing can have been spent.
    bool isNew = false;
    /// No entry ever left: if all of them promise, nobody else can have spent.
    bool firstGeneration = false;
    std::uint32_t rank = 0;
    /// Whether this instance belongs to the present group.
    bool member = false;

    Term promised;
    HeldState held;
    /// When the held state was true.
    TimePoint heldAt{};
    TimePoint lastHomeMessageAt{};
    /// This instance spends nothing that a home of a smaller term grants from now on.
    Term fence;
    /// Until when this instance may spend what it was granted.
    TimePoint maySpendUntil{};

    Role role = Role::Standby;
    Term term;
    std::map<std::string, Promise> promises;
    /// When all that those who promised may still spend has ended.
    TimePoint promisedSpendingEndsAt{};
    TimePoint preparedAt{};
    /// When the unanswered messages of a candidate or home are sent again.
    TimePoint resendAt{};
    Duration resendAfter{};

    double level = 0;
    TimePoint refilledAt{};
    /// Tokens outstanding under the former home, until their sessions have ended.
    double legacyOutstanding = 0;
    TimePoint legacyUntil{};
    std::uint64_t version = 0;
    std::deque<SentVersion> sent;
    std::map<std::string, Follower> followers;
    std::map<std::string, SpenderSession> sessions;
    /// Spenders that lack tokens, in order of arrival, and those that are owed an answer.
    std::deque<std::string> waiters;
    std::set<std::string> pendingAnswers;
    /// Sum of open sessions' tokens that may still be spent.
    double outstanding = 0;
    /// When refunds may be waived again, and when the state is next replicated unasked.
    TimePoint nextWaiveAt{};
    TimePoint nextReplicationAt{};
};

/// State of the keeping side of one instance.
struct Keeper
{
    std::string name;
    std::uint64_t incarnation = 0;
    Config config;
    std::uint64_t epoch = 0;
    /// The present start of each entry's process. Messages of others are late.
    std::map<std::string, std::uint64_t> incarnations;
    /// Every process that is no longer among the entries has ended, as is proved.
    bool othersEnded = false;
    TimePoint provenAt{};
    std::map<std::string, Bucket> buckets;
    /// Buckets with work for tickKeeper().
    std::set<std::string> active;
};

/// Takes a set of entries and the limits of all buckets. \p provenAt is the time of the freshness
/// proof; a home acts only while it is young.
void configureKeeper(Keeper &keeper, const catalogue::Instances &instances,
                     const std::map<std::string, BucketLimits> &limits, TimePoint provenAt,
                     TimePoint now, Effects &effects);

/// Takes a message from another instance or from the own spender.
void handleTokenRequest(Keeper &keeper, const std::string &from, const TokenRequest &tokenRequest,
                        TimePoint now, Effects &effects);
void handleReplicate(Keeper &keeper, const std::string &from, const Replicate &replicate,
                     TimePoint now, Effects &effects);
void handleReplicaAck(Keeper &keeper, const std::string &from, const ReplicaAck &ack, TimePoint now,
                      Effects &effects);
/// Returns whether a grant of a home of \p term may be spent here.
bool acceptsGrant(const Keeper &keeper, const std::string &bucket, const Term &term);
/// Notes until when this instance's spender may spend what it was granted of a bucket.
void recordMaySpendUntil(Keeper &keeper, const std::string &bucket, TimePoint until);
void handlePrepare(Keeper &keeper, const std::string &from, const Prepare &prepare, TimePoint now,
                   Effects &effects);
void handlePromise(Keeper &keeper, const std::string &from, const Promise &promise, TimePoint now,
                   Effects &effects);

/// Repeats unanswered messages, renews leases and ends sessions. Called every few milliseconds.
void tickKeeper(Keeper &keeper, TimePoint now, Effects &effects);

} // namespace kumquathaven::limits

#endif // KUMQUATHAVEN_LIMITS_KEEPER_H
