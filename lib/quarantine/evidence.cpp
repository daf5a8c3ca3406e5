#include "kumquathaven/quarantine/evidence.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace kumquathaven::quarantine {

namespace {

std::optional<TimePoint> answeredAt(const AnsweredParts &parts, const std::string &part)
{
    for (const auto *it : {&parts.newer, &parts.older}) {
        const auto found = it->find(part);
        if (found != it->end())
            return found->second;
    }
    return std::nullopt;
}

void setAnswered(AnsweredParts &parts, const std::string &part, TimePoint at, std::size_t maxParts)
{
    TimePoint &known = parts.newer[part];
    known = std::max(known, at);
    if (parts.newer.size() * 2 <= maxParts)
        return;
    parts.older = std::move(parts.newer);
    parts.newer.clear();
}

/// Returns whether a crash counts against a part: no request with it was answered since.
bool countsAgainst(const Crash &crash, const std::string &part, std::optional<TimePoint> answered)
{
    return crash.suspects.count(part) > 0 && (!answered || *answered < crash.at);
}

/// The case against one part.
struct Case
{
    std::string part;
    bool wasAnswered = false;
    std::uint32_t position = 0;
    /// Indexes of the crashes, in order of time.
    std::vector<std::size_t> crashes;
    std::size_t moments = 0;
    bool hasUnexplained = false;
    /// The crash that completed the evidence; empty if there is not enough.
    std::optional<TimePoint> completeAt;
};

std::vector<std::size_t> crashesAgainst(const Evidence &evidence, const std::string &part)
{
    const auto answered = answeredAt(evidence.answered, part);
    std::vector<std::size_t> indexes;
    for (std::size_t n = 0; n < evidence.crashes.size(); ++n) {
        if (countsAgainst(evidence.crashes[n], part, answered))
            indexes.push_back(n);
    }
    std::sort(indexes.begin(), indexes.end(), [&](std::size_t a, std::size_t b) {
        return evidence.crashes[a].at < evidence.crashes[b].at;
    });
    return indexes;
}

/// Returns whether so many crashes of a burst have the part in common that they convict it without
/// a look at their moments.
bool isBurst(const Evidence &evidence, const Case &found, std::size_t count)
{
    const Policy &policy = evidence.policy;
    if (found.wasAnswered || count < policy.minBurst || found.moments < policy.minBurstMoments)
        return false;
    const TimePoint first = evidence.crashes[found.crashes.front()].at;
    const TimePoint last = evidence.crashes[found.crashes[count - 1]].at;
    const auto all =
        std::count_if(evidence.crashes.begin(), evidence.crashes.end(), [&](const Crash &it) {
            return it.at >= first && it.at <= last;
        });
    return static_cast<double>(count) >= policy.minBurstShare * static_cast<double>(all);
}

/// Builds the case against a part.
Case caseAgainst(const Evidence &evidence, const std::string &part, std::uint32_t position)
{
    const Policy &policy = evidence.policy;
    Case found;
    found.part = part;
    found.position = position;
    found.wasAnswered = answeredAt(evidence.answered, part).has_value();
    found.crashes = crashesAgainst(evidence, part);
    const std::size_t needed = found.wasAnswered ? policy.minCrashesIfAnswered : policy.minCrashes;
    TimePoint momentBegan{};
    for (std::size_t n = 0; n < found.crashes.size(); ++n) {
        const Crash &crash = evidence.crashes[found.crashes[n]];
        found.hasUnexplained = found.hasUnexplained || !crash.isExplained;
        if (found.moments == 0 || crash.at - momentBegan >= policy.momentLength) {
            ++found.moments;
            momentBegan = crash.at;
        }
        const bool isEnough = found.moments >= needed || isBurst(evidence, found, n + 1);
        if (isEnough && !found.completeAt)
            found.completeAt = crash.at;
    }
    if (!found.hasUnexplained)
        found.completeAt.reset();
    return found;
}

/// Orders cases by their strength: parts that were never answered, with more crashes, later in
/// their prompts.
bool isStronger(const Case &a, const Case &b)
{
    if (a.wasAnswered != b.wasAnswered)
        return b.wasAnswered;
    if (a.crashes.size() != b.crashes.size())
        return a.crashes.size() > b.crashes.size();
    return a.position > b.position;
}

/// Returns the complete cases, the strongest first.
std::vector<Case> completeCases(const Evidence &evidence)
{
    struct Mentions
    {
        std::size_t crashes = 0;
        std::uint32_t position = 0;
    };
    std::map<std::string, Mentions> parts;
    for (const Crash &crash : evidence.crashes) {
        for (const auto &[part, position] : crash.suspects) {
            Mentions &it = parts[part];
            ++it.crashes;
            it.position = std::max(it.position, position);
        }
    }
    std::vector<Case> cases;
    for (const auto &[part, mentions] : parts) {
        // Nearly all parts are suspects of one crash only.
        if (mentions.crashes < evidence.policy.minCrashes)
            continue;
        Case found = caseAgainst(evidence, part, mentions.position);
        if (found.completeAt)
            cases.push_back(std::move(found));
    }
    std::sort(cases.begin(), cases.end(), isStronger);
    return cases;
}

/// Marks the crashes of a convicted part as explained. Other suspects of them are cleared, except
/// those that occurred under the same crashes: one of them may be the cause instead.
void explainCrashes(Evidence &evidence, const Case &convicted)
{
    std::set<std::string> kept;
    for (const auto &it : evidence.crashes[convicted.crashes.front()].suspects) {
        if (it.first != convicted.part && crashesAgainst(evidence, it.first) == convicted.crashes)
            kept.insert(it.first);
    }
    for (const std::size_t n : convicted.crashes) {
        Crash &crash = evidence.crashes[n];
        crash.isExplained = true;
        for (auto it = crash.suspects.begin(); it != crash.suspects.end();)
            it = kept.count(it->first) > 0 ? std::next(it) : crash.suspects.erase(it);
    }
}

void convict(Evidence &evidence, const Case &found, TimePoint now)
{
    Verdict &verdict = evidence.verdicts[found.part];
    ++verdict.generation;
    verdict.isLifted = false;
    verdict.crashes = static_cast<std::uint32_t>(found.crashes.size());
    verdict.decidedAt = now;
    verdict.expiresAt = now + evidence.policy.verdictLifetime;
}

/// Removes crashes that no longer count and verdicts that lapsed.
void removeOld(Evidence &evidence, TimePoint now)
{
    const auto isOld = [&](const Crash &it) {
        const Duration age = now - it.at;
        return age > evidence.policy.crashLifetime
            || (it.suspects.empty() && age > evidence.policy.maxReportDelay);
    };
    evidence.crashes.erase(std::remove_if(evidence.crashes.begin(), evidence.crashes.end(), isOld),
                           evidence.crashes.end());
    for (auto it = evidence.verdicts.begin(); it != evidence.verdicts.end();)
        it = it->second.expiresAt <= now ? evidence.verdicts.erase(it) : std::next(it);
}

Crash &crashOf(Evidence &evidence, const std::string &start, TimePoint at)
{
    const auto known =
        std::find_if(evidence.crashes.begin(), evidence.crashes.end(), [&](const Crash &it) {
            return it.start == start && it.at - at < evidence.policy.sameCrashTime
                && at - it.at < evidence.policy.sameCrashTime;
        });
    if (known != evidence.crashes.end())
        return *known;
    if (evidence.crashes.size() >= evidence.policy.maxCrashes) {
        evidence.crashes.pop_front();
        ++evidence.crashesDropped;
    }
    evidence.crashes.push_back({start, at, {}, false});
    return evidence.crashes.back();
}

bool isConvicted(const Evidence &evidence, const std::string &part, TimePoint now)
{
    const auto it = evidence.verdicts.find(part);
    return it != evidence.verdicts.end() && isInForce(it->second, now);
}

} // namespace

