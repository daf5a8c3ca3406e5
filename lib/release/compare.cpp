#include "compare.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>

namespace kumquathaven::release {

namespace {

/// Differences that any two groups of servers may show.
constexpr double failureRatio = 1.5;
constexpr double failureMargin = 0.005;
/// A share that is small in much traffic still is many bad answers.
constexpr double failureMarginAnswers = 15;
constexpr double delayMargin = 0.04;
constexpr double delayTailMargin = 0.01;
constexpr double delayMarginAnswers = 40;
/// Share of the answers that may take up to twice as long.
constexpr double delayDrift = 0.25;
constexpr double minSlowAnswers = 12;
/// An excess of so many bad answers needs half of the evidence: more must not follow.
constexpr double manyBadAnswers = 20;
/// Errors from which on one group of servers is enough to convict the release.
constexpr double oneGroupErrors = 40;
/// Errors that the other groups would show at least if they failed as often as the worst one.
constexpr double otherGroupsExpected = 5;
constexpr double otherGroupsErrors = 2;
constexpr std::int64_t suspectErrors = 3;
/// A failing server has at least this many times the errors of the others.
constexpr double groupRatio = 4;

/// Excesses over the present release's share that are searched for.
constexpr std::array<double, 6> alternatives = {0.003, 0.01, 0.03, 0.08, 0.2, 0.5};

std::int64_t goodOf(const Counts &counts)
{
    return std::accumulate(counts.delays.begin(), counts.delays.end(), std::int64_t{0});
}

/// The upper end of what share the events may have.
double upperShare(double events, double trials)
{
    const double share = (events + 0.5) / (trials + 1);
    return share + 2 * std::sqrt(share * (1 - std::min(share, 1.0)) / (trials + 1));
}

/// Returns the share of the new release's answers that events common to both releases may explain.
/// If they all came while the new release had its present share, it got more of them than of the
/// answers before.
double commonShare(double presentEvents, double presentAnswers, double answers, double odds)
{
    const double events = presentEvents + 2 * std::sqrt(presentEvents);
    return std::max(upperShare(presentEvents, presentAnswers), events * odds / answers);
}

bool isConvicted(double events, double answers, double allowed, double presentShare, double bound)
{
    if (allowed >= 1)
        return false;
    const bool areMany = events - presentShare * answers >= manyBadAnswers;
    return evidenceOver(events, answers, allowed) >= (areMany ? bound / 2 : bound);
}

} // namespace

std::int64_t completedOf(const Counts &counts)
{
    return counts.failed + goodOf(counts);
}

double evidenceOver(double events, double trials, double probability)
{
    const double null = std::clamp(probability, 1e-6, 0.999);
    double largest = -1e300;
    std::array<double, alternatives.size()> terms{};
    for (std::size_t n = 0; n < alternatives.size(); ++n) {
        const double other = null + alternatives[n] * (1 - null);
        terms[n] = events * std::log(other / null)
            + (trials - events) * std::log((1 - other) / (1 - null));
        largest = std::max(largest, terms[n]);
    }
    double sum = 0;
    for (const double it : terms)
        sum += std::exp(it - largest);
    return largest + std::log(sum / static_cast<double>(terms.size()));
}

std::optional<std::string> failuresOf(const RouteCounts &route, const Judgement &judgement)
{
    const auto errors =
        static_cast<double>(route.next.failed - route.next.cut) * (1 - judgement.explained);
    const auto answers = static_cast<double>(completedOf(route.next) - route.next.cut);
    const auto presentErrors = static_cast<double>(route.present.failed - route.present.cut);
    const auto presentAnswers = static_cast<double>(completedOf(route.present) - route.present.cut);
    if (errors < judgement.minErrors)
        return std::nullopt;
    const double allowed =
        failureRatio * commonShare(presentErrors, presentAnswers, answers, judgement.odds)
        + judgement.margin * std::min(failureMargin, failureMarginAnswers / answers);
    const double presentShare = presentErrors / std::max(1.0, presentAnswers);
    if (!isConvicted(errors, answers, allowed, presentShare, judgement.bound))
        return std::nullopt;
    std::array<char, 160> buf{};
    std::snprintf(buf.data(), buf.size(), "%.0f errors of %.0f answers, before %.0f of %.0f",
                  errors, answers, presentErrors, presentAnswers);
    return std::string(buf.data());
}

std::optional<std::string> delaysOf(const RouteCounts &route, const Judgement &judgement)
{
    const auto answers = static_cast<double>(goodOf(route.next));
    const auto presentAnswers = static_cast<double>(goodOf(route.present));
    if (answers < minSlowAnswers || presentAnswers < 1)
        return std::nullopt;
    const double maxMargin = std::min(delayMargin, delayMarginAnswers / answers);
    double slow = answers;
    double presentSlow = presentAnswers;
    for (std::size_t n = 1; n < delayBucketCount; ++n) {
        const auto presentBefore = static_cast<double>(route.present.delays[n - 1]);
        // Little is allowed far beyond what the present release needs.
        const double margin = judgement.margin
            * std::min(maxMargin, delayTailMargin + presentSlow / presentAnswers / 2);
        slow -= static_cast<double>(route.next.delays[n - 1]);
        presentSlow -= presentBefore;
        const double allowed = commonShare(presentSlow, presentAnswers, answers, judgement.odds)
            + margin + delayDrift * presentBefore / presentAnswers;
        if (slow < minSlowAnswers
            || !isConvicted(slow, answers, allowed, presentSlow / presentAnswers, judgement.bound))
            continue;
        std::array<char, 160> buf{};
        std::snprintf(buf.data(), buf.size(),
                      "%.0f of %.0f answers took %.0f ms or more, before %.0f of %.0f", slow,
                      answers, std::exp2(static_cast<double>(n) - 1), presentSlow, presentAnswers);
        return std::string(buf.data());
    }
    return std::nullopt;
}

std::optional<std::string> cutsOf(const Evidence &evidence, const Policy &policy)
{
    double cut = 0;
    double sent = 0;
    double presentCut = 0;
    double presentSent = 0;
    for (const auto &[name, route] : evidence.routes) {
        cut += static_cast<double>(route.next.cut);
        sent += static_cast<double>(route.next.sent);
        presentCut += static_cast<double>(route.present.cut);
        presentSent += static_cast<double>(route.present.sent);
    }
    // Two crashes may be chance, since few servers are exposed.
    const double chance = 2 * static_cast<double>(policy.requestsPerServer);
    if (cut <= chance + 3 * sent * upperShare(presentCut, presentSent) + 0.02 * sent)
        return std::nullopt;
    std::array<char, 160> buf{};
    std::snprintf(buf.data(), buf.size(), "%.0f of %.0f requests were cut off, before %.0f of %.0f",
                  cut, sent, presentCut, presentSent);
    return std::string(buf.data());
}

std::size_t worstGroup(const Evidence &evidence)
{
    const auto errorShare = [](const GroupCounts &it) {
        return static_cast<double>(it.failed)
            / static_cast<double>(std::max<std::int64_t>(1, it.answered));
    };
    std::size_t worst = 0;
    for (std::size_t n = 1; n < serverGroupCount; ++n) {
        if (errorShare(evidence.groups[n]) > errorShare(evidence.groups[worst]))
            worst = n;
    }
    return worst;
}

Explanation explainedByGroup(const Evidence &evidence)
{
    double answered = 0;
    double failed = 0;
    for (const GroupCounts &it : evidence.groups) {
        answered += static_cast<double>(it.answered);
        failed += static_cast<double>(it.failed);
    }
    if (failed < 1)
        return {};
    const GroupCounts &worst = evidence.groups[worstGroup(evidence)];
    const double otherAnswered = answered - static_cast<double>(worst.answered);
    const double otherFailed = failed - static_cast<double>(worst.failed);
    const double otherShare = otherFailed / std::max(1.0, otherAnswered);
    const double worstShare = static_cast<double>(worst.failed)
        / static_cast<double>(std::max<std::int64_t>(1, worst.answered));
    if (otherFailed >= otherGroupsErrors && otherShare * groupRatio > worstShare)
        return {};
    if (otherAnswered * worstShare < otherGroupsExpected)
        return {failed < oneGroupErrors ? 1.0 : 0.0, false};
    return {1 - std::min(1.0, otherShare * answered / failed), true};
}

std::size_t avoidedGroup(const Evidence &evidence)
{
    const std::size_t worst = worstGroup(evidence);
    return evidence.groups[worst].failed < suspectErrors ? serverGroupCount : worst;
}

} // namespace kumquathaven::release
