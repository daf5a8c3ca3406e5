#include "releasewatch.h"

#include "kumquathaven/telemetry/log.h"

#include <algorithm>
#include <utility>

namespace kumquathaven::gateway {

namespace {

/// Time between two reports to control, and between two updates of the metrics.
constexpr Duration reportInterval = std::chrono::milliseconds(250);

constexpr std::array<EnumName<catalogue::RolloutState>, 3> stateNames = {{
    {catalogue::RolloutState::Running, "running"},
    {catalogue::RolloutState::Complete, "complete"},
    {catalogue::RolloutState::RolledBack, "rolledBack"},
}};

release::Counts sumOf(const release::Evidence &evidence, ReleaseSide side)
{
    release::Counts sum;
    for (const auto &it : evidence.routes) {
        const release::Counts &counts =
            side == ReleaseSide::Next ? it.second.next : it.second.present;
        sum.sent += counts.sent;
        sum.failed += counts.failed;
    }
    return sum;
}

bool isRunning(const KnownRollout &rollout)
{
    return rollout.order.state == catalogue::RolloutState::Running;
}

} // namespace

ReleaseWatch::ReleaseWatch(Gateway &gateway, Report report)
    : m_gateway(gateway)
    , m_report(std::move(report))
{ }

void ReleaseWatch::rolloutsChanged(const std::vector<std::string> &services) const
{
    for (const std::string &service : services) {
        const KnownRollout &it = m_gateway.servers.releases.rollouts.at(service);
        telemetry::logLine(
            telemetry::LogLevel::Info, "releases", "rollout changed",
            {{"service", service},
             {"release", it.order.release},
             {"number", std::to_string(it.order.number)},
             {"state", std::string(nameOf(stateNames, it.order.state))},
             {"step", std::to_string(it.order.step)},
             {"share", std::to_string(it.order.sharePerMille)},
             {"servers",
              std::to_string(it.exposedServers) + " of " + std::to_string(it.supply.nextServers)},
             {"reason", it.order.reason}});
    }
    updateMetrics();
}

void ReleaseWatch::tick(const TreePlace &place, TimePoint now)
{
    Releases &releases = m_gateway.servers.releases;
    if (releases.rollouts.empty())
        return;
    for (const std::string &service : applyBrakes(releases)) {
        const KnownRollout &it = releases.rollouts.at(service);
        telemetry::logLine(telemetry::LogLevel::Warn, "releases", "new release gets no requests",
                           {{"service", service},
                            {"release", it.order.release},
                            {"number", std::to_string(it.order.number)},
                            {"sentHere", std::to_string(it.sentNext)},
                            {"entries", std::to_string(place.connected)},
                            {"reason", it.fault}});
        // The report lets control roll back at once.
        m_reportedAt = {};
    }
    if (now - m_reportedAt < reportInterval)
        return;
    m_reportedAt = now;
    if (place.isRoot)
        report(place);
    updateMetrics();
}

void ReleaseWatch::report(const TreePlace &place) const
{
    const Releases &releases = m_gateway.servers.releases;
    for (const auto &[service, rollout] : releases.rollouts) {
        if (!isRunning(rollout))
            continue;
        feed::RolloutReport report{service, rollout.order.number, evidenceOf(releases, rollout)};
        report.evidence.instances = place.connected;
        m_report(report);
    }
}

void ReleaseWatch::updateMetrics() const
{
    for (const auto &[service, rollout] : m_gateway.servers.releases.rollouts) {
        const telemetry::Labels labels = {{"service", service}};
        m_gateway.metrics
            .gauge("kumquathaven_rollout_share",
                   "share of a service's requests that its new release may get", labels)
            .set(rollout.order.sharePerMille / 1000.0);
        m_gateway.metrics
            .gauge("kumquathaven_rollout_stopped",
                   "whether this entry sends the new release nothing more, for what was counted",
                   labels)
            .set(rollout.fault.empty() ? 0 : 1);
        for (const ReleaseSide side : {ReleaseSide::Present, ReleaseSide::Next}) {
            const telemetry::Labels sideLabels = {
                {"service", service}, {"side", std::string(nameOf(releaseSideNames, side))}};
            const release::Counts counts = sumOf(rollout.own, side);
            m_gateway.metrics
                .gauge("kumquathaven_rollout_sends",
                       "sends of this entry to a release during the last rollout", sideLabels)
                .set(static_cast<double>(counts.sent));
            m_gateway.metrics
                .gauge("kumquathaven_rollout_failures",
                       "sends of this entry that a release failed during the last rollout",
                       sideLabels)
                .set(static_cast<double>(counts.failed));
        }
    }
}

} // namespace kumquathaven::gateway
