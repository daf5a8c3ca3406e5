#include "kumquathaven/quarantine/partquarantine.h"

#include "kumquathaven/telemetry/log.h"

#include <algorithm>
#include <map>
#include <utility>

namespace kumquathaven::quarantine {

namespace {

constexpr std::size_t maxUnreported = 256;

} // namespace

Error quarantinedError(const std::string &part, std::uint32_t crashes, Outcome outcome)
{
    return {ErrorCode::Quarantined,
            "quarantine.admit",
            {},
            "part " + part + " of the prompt crashed " + std::to_string(crashes)
                + " servers; do not send it again",
            outcome,
            {}};
}

PartQuarantine::PartQuarantine(telemetry::Metrics &metrics)
    : m_refused(metrics.counter("kumquathaven_quarantine_refusals_total",
                                "requests refused for a part that crashes servers"))
    , m_convicted(metrics.counter("kumquathaven_quarantine_verdicts_total",
                                  "parts that this instance found to crash servers"))
    , m_lifted(metrics.counter("kumquathaven_quarantine_lifted_total",
                               "verdicts that an answer or an operator lifted here"))
    , m_inForce(metrics.gauge("kumquathaven_quarantined_parts",
                              "parts of prompts with which requests are refused"))
    , m_dropped(metrics.gauge("kumquathaven_quarantine_dropped",
                              "crashes and verdicts that found no room in the tables"))
{ }

Result<void> PartQuarantine::admit(const std::vector<std::string> &parts, TimePoint now)
{
    switch (quarantine::admit(m_evidence, parts, now)) {
    case quarantine::Admission::Allowed:
        return {};
    case quarantine::Admission::Pending:
        return fail({ErrorCode::Overloaded,
                     "quarantine.admit",
                     {},
                     "servers crashed under a part of the prompt, and the cause is being decided",
                     Outcome::NotRun,
                     m_evidence.policy.settleTime});
    case quarantine::Admission::Refused:
        break;
    }
    m_refused.add();
    const std::string part = quarantine::convictedPart(m_evidence, parts, now);
    m_changedVerdicts.insert(part);
    return fail(quarantinedError(part, m_evidence.verdicts.at(part).crashes, Outcome::NotRun));
}

bool PartQuarantine::mayRetryAfterCrash(const std::vector<std::string> &parts, TimePoint now) const
{
    return quarantine::mayRetryAfterCrash(m_evidence, parts, now);
}

bool PartQuarantine::isConvicted(const std::vector<std::string> &parts, TimePoint now) const
{
    return !quarantine::convictedPart(m_evidence, parts, now).empty();
}

void PartQuarantine::queueAnswers(const std::vector<std::string> &parts)
{
    for (const std::string &it : parts) {
        if (m_unreportedAnswers.size() < maxUnreported)
            m_unreportedAnswers.insert(it);
    }
}

void PartQuarantine::recordAnswer(const std::vector<std::string> &parts, TimePoint now)
{
    for (const std::string &it : parts) {
        if (isConvicted({it}, now)) {
            m_lifted.add();
            m_changedVerdicts.insert(it);
            telemetry::logLine(telemetry::LogLevel::Warn, "quarantine",
                               "verdict lifted by an answer", {{"part", it}});
        }
    }
    queueAnswers(quarantine::recordAnswer(m_evidence, parts, now));
}

void PartQuarantine::recordCrash(const std::string &start,
                                 const std::vector<std::vector<std::string>> &requests,
                                 TimePoint at)
{
    std::map<std::string, std::uint32_t> positions;
    for (const std::vector<std::string> &parts : requests) {
        for (const quarantine::Suspect &it : quarantine::suspectsOf(m_evidence, parts, at)) {
            std::uint32_t &position = positions[it.part];
            position = std::max(position, it.position);
        }
    }
    if (positions.empty())
        return;
    CrashReport report;
    report.start = start;
    std::string text;
    for (const auto &[part, position] : positions) {
        if (report.suspects.size() == m_evidence.policy.maxSuspects)
            break;
        report.suspects.push_back({part, position});
        text += (text.empty() ? "" : ",") + part;
    }
    telemetry::logLine(telemetry::LogLevel::Warn, "quarantine", "suspects of a crash",
                       {{"server", start}, {"parts", text}});
    applyReport(report, at, at);
    if (m_unreportedCrashes.size() < maxUnreported)
        m_unreportedCrashes.push_back(std::move(report));
}

void PartQuarantine::applyReport(const CrashReport &report, TimePoint at, TimePoint now)
{
    // A report that was held up is of no use, and its server may be forgotten here.
    if (now - at > m_evidence.policy.maxReportDelay)
        return;
    queueAnswers(quarantine::recordCrash(m_evidence, report.start, report.suspects, at));
}

void PartQuarantine::applyAnswer(const std::string &part, TimePoint at)
{
    quarantine::recordAnswerElsewhere(m_evidence, part, at);
}

bool PartQuarantine::applyVerdict(const PartVerdict &verdict, TimePoint now)
{
    if (!quarantine::applyVerdict(m_evidence, verdict.part, verdict.verdict))
        return false;
    telemetry::logLine(
        telemetry::LogLevel::Warn, "quarantine",
        verdict.verdict.isLifted ? "verdict of another instance lifted"
                                 : "verdict of another instance",
        {{"part", verdict.part}, {"crashes", std::to_string(verdict.verdict.crashes)}});
    return quarantine::isInForce(verdict.verdict, now);
}

std::vector<std::string> PartQuarantine::judge(TimePoint now)
{
    if (m_evidence.crashes.empty() && m_evidence.verdicts.empty())
        return {};
    std::vector<std::string> convicted = quarantine::judge(m_evidence, now);
    for (const std::string &it : convicted) {
        m_convicted.add();
        m_changedVerdicts.insert(it);
        telemetry::logLine(
            telemetry::LogLevel::Error, "quarantine", "a part of prompts crashes servers",
            {{"part", it}, {"crashes", std::to_string(m_evidence.verdicts.at(it).crashes)}});
    }
    const auto &verdicts = m_evidence.verdicts;
    m_inForce.set(
        static_cast<double>(std::count_if(verdicts.begin(), verdicts.end(), [&](const auto &it) {
            return quarantine::isInForce(it.second, now);
        })));
    m_dropped.set(static_cast<double>(m_evidence.crashesDropped + m_evidence.verdictsDropped));
    return convicted;
}

bool PartQuarantine::lift(const std::string &part, TimePoint now)
{
    if (!quarantine::lift(m_evidence, part, now))
        return false;
    m_lifted.add();
    m_changedVerdicts.insert(part);
    telemetry::logLine(telemetry::LogLevel::Warn, "quarantine", "verdict lifted by an operator",
                       {{"part", part}});
    return true;
}

QuarantineNews PartQuarantine::takeNews(TimePoint now)
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

QuarantineNews PartQuarantine::allVerdicts() const
{
    QuarantineNews news;
    for (const auto &[part, verdict] : m_evidence.verdicts)
        news.verdicts.push_back({part, verdict});
    return news;
}

} // namespace kumquathaven::quarantine
