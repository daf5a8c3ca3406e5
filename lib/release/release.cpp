#include "kumquathaven/release/release.h"

#include "compare.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace kumquathaven::release {

namespace {

/// Probability that any comparison convicts a good release over a whole rollout.
constexpr double falseAlarms = 1e-2;
/// Probabilities that a difference is chance below which the share is not raised, and below which
/// a release is rolled back once its exposure is spent.
constexpr double holdingChance = 0.3;
constexpr double returningChance = 0.05;
constexpr double doubtMargin = 0.4;
constexpr double doubtErrors = 2;
/// An excess of errors that is sought, and how sure a release must be to be without it.
constexpr double soughtExcess = 0.03;
constexpr double soughtDeviations = 2.8;
constexpr double commonDeviations = 2.4;
constexpr double commonErrors = 0.9;
/// Requests to the new release for each one to the present release: at most so many are assumed.
constexpr double maxOdds = 4;
/// Part of the bounds that is used before the release is proven good.
constexpr double unprovenPart = 0.5;
/// Share of the requests that goes to the new release while an instance uses up the slack.
constexpr double slackShare = 0.25;
constexpr std::array<std::uint32_t, 3> rampShares = {250, 500, 1000};
constexpr Duration maxEvidenceAge = std::chrono::seconds(5);
constexpr double minCapacity = 0.75;
constexpr double enoughAnswers = 200;
/// How many times longer the full share lasts before a rollout completes without all instances.
constexpr int missingDwells = 2;

std::uint32_t unprovenShare(const Policy &policy)
{
    return static_cast<std::uint32_t>(policy.exposureShare * unprovenPart * 1000);
}

/// The last part of the time limit, in which the share is raised.
Duration rampTime(Duration limit)
{
    return std::min(limit / 2, std::chrono::seconds(6) + limit / 10);
}

/// How long each share lasts at least once its answers are known.
Duration dwellTime(Duration limit)
{
    return std::clamp<Duration>(rampTime(limit) / 8, std::chrono::milliseconds(300),
                                std::chrono::seconds(30));
}

/// Instances that are announced as serving and whose counts are missing. One that has ended stays
/// announced until it is declared dead.
std::uint32_t missingInstances(const Evidence &evidence)
{
    return evidence.instancesServing - std::min(evidence.instances, evidence.instancesServing);
}

bool coversInstances(const Evidence &evidence)
{
    const bool isMajority = std::uint64_t{evidence.instances} * 2 > evidence.instancesServing;
    return isMajority && missingInstances(evidence) <= std::max(1U, evidence.instancesServing / 20);
}

void add(Counts &to, const Counts &from)
{
    to.sent += from.sent;
    to.failed += from.failed;
    to.cut += from.cut;
    for (std::size_t n = 0; n < delayBucketCount; ++n)
        to.delays[n] += from.delays[n];
}

RouteCounts sumOf(const Evidence &evidence)
{
    RouteCounts all;
    for (const auto &[name, route] : evidence.routes) {
        add(all.present, route.present);
        add(all.next, route.next);
    }
    return all;
}

double oddsOf(std::uint32_t sharePerMille)
{
    const double share = std::min(sharePerMille, 999U) / 1000.0;
    return std::min(maxOdds, share / (1 - share));
}

/// Returns what differs on a route or on all together, or an empty string.
std::string differenceOf(const Evidence &evidence, const Judgement &judgement)
{
    const auto judge = [&judgement](const std::string &name, const RouteCounts &route) {
        if (const auto failures = failuresOf(route, judgement))
            return name + ": " + *failures;
        if (const auto delays = delaysOf(route, judgement))
            return name + ": " + *delays;
        return std::string();
    };
    for (const auto &[name, route] : evidence.routes) {
        if (std::string difference = judge(name, route); !difference.empty())
            return difference;
    }
    return judge("all routes", sumOf(evidence));
}

std::string secondsText(Duration duration)
{
    std::array<char, 32> buf{};
    std::snprintf(buf.data(), buf.size(), "%.1f s", toSeconds(duration));
    return buf.data();
}

/// Returns the route that lacks answers of the new release, or an empty string.
std::string routeInDoubt(const Evidence &evidence, const Policy &policy)
{
    // Of the small share also later: a route may have lost its traffic since.
    const double share = unprovenPart * policy.exposureShare;
    double allSent = 0;
    double allAnswers = 0;
    const auto lacks = [share](double sent, double answers) {
        // Few requests leave the number of those exposed to chance.
        const double expected = share * sent;
        const double wanted = std::min(expected / 2, expected - 3 * std::sqrt(expected));
        return sent >= 20 && answers < std::clamp(wanted, 1.0, enoughAnswers);
    };
    for (const auto &[name, route] : evidence.routes) {
        const auto sent = static_cast<double>(route.present.sent + route.next.sent);
        const auto answers = static_cast<double>(completedOf(route.next));
        allSent += sent;
        allAnswers += answers;
        if (lacks(sent, answers))
            return name;
    }
    if (allSent > 0 && (allAnswers < 1 || lacks(allSent, allAnswers)))
        return "all routes";
    return {};
}

bool isExposureSpent(const Evidence &evidence, const Policy &policy)
{
    const RouteCounts all = sumOf(evidence);
    const auto next = static_cast<double>(all.next.sent);
    return next >= policy.exposureShare * (next + static_cast<double>(all.present.sent));
}

/// Returns the share that the servers with the new release can take.
std::uint32_t capacityShare(const Supply &supply)
{
    if (supply.nextServers == 0 || supply.nextSlots == 0)
        return 0;
    const double part = static_cast<double>(supply.nextSlots)
        / std::max(1.0, static_cast<double>(supply.presentSlots));
    return part >= minCapacity ? 1000 : static_cast<std::uint32_t>(part * 1000);
}

std::uint32_t nextShare(const Progress &progress, Duration evidenceAge, const Policy &policy)
{
    if (progress.sharePerMille < unprovenShare(policy))
        return unprovenShare(policy);
    const Duration left = progress.limit - progress.elapsed;
    const Duration perStep =
        dwellTime(progress.limit) + evidenceAge + std::chrono::milliseconds(500);
    for (const std::uint32_t share : rampShares) {
        // The middle share is left out where time lacks for it.
        if (share > progress.sharePerMille && (share != 500 || left >= 3 * perStep))
            return share;
    }
    return 1000;
}

/// Returns what differs with a probability under \p chance to be none, or an empty string.
std::string doubtOf(const Progress &progress, const Evidence &evidence, double chance)
{
    const Explanation explanation = explainedByGroup(evidence);
    Judgement judgement;
    judgement.bound = std::log(1 / chance);
    judgement.explained = explanation.isCertain ? explanation.share : 0;
    judgement.margin = doubtMargin;
    judgement.minErrors = doubtErrors;
    judgement.odds = oddsOf(progress.sharePerMille);
    std::string difference = differenceOf(evidence, judgement);
    return difference.empty() ? "" : "in doubt: " + difference;
}

/// Returns the errors that a release with the sought excess may well have, or an empty string.
std::string excessOf(const Progress &progress, const Evidence &evidence)
{
    const Explanation explanation = explainedByGroup(evidence);
    const RouteCounts all = sumOf(evidence);
    const auto answers = static_cast<double>(completedOf(all.next));
    const double errors = static_cast<double>(all.next.failed - all.next.cut)
        * (explanation.isCertain ? 1 - explanation.share : 1);
    const auto presentErrors = static_cast<double>(all.present.failed - all.present.cut);
    const auto presentAnswers = std::max(1.0, static_cast<double>(completedOf(all.present)));
    const double common = std::max(presentErrors * answers / presentAnswers,
                                   presentErrors * oddsOf(progress.sharePerMille));
    const double sought = common + soughtExcess * answers;
    const double allowed = std::max({1.0, sought - soughtDeviations * std::sqrt(sought),
                                     common + commonDeviations * std::sqrt(common) + commonErrors});
    if (errors <= allowed)
        return {};
    return "in doubt: " + std::to_string(std::llround(errors)) + " errors of "
        + std::to_string(std::llround(answers)) + " answers";
}

/// Returns why the share stays, or an empty string.
std::string reasonToHold(const Progress &progress, const Evidence &evidence, Duration evidenceAge,
                         const Policy &policy)
{
    if (!coversInstances(evidence) || evidenceAge > maxEvidenceAge)
        return "counts of " + std::to_string(evidence.instances) + " of "
            + std::to_string(evidence.instancesServing) + " instances, " + secondsText(evidenceAge)
            + " old";
    const Duration rampAt = progress.limit - rampTime(progress.limit);
    if (progress.elapsed < rampAt)
        return "small share until " + secondsText(rampAt);
    if (progress.inStep - evidenceAge < dwellTime(progress.limit))
        return "share is new";
    const std::string route = routeInDoubt(evidence, policy);
    if (!route.empty())
        return "few answers: " + route;
    std::string doubt = doubtOf(progress, evidence, holdingChance);
    return doubt.empty() ? excessOf(progress, evidence) : doubt;
}

} // namespace

