#include "kumquathaven/quarantine/evidence.h"

#include "trials.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace kumquathaven::quarantine {

namespace {

std::size_t indexOf(const std::string &subject)
{
    return static_cast<std::size_t>(kindOf(subject));
}

std::optional<TimePoint> answeredAt(const Evidence &evidence, const std::string &subject)
{
    const AnsweredSubjects &answered = evidence.answered[indexOf(subject)];
    for (const auto *it : {&answered.newer, &answered.older}) {
        const auto found = it->find(subject);
        if (found != it->end())
            return found->second;
    }
    return std::nullopt;
}

void setAnswered(Evidence &evidence, const std::string &subject, TimePoint at)
{
    AnsweredSubjects &answered = evidence.answered[indexOf(subject)];
    TimePoint &known = answered.newer[subject];
    known = std::max(known, at);
    if (answered.newer.size() * 2 <= evidence.policy.of(subject).maxAnswered)
        return;
    answered.older = std::move(answered.newer);
    answered.newer.clear();
}

/// Returns the number of elements of a map by subject that are about subjects of one kind.
template <typename Map>
std::size_t countOfKind(const Map &map, SubjectKind kind)
{
    return static_cast<std::size_t>(std::count_if(map.begin(), map.end(), [&](const auto &it) {
        return kindOf(it.first) == kind;
    }));
}

/// Returns whether there is room for a verdict about a subject.
bool hasRoom(const Evidence &evidence, const std::string &subject)
{
    return evidence.verdicts.count(subject) > 0
        || countOfKind(evidence.verdicts, kindOf(subject))
        < evidence.policy.of(subject).maxVerdicts;
}

/// Returns whether a crash counts against a subject: no request with it was answered since.
bool countsAgainst(const Crash &crash, const std::string &subject,
                   std::optional<TimePoint> answered)
{
    return crash.suspects.count(subject) > 0 && (!answered || *answered < crash.at);
}

/// The case against one subject.
struct Case
{
    std::string subject;
    bool wasAnswered = false;
    std::uint32_t position = 0;
    /// Indexes of the crashes, in order of time.
    std::vector<std::size_t> crashes;
    std::size_t moments = 0;
    /// Those of them for which nothing is convicted.
    std::vector<std::size_t> unexplained;
    /// The crash that completed the evidence; empty if there is not enough.
    std::optional<TimePoint> completeAt;
};

std::vector<std::size_t> crashesAgainst(const Evidence &evidence, const std::string &subject)
{
    const auto answered = answeredAt(evidence, subject);
    std::vector<std::size_t> indexes;
    for (std::size_t n = 0; n < evidence.crashes.size(); ++n) {
        if (countsAgainst(evidence.crashes[n], subject, answered))
            indexes.push_back(n);
    }
    std::sort(indexes.begin(), indexes.end(), [&](std::size_t a, std::size_t b) {
        return evidence.crashes[a].at < evidence.crashes[b].at;
    });
    return indexes;
}

/// Returns whether so many crashes of a burst have the subject in common that they convict it
/// without a look at their moments.
bool isBurst(const Evidence &evidence, const Case &found, std::size_t count)
{
    const Policy &policy = evidence.policy;
    const std::size_t minBurst = policy.of(found.subject).minBurst;
    if (found.wasAnswered || count < minBurst || found.moments < policy.minBurstMoments)
        return false;
    const TimePoint first = evidence.crashes[found.crashes.front()].at;
    const TimePoint last = evidence.crashes[found.crashes[count - 1]].at;
    const auto all =
        std::count_if(evidence.crashes.begin(), evidence.crashes.end(), [&](const Crash &it) {
            return it.at >= first && it.at <= last;
        });
    return static_cast<double>(count) >= policy.minBurstShare * static_cast<double>(all);
}

/// Returns how many elements of one list another one has.
std::size_t sharedCount(const std::vector<std::size_t> &list, const std::vector<std::size_t> &other)
{
    return static_cast<std::size_t>(std::count_if(list.begin(), list.end(), [&](std::size_t n) {
        return std::find(other.begin(), other.end(), n) != other.end();
    }));
}

/// Returns whether the unexplained crashes of a part may as well be caused by one request.
bool haveCommonRequest(const Evidence &evidence, const Case &found)
{
    if (kindOf(found.subject) != SubjectKind::Part)
        return false;
    const auto &suspects = evidence.crashes[found.unexplained.front()].suspects;
    return std::any_of(suspects.begin(), suspects.end(), [&](const auto &it) {
        return kindOf(it.first) == SubjectKind::Request
            && sharedCount(found.unexplained, crashesAgainst(evidence, it.first))
            == found.unexplained.size();
    });
}

/// Builds the case against a subject.
Case caseAgainst(const Evidence &evidence, const std::string &subject, std::uint32_t position)
{
    const Policy &policy = evidence.policy;
    Case found;
    found.subject = subject;
    found.position = position;
    found.wasAnswered = answeredAt(evidence, subject).has_value();
    found.crashes = crashesAgainst(evidence, subject);
    const KindPolicy &kind = policy.of(subject);
    const std::size_t needed = found.wasAnswered ? kind.minCrashesIfAnswered : kind.minCrashes;
    TimePoint momentBegan{};
    for (std::size_t n = 0; n < found.crashes.size(); ++n) {
        const Crash &crash = evidence.crashes[found.crashes[n]];
        if (!crash.isExplained)
            found.unexplained.push_back(found.crashes[n]);
        if (found.moments == 0 || crash.at - momentBegan >= policy.momentLength) {
            ++found.moments;
            momentBegan = crash.at;
        }
        const bool isEnough = found.moments >= needed || isBurst(evidence, found, n + 1);
        if (isEnough && !found.completeAt)
            found.completeAt = crash.at;
    }
    if (!found.completeAt)
        return found;
    if (found.unexplained.empty() || haveCommonRequest(evidence, found)) {
        found.completeAt.reset();
        return found;
    }
    // Reports that explain a crash may still be on their way.
    const TimePoint unexplainedAt = evidence.crashes[found.unexplained.front()].at;
    found.completeAt = std::max(*found.completeAt, unexplainedAt);
    return found;
}

/// Orders cases by their strength: subjects that were never answered, with more crashes, shared by
/// fewer requests.
bool isStronger(const Case &a, const Case &b)
{
    if (a.wasAnswered != b.wasAnswered)
        return b.wasAnswered;
    if (a.crashes.size() != b.crashes.size())
        return a.crashes.size() > b.crashes.size();
    if (kindOf(a.subject) != kindOf(b.subject))
        return kindOf(a.subject) == SubjectKind::Request;
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
    std::map<std::string, Mentions> subjects;
    for (const Crash &crash : evidence.crashes) {
        for (const auto &[subject, position] : crash.suspects) {
            Mentions &it = subjects[subject];
            ++it.crashes;
            it.position = std::max(it.position, position);
        }
    }
    std::vector<Case> cases;
    for (const auto &[subject, mentions] : subjects) {
        // Nearly all subjects are suspects of one crash only.
        if (mentions.crashes < evidence.policy.of(subject).minCrashes)
            continue;
        Case found = caseAgainst(evidence, subject, mentions.position);
        if (found.completeAt)
            cases.push_back(std::move(found));
    }
    std::sort(cases.begin(), cases.end(), isStronger);
    return cases;
}

/// Marks the crashes of a convicted subject as explained. Other suspects of them are cleared,
/// except those that may be the cause instead: subjects that occurred under the same crashes, and
/// parts that occurred under all crashes of a request.
void explainCrashes(Evidence &evidence, const Case &convicted)
{
    const bool isRequest = kindOf(convicted.subject) == SubjectKind::Request;
    std::set<std::string> kept;
    for (const auto &it : evidence.crashes[convicted.crashes.front()].suspects) {
        const std::vector<std::size_t> crashes = crashesAgainst(evidence, it.first);
        const bool isPartOfRequest = isRequest && kindOf(it.first) == SubjectKind::Part
            && sharedCount(convicted.crashes, crashes) == convicted.crashes.size();
        if (it.first != convicted.subject && (isPartOfRequest || crashes == convicted.crashes))
            kept.insert(it.first);
    }
    for (const std::size_t n : convicted.crashes) {
        Crash &crash = evidence.crashes[n];
        crash.isExplained = true;
        for (auto it = crash.suspects.begin(); it != crash.suspects.end();)
            it = kept.count(it->first) > 0 ? std::next(it) : crash.suspects.erase(it);
    }
}

/// Returns the case to decide first: the strongest one. A part occurs under each crash of a request
/// with it, so that a request goes before the part if it explains nearly all crashes of the part.
const Case &firstCase(const Evidence &evidence, const std::vector<Case> &cases)
{
    const Case &strongest = cases.front();
    const double minShared =
        evidence.policy.minExplainedShare * static_cast<double>(strongest.crashes.size());
    const auto request = std::find_if(cases.begin(), cases.end(), [&](const Case &it) {
        return kindOf(it.subject) == SubjectKind::Request
            && static_cast<double>(sharedCount(it.crashes, strongest.crashes)) >= minShared;
    });
    return request == cases.end() ? strongest : *request;
}

void convict(Evidence &evidence, const Case &found, TimePoint now)
{
    Verdict verdict;
    verdict.generation = evidence.verdicts[found.subject].generation + 1;
    verdict.crashes = static_cast<std::uint32_t>(found.crashes.size());
    verdict.decidedAt = now;
    verdict.knownSince = now;
    verdict.expiresAt = now + evidence.policy.verdictLifetime;
    evidence.verdicts[found.subject] = std::move(verdict);
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

bool isConvicted(const Evidence &evidence, const std::string &subject, TimePoint now)
{
    const auto it = evidence.verdicts.find(subject);
    return it != evidence.verdicts.end() && isInForce(it->second, now);
}

} // namespace

std::vector<std::string> recordAnswer(Evidence &evidence, const std::vector<std::string> &subjects,
                                      TimePoint now)
{
    std::vector<std::string> suspected;
    for (const std::string &subject : subjects) {
        const bool isSuspected =
            crashCount(evidence, subject) > 0 || isConvicted(evidence, subject, now);
        if (isSuspected)
            suspected.push_back(subject);
        recordAnswerElsewhere(evidence, subject, now);
        lift(evidence, subject, now);
    }
    return suspected;
}

void recordAnswerElsewhere(Evidence &evidence, const std::string &subject, TimePoint at)
{
    setAnswered(evidence, subject, at);
    for (Crash &it : evidence.crashes) {
        if (it.at < at)
            it.suspects.erase(subject);
    }
}

std::vector<Suspect> suspectsOf(const Evidence &evidence, const std::vector<std::string> &subjects,
                                TimePoint now)
{
    std::vector<Suspect> suspects;
    for (std::size_t n = 0; n < subjects.size(); ++n) {
        const auto answered = answeredAt(evidence, subjects[n]);
        if (!answered || now - *answered > evidence.policy.answerLifetime)
            suspects.push_back({subjects[n], static_cast<std::uint32_t>(n)});
    }
    return suspects;
}

std::vector<std::string> recordCrash(Evidence &evidence, const std::string &start,
                                     const std::vector<Suspect> &suspects, TimePoint at)
{
    const bool isExplained = std::any_of(suspects.begin(), suspects.end(), [&](const Suspect &it) {
        return isConvicted(evidence, it.subject, at);
    });
    for (auto it = evidence.lastAnswers.begin(); it != evidence.lastAnswers.end();)
        it = it->first.second == start ? evidence.lastAnswers.erase(it) : std::next(it);
    Crash &crash = crashOf(evidence, start, at);
    if (isExplained) {
        crash.isExplained = true;
        crash.suspects.clear();
    }
    if (crash.isExplained)
        return {};
    evidence.isReviewDue = true;
    for (const Suspect &it : suspects) {
        const std::size_t known = countOfKind(crash.suspects, kindOf(it.subject));
        if (known < evidence.policy.of(it.subject).maxSuspects)
            crash.suspects.emplace(it.subject, it.position);
    }
    std::vector<std::string> answered;
    for (const Suspect &it : suspects) {
        const auto isSuspected = [&](const Crash &other) {
            return other.suspects.count(it.subject) > 0;
        };
        const auto crashes =
            std::count_if(evidence.crashes.begin(), evidence.crashes.end(), isSuspected);
        if (crashes > 1 && answeredAt(evidence, it.subject))
            answered.push_back(it.subject);
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
        if (cases.empty())
            break;
        const Case &first = firstCase(evidence, cases);
        if (now - *first.completeAt < evidence.policy.settleTime)
            break;
        explainCrashes(evidence, first);
        // Another instance was faster.
        if (isConvicted(evidence, first.subject, now))
            continue;
        if (!hasRoom(evidence, first.subject)) {
            ++evidence.verdictsDropped;
            continue;
        }
        convict(evidence, first, now);
        convicted.push_back(first.subject);
    }
    return convicted;
}

Admission admit(Evidence &evidence, const std::vector<std::string> &subjects, TimePoint now)
{
    std::vector<std::string> convicted;
    std::copy_if(subjects.begin(), subjects.end(), std::back_inserter(convicted),
                 [&](const std::string &it) {
                     return isConvicted(evidence, it, now);
                 });
    const bool isTrial =
        std::all_of(convicted.begin(), convicted.end(), [&](const std::string &it) {
            return isTrialDue(evidence, it, now);
        });
    for (const std::string &it : convicted) {
        if (isTrial)
            beginTrial(evidence, it, now);
        evidence.verdicts.at(it).expiresAt = now + evidence.policy.verdictLifetime;
    }
    if (!convicted.empty())
        return isTrial ? Admission::Trial : Admission::Refused;
    for (std::size_t n = 0; n < subjects.size(); ++n) {
        if (evidence.crashes.size() < evidence.policy.of(subjects[n]).minCrashes)
            continue;
        if (caseAgainst(evidence, subjects[n], static_cast<std::uint32_t>(n)).completeAt)
            return Admission::Pending;
    }
    return Admission::Allowed;
}

std::string convictedSubject(const Evidence &evidence, const std::vector<std::string> &subjects,
                             TimePoint now)
{
    for (const std::string &subject : subjects) {
        if (isConvicted(evidence, subject, now))
            return subject;
    }
    return {};
}

bool mayRetryAfterCrash(const Evidence &evidence, const std::vector<std::string> &subjects,
                        TimePoint now)
{
    if (!convictedSubject(evidence, subjects, now).empty())
        return false;
    return std::none_of(subjects.begin(), subjects.end(), [&](const std::string &it) {
        return !answeredAt(evidence, it)
            && crashCount(evidence, it) + 1 >= evidence.policy.minCrashesToStop;
    });
}

bool applyVerdict(Evidence &evidence, const std::string &subject, const Verdict &verdict)
{
    const auto it = evidence.verdicts.find(subject);
    if (it == evidence.verdicts.end()) {
        if (!hasRoom(evidence, subject)) {
            ++evidence.verdictsDropped;
            return false;
        }
        evidence.verdicts[subject] = verdict;
        return true;
    }
    Verdict &known = it->second;
    if (verdict.generation < known.generation)
        return false;
    if (verdict.generation == known.generation) {
        known.expiresAt = std::max(known.expiresAt, verdict.expiresAt);
        return false;
    }
    // What only this instance knows of the verdict stays.
    const Verdict before = std::exchange(known, verdict);
    if (!before.isLifted) {
        known.knownSince = before.knownSince;
        known.trial = before.trial;
    }
    return true;
}

bool lift(Evidence &evidence, const std::string &subject, TimePoint now)
{
    const auto it = evidence.verdicts.find(subject);
    if (it == evidence.verdicts.end() || !isInForce(it->second, now))
        return false;
    ++it->second.generation;
    it->second.isLifted = true;
    it->second.trial.reset();
    // The record outlives every copy of the verdict that another instance may still hold.
    it->second.expiresAt = now + evidence.policy.verdictLifetime;
    return true;
}

bool isInForce(const Verdict &verdict, TimePoint now)
{
    return !verdict.isLifted && now < verdict.expiresAt;
}

std::optional<TimePoint> lastAnswerAt(const Evidence &evidence, const std::string &subject)
{
    return answeredAt(evidence, subject);
}

std::size_t crashCount(const Evidence &evidence, const std::string &subject)
{
    return crashesAgainst(evidence, subject).size();
}

} // namespace kumquathaven::quarantine
