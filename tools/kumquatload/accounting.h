// What a load should have brought: what one exact bucket lets a customer spend, and which prompt
// tokens were computed again.

#ifndef KUMQUATHAVEN_TOOLS_KUMQUATLOAD_ACCOUNTING_H
#define KUMQUATHAVEN_TOOLS_KUMQUATLOAD_ACCOUNTING_H

#include "caller.h"

#include <cstdint>
#include <vector>

namespace kumquathaven::load {

/// A customer's rate and burst as the catalogue has them. A rate of zero is no limit.
struct RateLimit
{
    double tokensPerSecond = 0;
    double burstTokens = 0;
};

/// Tokens that are asked for at a moment.
struct Spending
{
    Duration at{0};
    std::uint64_t tokens = 0;
};

/// What one bucket, asked without delay in the order of time, answers.
struct BucketAnswer
{
    std::uint64_t grantedTokens = 0;
    std::uint64_t refusals = 0;
};

/// Returns the answers of a bucket that is full at the start. \p spendings are in order.
BucketAnswer askExactBucket(const RateLimit &limit, const std::vector<Spending> &spendings);

/// Returns the prompt tokens that were computed though a request that had its first token before
/// had the same prefix, over all whole answers without those of a storm to requests due at \p from
/// or later. The cause may be the choice of another engine or an eviction. \p arrivals has the
/// prompts by number.
std::uint64_t recomputedTokens(const std::vector<Arrival> &arrivals,
                               const std::vector<CallResult> &results, Duration from);

} // namespace kumquathaven::load

#endif // KUMQUATHAVEN_TOOLS_KUMQUATLOAD_ACCOUNTING_H
