#include "kumquathaven/quarantine/quarantine.h"

#include "kumquathaven/telemetry/log.h"

#include <algorithm>
#include <map>
#include <utility>

namespace kumquathaven::quarantine {

namespace {

constexpr std::size_t maxUnreported = 256;
/// Bounds of the time after which callers may come back while a verdict is not proven.
constexpr Duration minHoldTime = std::chrono::milliseconds(500);
constexpr Duration maxHoldTime = std::chrono::seconds(10);

std::string describe(const std::string &subject)
{
    return kindOf(subject) == SubjectKind::Part ? "part " + subject + " of the prompt"
                                                : "the request";
}

/// Returns the log field that names a subject by its kind.
std::pair<std::string, std::string> fieldOf(const std::string &subject)
{
    return {std::string(nameOf(subjectKindNames, kindOf(subject))), subject};
}

} // namespace

Quarantine::Quarantine(telemetry::Metrics &metrics)
    : m_refused(metrics.counter("kumquathaven_quarantine_refusals_total",
                                "requests refused since they crash servers"))
    , m_convicted(metrics.counter("kumquathaven_quarantine_verdicts_total",
                                  "subjects that this instance found to crash servers"))
    , m_lifted(metrics.counter("kumquathaven_quarantine_lifted_total",
                               "verdicts that an answer or an operator lifted here"))
    , m_trials(metrics.counter("kumquathaven_quarantine_trials_total",
                               "requests let through to try a verdict"))
    , m_failedTrials(metrics.counter("kumquathaven_quarantine_failed_trials_total",
                                     "of these, requests whose server crashed"))
    , m_inForce{&metrics.gauge("kumquathaven_quarantined_parts",
                               "parts of prompts with which requests are refused"),
                &metrics.gauge("kumquathaven_quarantined_requests",
                               "requests that are refused since they crash servers")}
    , m_dropped(metrics.gauge("kumquathaven_quarantine_dropped",
                              "crashes and verdicts that found no room in the tables"))
{ }

void Quarantine::setInstances(std::string self, std::vector<std::string> instances)
{
    m_evidence.self = std::move(self);
    m_evidence.instances = std::move(instances);
}

Result<void> Quarantine::admit(const std::vector<std::string> &subjects, TimePoint now)
{
    switch (quarantine::admit(m_evidence, subjects, now)) {
    case quarantine::Admission::Allowed:
        return {};
    case quarantine::Admission::Pending:
        return fail({ErrorCode::Overloaded,
                     "quarantine.admit",
                     {},
                     "servers crashed under such requests, and the cause is being decided",
                     Outcome::NotRun,
                     m_evidence.policy.settleTime});
    case quarantine::Admission::Trial:
        m_trials.add();
        for (const std::string &it : subjects) {
            if (!isConvicted({it}, now))
                continue;
            m_changedVerdicts.insert(it);
            telemetry::logLine(telemetry::LogLevel::Warn, "quarantine", "trial of a verdict begins",
                               {fieldOf(it)});
        }
        return {};
    case quarantine::Admission::Refused:
        break;
    }
    m_refused.add();
    const std::string subject = quarantine::convictedSubject(m_evidence, subjects, now);
    m_changedVerdicts.insert(subject);
    return fail(errorOf(subject, Outcome::NotRun, now));
}

Error Quarantine::errorOf(const std::string &subject, Outcome outcome, TimePoint now) const
{
    const auto it = m_evidence.verdicts.find(subject);
    const Verdict verdict = it == m_evidence.verdicts.end() ? Verdict() : it->second;
    const std::string what =
        describe(subject) + " crashed " + std::to_string(verdict.crashes) + " servers; ";
    if (verdict.isProven)
        return {ErrorCode::Quarantined,
                "quarantine.admit",
                {},
                what + "do not send it again",
                outcome,
                {}};
    const Duration untilTrial = nextTrialAt(m_evidence.policy, verdict) - now;
    return {ErrorCode::Overloaded,
            "quarantine.admit",
            {},
            what + "whether it is the cause is not proven, and it is held back for a while",
            outcome,
            std::clamp(untilTrial, minHoldTime, maxHoldTime)};
}

bool Quarantine::isConvictedSince(const std::vector<std::string> &subjects, TimePoint since,
                                  TimePoint now) const
{
    const std::string subject = quarantine::convictedSubject(m_evidence, subjects, now);
    return !subject.empty() && m_evidence.verdicts.at(subject).decidedAt > since;
}

void Quarantine::recordLife(const std::string &service, const std::string &start, TimePoint now)
{
    quarantine::recordLife(m_evidence, service, start, now);
}

bool Quarantine::mayRetryAfterCrash(const std::vector<std::string> &subjects, TimePoint now) const
{
    return quarantine::mayRetryAfterCrash(m_evidence, subjects, now);
}

bool Quarantine::isConvicted(const std::vector<std::string> &subjects, TimePoint now) const
{
    return !quarantine::convictedSubject(m_evidence, subjects, now).empty();
}

void Quarantine::queueAnswers(const std::vector<std::string> &subjects)
{
    for (const std::string &it : subjects) {
        if (m_unreportedAnswers.size() < maxUnreported)
            m_unreportedAnswers.insert(it);
    }
}

void Quarantine::recordAnswer(const std::vector<std::string> &subjects, TimePoint now)
{
    for (const std::string &it : subjects) {
        if (isConvicted({it}, now)) {
            m_lifted.add();
            m_changedVerdicts.insert(it);
            telemetry::logLine(telemetry::LogLevel::Warn, "quarantine",
                               "verdict lifted by an answer", {fieldOf(it)});
        }
    }
    queueAnswers(quarantine::recordAnswer(m_evidence, subjects, now));
}

void Quarantine::recordCrash(const std::string &service, const std::string &start,
                             const std::vector<std::vector<std::string>> &requests, TimePoint at)
{
    std::map<std::string, std::uint32_t> positions;
    for (const std::vector<std::string> &subjects : requests) {
        for (const quarantine::Suspect &it : quarantine::suspectsOf(m_evidence, subjects, at)) {
            std::uint32_t &position = positions[it.subject];
            position = std::max(position, it.position);
        }
    }
    if (positions.empty())
        return;
    CrashReport report;
    report.start = start;
    std::string text;
    std::array<std::size_t, subjectKindNames.size()> counts{};
    for (const auto &[subject, position] : positions) {
        const auto kind = static_cast<std::size_t>(kindOf(subject));
        if (++counts[kind] > m_evidence.policy.kinds[kind].maxSuspects)
            continue;
        report.suspects.push_back({subject, position});
        text += (text.empty() ? "" : ",") + subject;
    }
    telemetry::logLine(telemetry::LogLevel::Warn, "quarantine", "suspects of a crash",
                       {{"server", start}, {"subjects", text}});
    for (const auto &it : positions) {
        if (!quarantine::failTrial(m_evidence, it.first, service, start, at))
            continue;
        m_failedTrials.add();
        m_changedVerdicts.insert(it.first);
        telemetry::logLine(telemetry::LogLevel::Warn, "quarantine", "server crashed under a trial",
                           {fieldOf(it.first), {"server", start}});
    }
    applyReport(report, at, at);
    if (m_unreportedCrashes.size() < maxUnreported)
        m_unreportedCrashes.push_back(std::move(report));
}

void Quarantine::applyReport(const CrashReport &report, TimePoint at, TimePoint now)
{
    // A report that was held up is of no use, and its server may be forgotten here.
    if (now - at > m_evidence.policy.maxReportDelay)
        return;
    queueAnswers(quarantine::recordCrash(m_evidence, report.start, report.suspects, at));
}

void Quarantine::applyAnswer(const std::string &subject, TimePoint at)
{
    quarantine::recordAnswerElsewhere(m_evidence, subject, at);
}

bool Quarantine::applyVerdict(const SubjectVerdict &verdict, TimePoint now)
{
    if (!quarantine::applyVerdict(m_evidence, verdict.subject, verdict.verdict))
        return false;
    telemetry::logLine(
        telemetry::LogLevel::Warn, "quarantine",
        verdict.verdict.isLifted ? "verdict of another instance lifted"
                                 : "verdict of another instance",
        {fieldOf(verdict.subject), {"crashes", std::to_string(verdict.verdict.crashes)}});
    return quarantine::isInForce(verdict.verdict, now);
}

std::vector<std::string> Quarantine::judge(TimePoint now)
{
    if (m_evidence.crashes.empty() && m_evidence.verdicts.empty())
        return {};
    std::vector<std::string> convicted = quarantine::judge(m_evidence, now);
    for (const std::string &it : convicted) {
        m_convicted.add();
        m_changedVerdicts.insert(it);
        telemetry::logLine(
            telemetry::LogLevel::Error, "quarantine",
            kindOf(it) == SubjectKind::Part ? "a part of prompts crashes servers"
                                            : "a request crashes servers",
            {fieldOf(it), {"crashes", std::to_string(m_evidence.verdicts.at(it).crashes)}});
    }
    for (const std::string &it : quarantine::prove(m_evidence, now)) {
        m_changedVerdicts.insert(it);
        telemetry::logLine(telemetry::LogLevel::Error, "quarantine", "verdict proven by a trial",
                           {fieldOf(it)});
    }
    std::array<std::size_t, subjectKindNames.size()> counts{};
    for (const auto &[subject, verdict] : m_evidence.verdicts) {
        if (quarantine::isInForce(verdict, now))
            ++counts[static_cast<std::size_t>(kindOf(subject))];
    }
    for (std::size_t n = 0; n < counts.size(); ++n)
        m_inForce[n]->set(static_cast<double>(counts[n]));
    m_dropped.set(static_cast<double>(m_evidence.crashesDropped + m_evidence.verdictsDropped));
    return convicted;
}

bool Quarantine::lift(const std::string &subject, TimePoint now)
{
    if (!quarantine::lift(m_evidence, subject, now))
        return false;
    m_lifted.add();
    m_changedVerdicts.insert(subject);
    telemetry::logLine(telemetry::LogLevel::Warn, "quarantine", "verdict lifted by an operator",
                       {fieldOf(subject)});
    return true;
}

QuarantineNews Quarantine::takeNews(TimePoint now)
{
    QuarantineNews news;
    news.crashes = std::exchange(m_unreportedCrashes, {});
    for (const std::string &it : std::exchange(m_unreportedAnswers, {})) {
        if (const auto answeredAt = quarantine::lastAnswerAt(m_evidence, it))
            news.answered.push_back({it, now - *answeredAt});
    }
    for (const std::string &it : std::exchange(m_changedVerdicts, {})) {
        const auto verdict = m_evidence.verdicts.find(it);
        if (verdict != m_evidence.verdicts.end())
            news.verdicts.push_back({it, verdict->second});
    }
    return news;
}

QuarantineNews Quarantine::allVerdicts() const
{
    QuarantineNews news;
    for (const auto &[subject, verdict] : m_evidence.verdicts)
        news.verdicts.push_back({subject, verdict});
    return news;
}

} // namespace kumquathaven::quarantine
