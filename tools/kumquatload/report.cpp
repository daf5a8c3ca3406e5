#include "report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace kumquathaven::load {

namespace {

using nlohmann::ordered_json;

double milliseconds(Duration d)
{
    return static_cast<double>(d.count()) / 1000;
}

// Returns the value below which a share of the sorted values lies.
double quantile(const std::vector<double> &sorted, double share)
{
    if (sorted.empty())
        return 0;
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(std::lround(share * last))];
}

ordered_json quantiles(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return {{"p50", quantile(values, 0.5)},
            {"p95", quantile(values, 0.95)},
            {"p99", quantile(values, 0.99)},
            {"max", quantile(values, 1)}};
}

struct Totals
{
    std::uint64_t requests = 0;
    std::uint64_t attempts = 0;
    std::map<std::string, std::uint64_t> results;
    /// Results of first attempts.
    std::map<std::string, std::uint64_t> firstResults;
    std::uint64_t tokens = 0;
    std::uint64_t prompt = 0;
    std::uint64_t cached = 0;
    std::uint64_t completion = 0;
    std::vector<double> firstToken;
    std::vector<double> gaps;
    /// How late requests were sent after they were due.
    std::vector<double> late;
};

void add(Totals &totals, const CallResult &result)
{
    ++totals.requests;
    totals.attempts += result.attempts.size();
    ++totals.results[result.result];
    ++totals.firstResults[result.attempts.front().result];
    totals.late.push_back(milliseconds(result.attempts.front().at - result.due));
    if (result.result != "whole")
        return;
    totals.tokens += result.promptTokens + result.completionTokens;
    totals.prompt += result.promptTokens;
    totals.cached += result.cachedTokens;
    totals.completion += result.completionTokens;
    totals.firstToken.push_back(milliseconds(result.firstToken));
    totals.gaps.push_back(milliseconds(result.longestGap));
}

bool isEarlier(const Spending &a, const Spending &b)
{
    return a.at < b.at;
}

// What the exact bucket of one customer says to first attempts alone and to all attempts.
struct Entitlement
{
    BucketAnswer first;
    BucketAnswer all;
};

Entitlement entitlementOf(const LoadOutcome &outcome, std::uint32_t customer)
{
    std::vector<Spending> first;
    std::vector<Spending> all;
    for (const CallResult &it : outcome.results) {
        if (it.customer != customer)
            continue;
        const std::uint64_t tokens =
            promptTokens(outcome.arrivals.at(it.number)) + outcome.maxTokens;
        if (!it.isStorm)
            first.push_back({it.attempts.front().at, tokens});
        for (const AttemptRecord &attempt : it.attempts)
            all.push_back({attempt.at, tokens});
    }
    std::sort(first.begin(), first.end(), isEarlier);
    std::sort(all.begin(), all.end(), isEarlier);
    const RateLimit limit =
        customer < outcome.limits.size() ? outcome.limits[customer] : RateLimit{};
    return {askExactBucket(limit, first), askExactBucket(limit, all)};
}

ordered_json customerReport(std::uint32_t customer, const Totals &totals,
                            const Entitlement &entitlement)
{
    const auto whole = totals.results.find("whole");
    return {{"customer", customer},
            {"requests", totals.requests},
            {"whole", whole == totals.results.end() ? 0 : whole->second},
            {"results", totals.results},
            {"firstResults", totals.firstResults},
            {"tokens", totals.tokens},
            {"entitledTokens", entitlement.first.grantedTokens},
            {"exactRefusals", entitlement.all.refusals},
            {"firstTokenMs", quantiles(totals.firstToken)}};
}

} // namespace

std::string lineOf(const CallResult &result)
{
    ordered_json attempts = ordered_json::array();
    for (const AttemptRecord &it : result.attempts)
        attempts.push_back({{"atMs", milliseconds(it.at)}, {"result", it.result}});
    const ordered_json line = {{"number", result.number},
                               {"customer", result.customer},
                               {"storm", result.isStorm},
                               {"dueMs", milliseconds(result.due)},
                               {"result", result.result},
                               {"firstTokenMs", milliseconds(result.firstToken)},
                               {"wholeMs", milliseconds(result.whole)},
                               {"promptTokens", result.promptTokens},
                               {"cachedTokens", result.cachedTokens},
                               {"upstream", result.upstream},
                               {"choice", result.choice},
                               {"attempts", attempts}};
    return line.dump();
}

std::string reportOf(const LoadOutcome &outcome)
{
    Totals all;
    Totals storm;
    std::map<std::uint32_t, Totals> byCustomer;
    for (const CallResult &it : outcome.results) {
        if (it.isStorm) {
            add(storm, it);
            continue;
        }
        add(byCustomer[it.customer], it);
        if (it.due >= outcome.warmUp)
            add(all, it);
    }
    ordered_json customers = ordered_json::array();
    std::set<std::uint32_t> insideRate;
    for (const auto &[number, totals] : byCustomer) {
        const Entitlement entitlement = entitlementOf(outcome, number);
        customers.push_back(customerReport(number, totals, entitlement));
        if (entitlement.all.refusals == 0)
            insideRate.insert(number);
    }
    Totals inside;
    for (const CallResult &it : outcome.results) {
        if (!it.isStorm && it.due >= outcome.warmUp && insideRate.count(it.customer) > 0)
            add(inside, it);
    }
    const auto share = [&](std::uint64_t tokens) {
        return all.prompt == 0 ? 0 : static_cast<double>(tokens) / static_cast<double>(all.prompt);
    };
    const ordered_json report = {
        {"seconds", toSeconds(outcome.length)},
        {"requests", all.requests},
        {"attempts", all.attempts},
        {"results", all.results},
        {"firstTokenMs", quantiles(all.firstToken)},
        {"longestGapMs", quantiles(all.gaps)},
        {"sentLateMs", quantiles(all.late)},
        {"promptTokens", all.prompt},
        {"cachedTokens", all.cached},
        {"completionTokens", all.completion},
        {"hitRate", share(all.cached)},
        {"recomputedShare",
         share(recomputedTokens(outcome.arrivals, outcome.results, outcome.warmUp))},
        {"insideRate",
         {{"requests", inside.requests},
          {"results", inside.results},
          {"firstTokenMs", quantiles(inside.firstToken)}}},
        {"customers", customers},
        {"storm",
         {{"requests", storm.requests}, {"attempts", storm.attempts}, {"results", storm.results}}},
    };
    return report.dump(2);
}

} // namespace kumquathaven::load
