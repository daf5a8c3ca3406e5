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

    /// Fails with Quarantined if a subject of the request crashes servers, and with Overloaded
    /// while that is being decided.
    Result<void> admit(const std::vector<std::string> &subjects, TimePoint now);

    /// Returns whether a request whose server may have crashed may be sent to another one.
    bool mayRetryAfterCrash(const std::vector<std::string> &subjects, TimePoint now) const;

    /// Returns whether a subject of the request is convicted.
    bool isConvicted(const std::vector<std::string> &subjects, TimePoint now) const;

    /// Records that a server began to answer a request.
    void recordAnswer(const std::vector<std::string> &subjects, TimePoint now);

    /// Records that a server crashed under requests of this instance.
    void recordCrash(const std::string &start,
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
    /// Verdicts in force by SubjectKind.
    std::array<telemetry::Gauge *, subjectKindNames.size()> m_inForce;
    telemetry::Gauge &m_dropped;
};

/// Returns the error for a request that crashes servers, itself or by a part of its prompt.
Error quarantinedError(const std::string &subject, std::uint32_t crashes, Outcome outcome);

} // namespace kumquathaven::quarantine

#endif // KUMQUATHAVEN_QUARANTINE_QUARANTINE_H
