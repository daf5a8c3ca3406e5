#include "trials.h"

#include "kumquathaven/base/hash.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <limits>

namespace kumquathaven::quarantine {

namespace {

/// Returns whether this instance may begin a trial that is due since \p dueAt. Instances learn of
/// each other's trials within the settling time. In the first such time about one of them may begin
/// it, in each further one more of them, and never so many that those who do not know of a trial
/// yet repeat it often.
bool hasTurn(const Evidence &evidence, const std::string &subject, const Verdict &verdict,
             TimePoint dueAt, TimePoint now)
{
    constexpr double maxShare = 0.25;
    if (evidence.instances.size() < 2)
        return true;
    const auto slice = (now - dueAt) / evidence.policy.settleTime;
    const double share = std::min(
        maxShare, static_cast<double>(slice + 1) / static_cast<double>(evidence.instances.size()));
    const std::string key =
        subject + '#' + std::to_string(verdict.failedTrials) + '#' + std::to_string(slice);
    const double draw = static_cast<double>(rendezvousRank(key, evidence.self))
        / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return draw < share;
}

/// Returns whether a server crashed without the subject since this instance knows of the verdict.
bool hasOtherCrashes(const Evidence &evidence, const std::string &subject, const Verdict &verdict)
{
    return std::any_of(evidence.crashes.begin(), evidence.crashes.end(), [&](const Crash &it) {
        return it.at >= verdict.knownSince && !it.isExplained && it.suspects.count(subject) == 0;
    });
}

/// Forgets the starts that have not answered for a while.
void removeOldAnswers(Evidence &evidence, TimePoint now)
{
    const Duration age = 2 * evidence.policy.maxTrialTime;
    for (auto it = evidence.lastAnswers.begin(); it != evidence.lastAnswers.end();)
        it = now - it->second > age ? evidence.lastAnswers.erase(it) : std::next(it);
    if (evidence.lastAnswers.size() >= evidence.policy.maxStarts)
        evidence.lastAnswers.clear();
}

} // namespace

bool isTrialDue(const Evidence &evidence, const std::string &subject, TimePoint now)
{
    const Verdict &verdict = evidence.verdicts.at(subject);
    const bool isRunning = verdict.trial && !verdict.trial->failedAt
        && now - verdict.trial->beganAt <= evidence.policy.maxTrialTime;
    const TimePoint dueAt = nextTrialAt(evidence.policy, verdict);
    return !isRunning && now >= dueAt && hasTurn(evidence, subject, verdict, dueAt, now);
}

void beginTrial(Evidence &evidence, const std::string &subject, TimePoint now)
{
    Verdict &verdict = evidence.verdicts.at(subject);
    ++verdict.generation;
    verdict.decidedAt = now;
    verdict.expiresAt = now + evidence.policy.verdictLifetime;
    verdict.trial.emplace();
    verdict.trial->beganAt = now;
    verdict.trial->failedBefore = verdict.failedTrials;
}

void recordLife(Evidence &evidence, const std::string &service, const std::string &start,
                TimePoint now)
{
    const auto known = evidence.lastAnswers.find({service, start});
    if (known == evidence.lastAnswers.end()) {
        if (evidence.lastAnswers.size() >= evidence.policy.maxStarts)
            removeOldAnswers(evidence, now);
        evidence.lastAnswers[{service, start}] = now;
        return;
    }
    for (auto &it : evidence.verdicts) {
        std::optional<Trial> &trial = it.second.trial;
        const bool isWitness = trial && trial->failedAt && trial->service == service
            && trial->start != start && known->second < *trial->failedAt
            && now - *trial->failedAt >= evidence.policy.momentLength;
        if (isWitness)
            trial->isWitnessed = true;
    }
    known->second = now;
}

bool failTrial(Evidence &evidence, const std::string &subject, const std::string &service,
               const std::string &start, TimePoint at)
{
    const auto it = evidence.verdicts.find(subject);
    if (it == evidence.verdicts.end() || !isInForce(it->second, at) || !it->second.trial)
        return false;
    Verdict &verdict = it->second;
    Trial &trial = *verdict.trial;
    const bool isOfTrial = !trial.failedAt && at >= trial.beganAt
        && at - trial.beganAt <= evidence.policy.maxTrialTime;
    if (!isOfTrial)
        return false;
    trial.failedAt = at;
    trial.service = service;
    trial.start = start;
    ++verdict.generation;
    ++verdict.crashes;
    verdict.failedTrials = std::max(verdict.failedTrials, trial.failedBefore + 1);
    verdict.decidedAt = at;
    return true;
}

std::vector<std::string> prove(Evidence &evidence, TimePoint now)
{
    std::vector<std::string> proven;
    for (auto &[subject, verdict] : evidence.verdicts) {
        const bool isShown = verdict.trial && verdict.trial->isWitnessed
            && now - *verdict.trial->failedAt >= evidence.policy.settleTime;
        if (!isShown || verdict.isProven || !isInForce(verdict, now)
            || hasOtherCrashes(evidence, subject, verdict))
            continue;
        verdict.isProven = true;
        ++verdict.generation;
        proven.push_back(subject);
    }
    return proven;
}

TimePoint nextTrialAt(const Policy &policy, const Verdict &verdict)
{
    if (verdict.isProven)
        return verdict.decidedAt + policy.verdictLifetime;
    Duration delay = policy.firstTrialDelay;
    for (std::uint32_t n = 0; n < verdict.failedTrials && delay < policy.verdictLifetime; ++n)
        delay *= policy.trialDelayFactor;
    return verdict.decidedAt + std::min(delay, policy.verdictLifetime);
}

} // namespace kumquathaven::quarantine
