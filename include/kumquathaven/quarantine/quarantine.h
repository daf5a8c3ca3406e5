// Refuses requests that crash servers, or whose prompts have parts that do, and keeps what is to be
// told to the other instances about them.

#ifndef KUMQUATHAVEN_QUARANTINE_QUARANTINE_H
#define KUMQUATHAVEN_QUARANTINE_QUARANTINE_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/quarantine/evidence.h"
#include "kumquathaven/telemetry/metrics.h"

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace kumquathaven::quarantine {

/// Suspects of one crash, as one instance saw it.
struct CrashReport
{
    std::string start;
    std::vector<Suspect> suspects;
};

/// A suspected subject that an instance saw answered, and how long ago.
struct AnsweredSubject
{
    std::string subject;
    Duration age{0};
};

/// A verdict about a subject, or its lifting.
struct SubjectVerdict
{
    std::string subject;
    Verdict verdict;
};

/// What the other instances must be told.
struct QuarantineNews
{
    std::vector<CrashReport> crashes;
    std::vector<AnsweredSubject> answered;
    std::vector<SubjectVerdict> verdicts;
};

/// Not thread-safe.
class Quarantine
{
public:
    explicit Quarantine(telemetry::Metrics &metrics);

    /// Sets the names of this instance and of all instances that serve requests.
    void setInstances(std::string self, std::vector<std::string> instances);

    /// Fails with Quarantined if a subject of the request crashes servers, and with Overloaded
    /// while that is being decided or not proven.
    Result<void> admit(const std::vector<std::string> &subjects, TimePoint now);

    /// Returns whether a request whose server may have crashed may be sent to another one.
    bool mayRetryAfterCrash(const std::vector<std::string> &subjects, TimePoint now) const;

    /// Returns whether a subject of the request is convicted.
    bool isConvicted(const std::vector<std::string> &subjects, TimePoint now) const;

    /// Returns whether a subject of the request was convicted, or a trial of it began, after \p
    /// since, when the request was admitted.
    bool isConvictedSince(const std::vector<std::string> &subjects, TimePoint since,
                          TimePoint now) const;

    /// Returns the error for a request with a convicted subject: Quarantined if that is proven,
    /// else Overloaded with the time of the next trial.
    Error errorOf(const std::string &subject, Outcome outcome, TimePoint now) const;

    /// Records that a start of a server answered something.
    void recordLife(const std::string &service, const std::string &start, TimePoint now);

    /// Records that a server began to answer a request.
    void recordAnswer(const std::vector<std::string> &subjects, TimePoint now);

    /// Records that a server of a service crashed under requests of this instance.
    void recordCrash(const std::string &service, const std::string &start,
                     const std::vector<std::vector<std::string>> &requests, TimePoint at);

    /// Apply what other instances observed. The last one returns whether requests with the subject
    /// are refused from now on.
    void applyReport(const CrashReport &report, TimePoint at, TimePoint now);
    void applyAnswer(const std::string &subject, TimePoint at);
    bool applyVerdict(const SubjectVerdict &verdict, TimePoint now);

    /// Convicts the subjects for which there is enough evidence. Returns them.
    std::vector<std::string> judge(TimePoint now);

    /// Lifts a verdict. Returns false if there is none.
    bool lift(const std::string &subject, TimePoint now);

    /// Returns what was not told to the other instances yet.
    QuarantineNews takeNews(TimePoint now);

    /// Returns all verdicts, for an instance that was not connected.
    QuarantineNews allVerdicts() const;

    const Evidence &evidence() const { return m_evidence; }

private:
    void queueAnswers(const std::vector<std::string> &subjects);

    Evidence m_evidence;
    std::vector<CrashReport> m_unreportedCrashes;
    std::set<std::string> m_unreportedAnswers;
    std::set<std::string> m_changedVerdicts;
    telemetry::Counter &m_refused;
    telemetry::Counter &m_convicted;
    telemetry::Counter &m_lifted;
    telemetry::Counter &m_trials;
    telemetry::Counter &m_failedTrials;
    /// Verdicts in force by SubjectKind.
    std::array<telemetry::Gauge *, subjectKindNames.size()> m_inForce;
    telemetry::Gauge &m_dropped;
};

} // namespace kumquathaven::quarantine

#endif // KUMQUATHAVEN_QUARANTINE_QUARANTINE_H