std::vector<std::string> recordAnswer(Evidence &evidence, const std::vector<std::string> &parts,
                                      TimePoint now)
{
    std::vector<std::string> suspected;
    for (const std::string &part : parts) {
        if (crashCount(evidence, part) > 0 || isConvicted(evidence, part, now))
            suspected.push_back(part);
        recordAnswerElsewhere(evidence, part, now);
        lift(evidence, part, now);
    }
    return suspected;
}

void recordAnswerElsewhere(Evidence &evidence, const std::string &part, TimePoint at)
{
    setAnswered(evidence.answered, part, at, evidence.policy.maxAnsweredParts);
    for (Crash &it : evidence.crashes) {
        if (it.at < at)
            it.suspects.erase(part);
    }
}

std::vector<Suspect> suspectsOf(const Evidence &evidence, const std::vector<std::string> &parts,
                                TimePoint now)
{
    std::vector<Suspect> suspects;
    for (std::size_t n = 0; n < parts.size(); ++n) {
        const auto answered = answeredAt(evidence.answered, parts[n]);
        if (!answered || now - *answered > evidence.policy.answerLifetime)
            suspects.push_back({parts[n], static_cast<std::uint32_t>(n)});
    }
    return suspects;
}

std::vector<std::string> recordCrash(Evidence &evidence, const std::string &start,
                                     const std::vector<Suspect> &suspects, TimePoint at)
{
    const bool isExplained = std::any_of(suspects.begin(), suspects.end(), [&](const Suspect &it) {
        return isConvicted(evidence, it.part, at);
    });
    Crash &crash = crashOf(evidence, start, at);
    if (isExplained) {
        crash.isExplained = true;
        crash.suspects.clear();
    }
    if (crash.isExplained)
        return {};
    evidence.isReviewDue = true;
    for (const Suspect &it : suspects) {
        if (crash.suspects.size() < evidence.policy.maxSuspects)
            crash.suspects.emplace(it.part, it.position);
    }
    std::vector<std::string> answered;
    for (const Suspect &it : suspects) {
        const auto isSuspected = [&](const Crash &other) {
            return other.suspects.count(it.part) > 0;
        };
        const auto crashes =
            std::count_if(evidence.crashes.begin(), evidence.crashes.end(), isSuspected);
        if (crashes > 1 && answeredAt(evidence.answered, it.part))
            answered.push_back(it.part);
    }
    return answered;
}

