// Finds parts of prompts and requests that crash servers, so that they can be refused.
//
// A request that crashes the server that begins to answer it is handed to each server in turn by
// retries, by its caller's further attempts, and by others like it. Subjects of evidence are the
// parts of a prompt, which requests share, and the request itself, which may be sent again. All
// that waited at a crashed server are suspects, and most of them are sound; they share their
// customer and most of their parts. A subject is convicted if several servers crashed at different
// moments under requests with it and no request with it was ever answered.
//
// Requests with a convicted subject are refused, so that nothing could show any more that it is
// sound. Single requests with it are therefore let through as trials, rarer after each one whose
// server crashed. An answer lifts the verdict. Until a trial has proved it, callers may come back:
// a crash proves nothing if it may have come whatever the server was sent.
//
// The functions are pure: what was observed and the current time are arguments. Every instance
// records what all instances observed, and judges by itself.

#ifndef KUMQUATHAVEN_QUARANTINE_EVIDENCE_H
#define KUMQUATHAVEN_QUARANTINE_EVIDENCE_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/quarantine/subject.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace kumquathaven::quarantine {

/// What differs between the kinds of subjects; the defaults are those of parts. Each kind has
/// tables of its own size, so that subjects of one kind push out none of the other.
struct KindPolicy
{
    /// Number of crashes at different moments that convict a subject no request with which was ever
    /// answered, and one that was answered before.
    std::size_t minCrashes = 3;
    std::size_t minCrashesIfAnswered = 5;
    /// Number of crashes of a burst, which may be over before there were enough moments, that
    /// convict a subject which was never answered.
    std::size_t minBurst = 5;
    /// Suspects of one crash.
    std::size_t maxSuspects = 64;
    std::size_t maxAnswered = 8'192;
    std::size_t maxVerdicts = 256;
};

/// A request waits at one server at a time, so that few crashes have a sound one in common.
inline KindPolicy requestPolicy()
{
    KindPolicy policy;
    policy.minCrashesIfAnswered = 4;
    policy.minBurst = 3;
    return policy;
}

struct Policy
{
    /// By SubjectKind.
    std::array<KindPolicy, subjectKindNames.size()> kinds = {KindPolicy(), requestPolicy()};
    /// Crashes within this time count as one moment, since a rack or a failure domain can be lost
    /// as a whole. It covers the time in which instances notice one crash.
    Duration momentLength = std::chrono::milliseconds(150);
    /// A burst convicts a subject that crashes at this many moments, and this share of all crashes
    /// meanwhile, have in common.
    std::size_t minBurstMoments = 2;
    double minBurstShare = 0.8;
    /// A request is convicted before a part if it was a suspect of this share of the part's
    /// crashes.
    double minExplainedShare = 0.8;
    /// Time between the last crash that is needed and the verdict, in which reports of answers from
    /// other instances arrive.
    Duration settleTime = std::chrono::milliseconds(400);
    /// An instance does not report subjects that it saw answered within this time as suspects.
    Duration answerLifetime = std::chrono::seconds(10);
    /// How long a crash counts.
    Duration crashLifetime = std::chrono::hours(1);
    /// A verdict lapses after this time without a request with the subject.
    Duration verdictLifetime = std::chrono::minutes(10);
    /// A request at a crashed server is not sent to another one if this many servers crashed under
    /// one of its subjects, which was never answered.
    std::size_t minCrashesToStop = 2;
    /// Reports that name one start of a server within this time are about one crash. Engines that
    /// keep their name when they start again take longer for that.
    Duration sameCrashTime = std::chrono::seconds(2);
    /// How long instances may take to report a crash.
    Duration maxReportDelay = std::chrono::seconds(10);

    /// The first trial of a verdict begins this long after the conviction, and each further one
    /// after a time that grows by a factor with each trial whose server crashed, up to
    /// verdictLifetime.
    Duration firstTrialDelay = std::chrono::seconds(2);
    int trialDelayFactor = 6;
    /// A crash later than this after the beginning of a trial has nothing to do with it.
    Duration maxTrialTime = std::chrono::seconds(10);

    std::size_t maxCrashes = 256;
    /// Starts of servers whose answers are remembered.
    std::size_t maxStarts = 4'096;

    const KindPolicy &of(std::string_view subject) const
    {
        return kinds[static_cast<std::size_t>(kindOf(subject))];
    }
};

/// A subject of a request that waited at a server when it crashed.
struct Suspect
{
    std::string subject;
    /// Index of a part in its prompt; that of the request itself follows. Of two subjects that
    /// always occur together, the later one is shared by fewer requests.
    std::uint32_t position = 0;
};

/// The end of one start of a server.
struct Crash
{
    std::string start;
    TimePoint at{};
    /// Positions by subject.
    std::map<std::string, std::uint32_t> suspects;
    /// Whether a subject was convicted for this crash. Then it only supports other evidence against
    /// subjects that occurred wherever the convicted one did.
    bool isExplained = false;
};

/// A request with a convicted subject that this instance let through.
struct Trial
{
    TimePoint beganAt{};
    /// Number of trials that had failed before. Two instances may begin one trial at once.
    std::uint32_t failedBefore = 0;
    /// When its server crashed, which start that was, and of which service.
    std::optional<TimePoint> failedAt;
    std::string service;
    std::string start;
    /// Whether another server of the service answered before and after that crash.
    bool isWitnessed = false;
};