std::size_t delayBucketOf(Duration delay)
{
    std::size_t bucket = 0;
    for (Duration end = std::chrono::milliseconds(1); delay >= end; end *= 2) {
        if (++bucket == delayBucketCount - 1)
            break;
    }
    return bucket;
}

std::string faultOf(const Evidence &evidence, const Policy &policy, std::uint32_t sharePerMille)
{
    Judgement judgement;
    judgement.bound = std::log(static_cast<double>(evidence.routes.size() + 1) / falseAlarms);
    judgement.explained = explainedByGroup(evidence).share;
    judgement.odds = oddsOf(sharePerMille);
    std::string fault = differenceOf(evidence, judgement);
    return fault.empty() ? cutsOf(evidence, policy).value_or("") : fault;
}

Decision decide(const Progress &progress, const Evidence &evidence, Duration evidenceAge,
                const Supply &supply, const Policy &policy)
{
    if (std::string fault = faultOf(evidence, policy, progress.sharePerMille); !fault.empty())
        return {Action::RollBack, 0, std::move(fault)};
    std::string hold = reasonToHold(progress, evidence, evidenceAge, policy);
    // What is in doubt stays under the bound.
    if (progress.sharePerMille >= rampShares.front() && isExposureSpent(evidence, policy)) {
        if (std::string inDoubt = doubtOf(progress, evidence, returningChance); !inDoubt.empty())
            return {Action::RollBack, 0, std::move(inDoubt)};
    }
    const bool isAll = progress.sharePerMille >= 1000;
    // What a missing instance still runs at the present release is not known; it may run on.
    const bool mayLackRequests = missingInstances(evidence) > 0
        && progress.inStep < missingDwells * dwellTime(progress.limit);
    if (isAll && hold.empty() && mayLackRequests)
        hold = std::to_string(missingInstances(evidence)) + " instances are missing";
    if (isAll && hold.empty()) {
        if (evidence.runningAtPresent == 0)
            return {Action::Complete, 1000, "no fault, nothing runs at the present release"};
        hold = std::to_string(evidence.runningAtPresent) + " requests run at the present release";
    }
    const std::uint32_t capacity = capacityShare(supply);
    const std::uint32_t next = std::min(nextShare(progress, evidenceAge, policy), capacity);
    if (!isAll && next <= progress.sharePerMille && (hold.empty() || capacity == 0))
        hold = std::to_string(supply.nextServers) + " servers with the new release, share of "
            + std::to_string(capacity) + " per mille at most";
    // An unproven release is taken back before the limit, so that the record is made in time.
    const Duration margin =
        isAll ? Duration(0) : std::min<Duration>(progress.limit / 20, std::chrono::seconds(1));
    if (progress.elapsed >= progress.limit - margin)
        return {Action::RollBack, 0, "time limit: " + hold};
    const bool isFirst = progress.sharePerMille == 0;
    if (!isAll && next > progress.sharePerMille && (isFirst || hold.empty()))
        return {Action::Advance, next, isFirst ? "first share" : "no fault"};
    return {Action::Hold, progress.sharePerMille, std::move(hold)};
}

