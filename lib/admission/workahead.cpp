#include "kumquathaven/admission/workahead.h"

#include <algorithm>

namespace kumquathaven::admission {

namespace {

constexpr std::size_t firstAttempt = static_cast<std::size_t>(AttemptKind::First);

/// The request whose wait is estimated.
struct Subject
{
    Rank rank;
    /// The customer's tag when the request is served.
    double tag = 0;
    double due = 0;
    double horizonSeconds = 0;
    TimePoint now{};
};

bool isBefore(Rank a, Rank b)
{
    return a.serviceClass != b.serviceClass ? a.serviceClass < b.serviceClass
                                            : a.attempt < b.attempt;
}

double arrivingTokens(const CustomerWork &customer, const Policy &policy, Rank rank,
                      const Subject &subject)
{
    if (rank.attempt != firstAttempt)
        return 0;
    const DecayingSum &accepted = customer.accepted[rank.serviceClass];
    return ratePerSecond(accepted, subject.now, policy.halfLife) * subject.horizonSeconds;
}

/// Returns the tag up to which another customer's requests of a rank are served before the subject.
double maxTagBefore(const Policy &policy, Rank rank, const Subject &subject)
{
    if (isBefore(rank, subject.rank))
        return subject.tag + policy.maxAheadTokens[rank.serviceClass];
    if (isBefore(subject.rank, rank))
        return subject.tag - policy.maxAheadTokens[subject.rank.serviceClass];
    return subject.tag;
}

/// Returns the tokens of one rank of another customer that wait, or arrive in time to be served
/// before the subject, without regard to fairness.
double maxTokensOfOther(const Policy &policy, const CustomerWork &other, Rank rank,
                        const Subject &subject)
{
    const bool isLaterRetry = rank.attempt != firstAttempt && isBefore(subject.rank, rank);
    if (isLaterRetry)
        return 0;
    return static_cast<double>(at(other.loads, rank).tokens)
        + arrivingTokens(other, policy, rank, subject);
}

/// Adds the tokens of another customer that are served before the subject. Each rank bounds the
/// customer's tag; later ranks have lower bounds, and the tokens of all ranks count against the
/// same tag.
void addOther(WorkAhead &ahead, const WaitingWork &work, const Policy &policy,
              const CustomerWork &other, const Subject &subject)
{
    const double tag = tagForNewWork(work, policy, other, subject.due);
    double sum = 0;
    for (std::size_t n = classCount; n-- > 0;) {
        for (std::size_t attempt = attemptCount; attempt-- > 0;) {
            const Rank rank{n, attempt};
            const double tokensWithinTag =
                (maxTagBefore(policy, rank, subject) - tag) * weightOf(other);
            const double maxSum = sum + maxTokensOfOther(policy, other, rank, subject);
            const double newSum = std::max(sum, std::min(maxSum, tokensWithinTag));
            ahead.sameClassTokens += n == subject.rank.serviceClass ? newSum - sum : 0;
            sum = newSum;
        }
    }
    ahead.tokens += sum;
}

/// Returns the tokens of one rank of the request's own customer that are served before it.
double ownTokensAhead(const Policy &policy, const CustomerWork &own, Rank rank,
                      const Subject &subject)
{
    if (isBefore(subject.rank, rank))
        return 0;
    const double waiting = static_cast<double>(at(own.loads, rank).tokens);
    const bool overtakes = isBefore(rank, subject.rank);
    return waiting + (overtakes ? arrivingTokens(own, policy, rank, subject) : 0);
}

/// Adds the tokens of the request's own customer that are served before it.
void addOwn(WorkAhead &ahead, const Policy &policy, const CustomerWork &own, const Subject &subject)
{
    for (std::size_t n = 0; n <= subject.rank.serviceClass; ++n) {
        for (std::size_t attempt = 0; attempt < attemptCount; ++attempt) {
            const double tokens = ownTokensAhead(policy, own, {n, attempt}, subject);
            ahead.tokens += tokens;
            ahead.sameClassTokens += n == subject.rank.serviceClass ? tokens : 0;
        }
    }
}

} // namespace

WorkAhead workAhead(const WaitingWork &work, const Policy &policy, const Request &request,
                    double horizonSeconds, TimePoint now)
{
    WorkAhead ahead;
    Subject subject{rankOf(request), 0, minWaitingTag(work), horizonSeconds, now};
    subject.tag = subject.due;
    const auto own = work.customers.find(request.customer);
    if (own != work.customers.end()) {
        addOwn(ahead, policy, own->second, subject);
        subject.tag = tagForNewWork(work, policy, own->second, subject.due)
            + ahead.tokens / weightOf(own->second);
    }
    for (const auto &[name, other] : work.customers) {
        if (name != request.customer)
            addOther(ahead, work, policy, other, subject);
    }
    return ahead;
}

} // namespace kumquathaven::admission