struct Verdict
{
    /// Counts the verdicts, trials and liftings of a subject. The larger one is newer.
    std::uint64_t generation = 0;
    /// Whether an answer or an operator has lifted the verdict.
    bool isLifted = false;
    /// Number of crashes under requests with the subject.
    std::uint32_t crashes = 0;
    /// When the subject was convicted, or its last trial began or failed.
    TimePoint decidedAt{};
    /// When the verdict, or the record of its lifting, lapses.
    TimePoint expiresAt{};
    /// Number of trials whose server crashed.
    std::uint32_t failedTrials = 0;
    /// Whether a trial has shown that the crashes come with the subject.
    bool isProven = false;
    /// When this instance learned of the verdict.
    TimePoint knownSince{};
    /// The last trial that this instance began.
    std::optional<Trial> trial = std::nullopt;
};

/// Subjects that were answered, with the time of their last answer. Memory is bounded: when the
/// newer half is full, the older half is dropped.
struct AnsweredSubjects
{
    std::unordered_map<std::string, TimePoint> newer;
    std::unordered_map<std::string, TimePoint> older;
};

/// What one instance knows.
struct Evidence
{
    Policy policy;
    std::deque<Crash> crashes;
    /// By SubjectKind.
    std::array<AnsweredSubjects, subjectKindNames.size()> answered;
    std::map<std::string, Verdict> verdicts;
    /// When the starts of the servers of each service last answered.
    std::map<std::pair<std::string, std::string>, TimePoint> lastAnswers;
    /// Names of this instance and of all that may begin trials.
    std::string self;
    std::vector<std::string> instances;
    /// Whether crashes were recorded that judge() has not come to an end with.
    bool isReviewDue = false;
    /// Crashes that were dropped because there were too many, and convictions that found no room.
    std::uint64_t crashesDropped = 0;
    std::uint64_t verdictsDropped = 0;
};

/// What is to be done with a request.
enum class Admission {
    Allowed,
    /// A verdict about one of its subjects is due within Policy::settleTime.
    Pending,
    /// One of its subjects is convicted, and the request may show that it is sound.
    Trial,
    /// One of its subjects is convicted.
    Refused,
};

/// Records that a server began to answer a request with the subjects. Returns the subjects that are
/// suspected or convicted, of which the other instances must be told.
std::vector<std::string> recordAnswer(Evidence &evidence, const std::vector<std::string> &subjects,
                                      TimePoint now);

/// Records that another instance saw an answer to a request with the subject, maybe before the
/// crashes. It lifts no verdict.
void recordAnswerElsewhere(Evidence &evidence, const std::string &subject, TimePoint at);

/// Returns those subjects of a request at a crashed server that are to be reported as suspects:
/// those that this instance did not see answered recently.
std::vector<Suspect> suspectsOf(const Evidence &evidence, const std::vector<std::string> &subjects,
                                TimePoint now);

/// Records a crash, seen here or reported by another instance. Reports of one crash are merged.
/// Returns the subjects that this instance saw answered although they are suspected repeatedly, of
/// which the other instances must be told.
std::vector<std::string> recordCrash(Evidence &evidence, const std::string &start,
                                     const std::vector<Suspect> &suspects, TimePoint at);

/// Convicts the subjects for which there is enough evidence. Returns them.
std::vector<std::string> judge(Evidence &evidence, TimePoint now);

/// Records that a start of a server of a service answered something.
void recordLife(Evidence &evidence, const std::string &service, const std::string &start,
                TimePoint now);

/// Records that a server crashed under a request with the subject, sent by this instance. Returns
/// whether that was a trial, which failed.
bool failTrial(Evidence &evidence, const std::string &subject, const std::string &service,
               const std::string &start, TimePoint at);

/// Proves the verdicts of which a trial failed while another server of the service went on, and
/// since whose beginning no server crashed without their subject. Returns their subjects.
std::vector<std::string> prove(Evidence &evidence, TimePoint now);

/// Returns when the next trial of a verdict is due.
TimePoint nextTrialAt(const Policy &policy, const Verdict &verdict);

/// Returns what is to be done with a request. A refusal extends the verdict. Few instances at a
/// time begin the trial of one verdict.
Admission admit(Evidence &evidence, const std::vector<std::string> &subjects, TimePoint now);

/// Returns the subject for which a request is refused; empty if there is none.
std::string convictedSubject(const Evidence &evidence, const std::vector<std::string> &subjects,
                             TimePoint now);

/// Returns whether a request whose server has just crashed may be sent to another one. The crash
/// need not be recorded yet.
bool mayRetryAfterCrash(const Evidence &evidence, const std::vector<std::string> &subjects,
                        TimePoint now);

/// Applies a verdict or a lifting of another instance. Returns whether it changed anything.
bool applyVerdict(Evidence &evidence, const std::string &subject, const Verdict &verdict);

/// Lifts a verdict. Returns false if there is none in force.
bool lift(Evidence &evidence, const std::string &subject, TimePoint now);

/// Returns whether a verdict is in force.
bool isInForce(const Verdict &verdict, TimePoint now);

/// Returns when a request with the subject was last answered, as far as it is remembered.
std::optional<TimePoint> lastAnswerAt(const Evidence &evidence, const std::string &subject);

/// Returns the number of crashes under requests with the subject since it was last answered.
std::size_t crashCount(const Evidence &evidence, const std::string &subject);

} // namespace kumquathaven::quarantine

#endif // KUMQUATHAVEN_QUARANTINE_EVIDENCE_H