bool mayExpose(const Progress &progress, std::int64_t sentPresent, std::int64_t sentNext,
               std::uint32_t instances, const Policy &policy, double draw)
{
    const double share = progress.sharePerMille / 1000.0;
    if (progress.sharePerMille >= 1000)
        return true;
    if (progress.sharePerMille == 0 || progress.elapsed >= progress.limit)
        return false;
    if (progress.sharePerMille > unprovenShare(policy))
        return draw < share;
    // The bound holds for this instance's own counts, so it holds for the sum whatever the rates.
    const double slack = unprovenPart * policy.exposureSlack / std::max(1U, instances);
    const auto sent = static_cast<double>(sentPresent + sentNext);
    const double credit = share * (sent + 1) + slack - static_cast<double>(sentNext);
    // The draws alone keep to the share; the count bounds what they may deviate.
    if (credit <= -1)
        return false;
    if (credit >= 1)
        return draw < std::max(share, slackShare);
    return draw < (sent > 0 ? share : std::max(share, std::min(slackShare, slack)));
}

std::uint32_t exposedServers(std::uint32_t sharePerMille, const Supply &supply)
{
    if (sharePerMille == 0 || supply.nextServers == 0)
        return 0;
    // Late servers of the new release are still to come: the load of each is lower with them.
    const double slotsPerServer =
        std::max(1.0, static_cast<double>(supply.nextSlots)) / supply.nextServers;
    const double servers = std::max<double>(
        supply.nextServers, static_cast<double>(supply.presentSlots) / slotsPerServer);
    const double exposed = std::ceil(servers * sharePerMille / 1000.0 - 0.25);
    return std::clamp<std::uint32_t>(static_cast<std::uint32_t>(std::max(exposed, 1.0)), 1,
                                     supply.nextServers);
}

} // namespace kumquathaven::release
