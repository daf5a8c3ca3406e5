// The side of an entry instance that spends tokens: reservations against slices it was granted.

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

/// Tokens that an instance holds of one bucket. The counters belong to one session with one home.
struct Account
{
    std::vector<GroupMember> group;
    std::uint64_t groupEpoch = 0;
    /// Place in the group of the member that is asked.
    std::uint32_t target = 0;
    Term term;
    std::uint64_t session = 0;
    std::uint64_t carried = 0;
    std::uint64_t granted = 0;
    std::uint64_t spent = 0;
    std::uint64_t returned = 0;
    std::uint64_t waived = 0;
    /// Refunds that running requests may still bring, by reservation; the oldest comes first.
    std::map<std::uint64_t, std::uint64_t> possibleRefunds;
    std::uint64_t reserved = 0;
    /// No token is spent from then on.
    TimePoint validUntil{};
    /// Whether the home has answered in this session.
    bool confirmed = false;

    std::uint64_t sequence = 0;
    std::uint64_t lastAnswered = 0;
    /// When the last asks were sent, by sequence modulo the size.
    std::array<TimePoint, 8> sentAt{};
    TimePoint lastSentAt{};
    /// Asks again then, if it is set.
    TimePoint retryAt{};
    /// The sum of granted tokens that the home was last asked for.
    std::uint64_t requestedTotal = 0;
    /// Members tried since the last answer.
    std::uint32_t unanswered = 0;
    /// Counters changed since the last report.
    bool dirty = false;
    /// The home cannot refill the bucket before it has the report.
    bool refillBlocked = false;
    TimePoint grantedAt{};
    /// The bucket's rate, for the time a refused caller is told to wait.
    double rate = 0;

    /// Tokens a second reserved here of late, and when that was last brought up to date.
    double usage = 0;
    TimePoint usageAt{};
    /// Average cost of a request.
    double requestCost = 0;
    /// Waiting requests in order of arrival.
    std::deque<std::uint64_t> waiting;
};

/// What a request may cost, in tokens.
struct Cost
{
    /// Certain to be used once the request runs.
    std::uint64_t prompt = 0;
    /// Used at most, and returned as far as it is not.
    std::uint64_t maxOutput = 0;

    /// Tokens that are reserved.
    std::uint64_t total() const { return prompt + maxOutput; }
};

/// A request's hold on tokens of one or more buckets.
struct Reservation
{
    std::vector<std::string> buckets;
    Cost cost;
    bool admitted = false;
    /// The prompt is spent for good.
    bool started = false;
    /// When a waiting request is refused.
    TimePoint deadline{};
};

/// State of the spending side of one instance.
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

/// The first answer to a request. It is admitted, refused or waits until a Resolution.
struct Decision
{
    enum class Kind { Admitted, Waiting, Refused };
    Kind kind = Kind::Refused;
    /// Names the reservation in settle() and Resolution.
    std::uint64_t reservation = 0;
    std::optional<Error> refusal;
};

/// Reserves the whole \p cost, prompt plus largest output, in every bucket of \p draws or in none.
/// Buckets without a rate are not limited. The refusal is rateLimited and says when to come back,
/// or tooLarge if the request is larger than a burst.
Decision reserve(Spender &spender, const std::vector<Draw> &draws, const Cost &cost, TimePoint now,
                 Effects &effects);

/// Tells that a request runs: its prompt is spent for good, and only output may come back.
void startRun(Spender &spender, std::uint64_t reservation);

/// Ends a reservation. \p used is the prompt and output that the engine reported; the rest is free
/// again. A request that did not run used nothing.
void settle(Spender &spender, std::uint64_t reservation, std::uint64_t used, TimePoint now,
            Effects &effects);

/// Takes a home's answer.
void handleAnswer(Spender &spender, const std::string &from, const Answer &answer, TimePoint now,
                  Effects &effects);

/// Sends reports, repeats unanswered asks and refuses requests that waited too long. Called every
/// few milliseconds.
void tickSpender(Spender &spender, TimePoint now, Effects &effects);

} // namespace kumquathaven::limits

#endif // KUMQUATHAVEN_LIMITS_SPENDER_H