std::vector<std::string> judge(Evidence &evidence, TimePoint now)
{
    removeOld(evidence, now);
    std::vector<std::string> convicted;
    while (evidence.isReviewDue) {
        const std::vector<Case> cases = completeCases(evidence);
        evidence.isReviewDue = !cases.empty();
        if (cases.empty() || now - *cases.front().completeAt < evidence.policy.settleTime)
            break;
        const Case &strongest = cases.front();
        explainCrashes(evidence, strongest);
        // Another instance was faster.
        if (isConvicted(evidence, strongest.part, now))
            continue;
        if (evidence.verdicts.size() >= evidence.policy.maxVerdicts
            && evidence.verdicts.count(strongest.part) == 0) {
            ++evidence.verdictsDropped;
            continue;
        }
        convict(evidence, strongest, now);
        convicted.push_back(strongest.part);
    }
    return convicted;
}

Admission admit(Evidence &evidence, const std::vector<std::string> &parts, TimePoint now)
{
    const std::string part = convictedPart(evidence, parts, now);
    if (!part.empty()) {
        evidence.verdicts[part].expiresAt = now + evidence.policy.verdictLifetime;
        return Admission::Refused;
    }
    if (evidence.crashes.size() < evidence.policy.minCrashes)
        return Admission::Allowed;
    for (std::size_t n = 0; n < parts.size(); ++n) {
        if (caseAgainst(evidence, parts[n], static_cast<std::uint32_t>(n)).completeAt)
            return Admission::Pending;
    }
    return Admission::Allowed;
}

std::string convictedPart(const Evidence &evidence, const std::vector<std::string> &parts,
                          TimePoint now)
{
    for (const std::string &part : parts) {
        if (isConvicted(evidence, part, now))
            return part;
    }
    return {};
}

bool mayRetryAfterCrash(const Evidence &evidence, const std::vector<std::string> &parts,
                        TimePoint now)
{
    if (!convictedPart(evidence, parts, now).empty())
        return false;
    return std::none_of(parts.begin(), parts.end(), [&](const std::string &it) {
        return !answeredAt(evidence.answered, it)
            && crashCount(evidence, it) + 1 >= evidence.policy.minCrashesToStop;
    });
}

bool applyVerdict(Evidence &evidence, const std::string &part, const Verdict &verdict)
{
    const auto it = evidence.verdicts.find(part);
    if (it == evidence.verdicts.end()) {
        if (evidence.verdicts.size() >= evidence.policy.maxVerdicts) {
            ++evidence.verdictsDropped;
            return false;
        }
        evidence.verdicts[part] = verdict;
        return true;
    }
    Verdict &known = it->second;
    if (verdict.generation < known.generation)
        return false;
    if (verdict.generation == known.generation) {
        known.expiresAt = std::max(known.expiresAt, verdict.expiresAt);
        return false;
    }
    known = verdict;
    return true;
}

bool lift(Evidence &evidence, const std::string &part, TimePoint now)
{
    const auto it = evidence.verdicts.find(part);
    if (it == evidence.verdicts.end() || !isInForce(it->second, now))
        return false;
    ++it->second.generation;
    it->second.isLifted = true;
    // The record outlives every copy of the verdict that another instance may still hold.
    it->second.expiresAt = now + evidence.policy.verdictLifetime;
    return true;
}

bool isInForce(const Verdict &verdict, TimePoint now)
{
    return !verdict.isLifted && now < verdict.expiresAt;
}

std::optional<TimePoint> lastAnswerAt(const Evidence &evidence, const std::string &part)
{
    return answeredAt(evidence.answered, part);
}

std::size_t crashCount(const Evidence &evidence, const std::string &part)
{
    return crashesAgainst(evidence, part).size();
}

} // namespace kumquathaven::quarantine
