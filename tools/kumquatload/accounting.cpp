#include "accounting.h"

#include "kumquathaven/base/hash.h"

#include <algorithm>
#include <unordered_map>

namespace kumquathaven::load {

namespace {

using KnownSince = std::unordered_map<std::uint64_t, Duration>;

bool counts(const CallResult &result)
{
    return result.result == "whole" && !result.isStorm;
}

// Calls a function with the hash of each prefix of a prompt and its tokens, shortest first, until
// it returns false.
template <typename Use>
void eachPrefix(const Arrival &arrival, Use use)
{
    std::uint64_t hash = arrival.customer;
    std::uint64_t bytes = 0;
    for (const Piece &it : arrival.prompt) {
        hash = combineHash(hash, it.number);
        bytes += it.bytes;
        if (!use(hash, bytes / bytesPerToken))
            return;
    }
}

// Returns since when each prefix is held or was held by some engine.
KnownSince firstTokens(const std::vector<Arrival> &arrivals, const std::vector<CallResult> &results)
{
    KnownSince known;
    for (const CallResult &it : results) {
        if (!counts(it))
            continue;
        const Arrival &arrival = arrivals.at(it.number);
        const Duration at = it.due + it.firstToken;
        eachPrefix(arrival, [&](std::uint64_t prefix, std::uint64_t) {
            const auto entry = known.emplace(prefix, at).first;
            entry->second = std::min(entry->second, at);
            return true;
        });
    }
    return known;
}

} // namespace

BucketAnswer askExactBucket(const RateLimit &limit, const std::vector<Spending> &spendings)
{
    BucketAnswer answer;
    double level = limit.burstTokens;
    Duration last{0};
    for (const Spending &it : spendings) {
        level =
            std::min(limit.burstTokens, level + toSeconds(it.at - last) * limit.tokensPerSecond);
        last = it.at;
        const auto wanted = static_cast<double>(it.tokens);
        const bool isGranted = limit.tokensPerSecond <= 0 || wanted <= level;
        if (!isGranted) {
            ++answer.refusals;
            continue;
        }
        level -= wanted;
        answer.grantedTokens += it.tokens;
    }
    return answer;
}

std::uint64_t recomputedTokens(const std::vector<Arrival> &arrivals,
                               const std::vector<CallResult> &results, Duration from)
{
    const KnownSince known = firstTokens(arrivals, results);
    std::uint64_t sum = 0;
    for (const CallResult &it : results) {
        if (!counts(it) || it.due < from)
            continue;
        const Arrival &arrival = arrivals.at(it.number);
        const Duration sentAt = it.attempts.back().at;
        std::uint64_t held = 0;
        eachPrefix(arrival, [&](std::uint64_t prefix, std::uint64_t tokens) {
            const bool isKnown = known.at(prefix) < sentAt;
            if (isKnown)
                held = tokens;
            return isKnown;
        });
        sum += held > it.cachedTokens ? held - it.cachedTokens : 0;
    }
    return sum;
}

} // namespace kumquathaven::load
