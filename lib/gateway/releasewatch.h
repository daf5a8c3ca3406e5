// Watches the rollouts of releases at this entry: applies the brake, reports to control what all
// entries counted, and shows both in logs and metrics.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_RELEASEWATCH_H
#define KUMQUATHAVEN_LIB_GATEWAY_RELEASEWATCH_H

#include "gateway.h"

#include "kumquathaven/feed/messages.h"

#include <functional>
#include <string>
#include <vector>

namespace kumquathaven::gateway {

/// What this entry knows of the tree of entries.
struct TreePlace
{
    bool isRoot = false;
    /// Number of entries whose counts reach this one, including itself.
    std::uint32_t connected = 1;
};

/// Used on the loop's thread only.
class ReleaseWatch
{
public:
    /// Sends a report to control. A report that is lost is replaced by the next one.
    using Report = std::function<void(const feed::RolloutReport &report)>;

    ReleaseWatch(Gateway &gateway, Report report);

    /// Shows the rollouts of services that changed.
    void rolloutsChanged(const std::vector<std::string> &services) const;

    /// To be called every few tens of milliseconds.
    void tick(const TreePlace &place, TimePoint now);

private:
    void report(const TreePlace &place) const;
    void updateMetrics() const;

    Gateway &m_gateway;
    const Report m_report;
    TimePoint m_reportedAt{};
};

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_RELEASEWATCH_H
