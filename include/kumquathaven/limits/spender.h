// The part of an entry instance that spends tokens. It reserves the tokens of requests from the
// slices that the buckets' homes grant to the instance.

#ifndef KUMQUATHAVEN_LIMITS_SPENDER_H
#define KUMQUATHAVEN_LIMITS_SPENDER_H

#include "kumquathaven/catalogue/instances.h"
#include "kumquathaven/limits/config.h"
#include "kumquathaven/limits/effects.h"
#include "kumquathaven/limits/group.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace kumquathaven::limits {

/// The tokens of one bucket that an instance holds. The counters belong to one session with one
/// home, and mean the same as in TokenRequest and Answer.
struct Account
{
    std::vector<GroupMember> group;
    std::uint64_t groupEpoch = 0;
    /// Position in the group of the member to which requests are sent.
    std::uint32_t target = 0;
    Term term;
    std::uint64_t session = 0;
    std::uint64_t carried = 0;
    std::uint64_t granted = 0;
    std::uint64_t spent = 0;
    std::uint64_t returned = 0;
    std::uint64_t waived = 0;
    /// Tokens that each running request may still give back, by reservation, oldest first.
    std::map<std::uint64_t, std::uint64_t> possibleRefunds;
    std::uint64_t reserved = 0;
    /// When the session expires. No token is spent from then on.
    TimePoint validUntil{};
    /// Whether the home has answered in this session.
    bool confirmed = false;

    /// Sequence of the newest request to the home.
    std::uint64_t sequence = 0;
    /// Sequence of the newest request that was answered.
    std::uint64_t lastAnswered = 0;
    /// When the last requests were sent, indexed by sequence modulo the size.
    std::array<TimePoint, 8> sentAt{};
    TimePoint lastSentAt{};
    /// When to send the next request after an answer that granted nothing. Unset by default.
    TimePoint retryAt{};
    /// The sum of granted tokens that the last request aimed at.
    std::uint64_t requestedTotal = 0;
    /// Requests without a useful answer since the last useful one.
    std::uint32_t unanswered = 0;
    /// Whether counters have changed since the last report.
    bool dirty = false;
    /// Whether the home cannot refill the bucket before it receives the next report.
    bool refillBlocked = false;
    /// When the last new tokens were granted.
    TimePoint grantedAt{};
    /// The bucket's rate in tokens per second, from which a refused caller's retry delay is
    /// computed.
    double rate = 0;

    /// Recent average of the tokens per second reserved here, as of usageAt.
    double usage = 0;
    TimePoint usageAt{};
    /// Average cost of a request, in tokens.
    double requestCost = 0;
    /// Reservations of the waiting requests, in order of arrival.
    std::deque<std::uint64_t> waiting;
};

/// The maximum cost of a request, in tokens.
struct Cost
{
    /// Tokens of the prompt, all of which are used once the request runs.
    std::uint64_t prompt = 0;
    /// The maximum number of output tokens. Unused ones are returned.
    std::uint64_t maxOutput = 0;

    /// Returns the tokens to reserve.
    std::uint64_t total() const { return prompt + maxOutput; }
};

/// A request's reservation of tokens in one or more buckets.
struct Reservation
{
    std::vector<std::string> buckets;
    Cost cost;
    /// Whether the tokens are reserved. Otherwise the request waits for them.
    bool admitted = false;
    /// Whether the request runs, so that its prompt is finally spent.
    bool started = false;
    /// When the request is refused if it still waits.
    TimePoint deadline{};
};

/// The state of the spender of one instance. Accounts are keyed by bucket.
struct Spender
{
    std::string name;
    std::uint64_t incarnation = 0;
    Config config;
    std::shared_ptr<const catalogue::Instances> instances;
    std::map<std::string, Account> accounts;
    std::map<std::uint64_t, Reservation> reservations;
    std::uint64_t lastReservation = 0;
    std::uint64_t lastSession = 0;
    std::uint32_t waitingCount = 0;
};

/// A bucket that a request draws on, with its limits.
struct Draw
{
    std::string bucket;
    BucketLimits limits;
};

/// The immediate decision on a request. The decision on a waiting request follows as a Resolution.
struct Decision
{
    enum class Kind { Admitted, Waiting, Refused };
    Kind kind = Kind::Refused;
    /// Identifies the reservation in startRun(), settle() and Resolution. Zero if refused.
    std::uint64_t reservation = 0;
    /// The error of a refused request.
    std::optional<Error> refusal;
};

/// Reserves \p cost, prompt plus maximum output, in every bucket of \p draws or in none. Buckets
/// without a rate are not limited. The refusal is rateLimited with a time to retry after, tooLarge
/// if the request is larger than a bucket's burst, or unavailable if no instance keeps a bucket.
Decision reserve(Spender &spender, const std::vector<Draw> &draws, const Cost &cost, TimePoint now,
                 Effects &effects);

/// Records that a request runs. Its prompt is finally spent, and only output may be refunded.
void startRun(Spender &spender, std::uint64_t reservation);

/// Ends a reservation. \p used is the prompt and output that the engine reported, in tokens; unused
/// tokens can be reserved again. For a request that did not run it is zero.
void settle(Spender &spender, std::uint64_t reservation, std::uint64_t used, TimePoint now,
            Effects &effects);

/// Handles an answer from a member of a bucket's group.
void handleAnswer(Spender &spender, const std::string &from, const Answer &answer, TimePoint now,
                  Effects &effects);

/// Sends reports, resends unanswered requests and refuses requests that have waited too long.
/// Called every few milliseconds.
void tickSpender(Spender &spender, TimePoint now, Effects &effects);

} // namespace kumquathaven::limits

#endif // KUMQUATHAVEN_LIMITS_SPENDER_H
