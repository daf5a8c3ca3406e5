// The entry role on a platform: serves callers in the platform's dialect on one event loop.

#ifndef KUMQUATHAVEN_GATEWAY_GATEWAYROLE_H
#define KUMQUATHAVEN_GATEWAY_GATEWAYROLE_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/deployment/dialect.h"
#include "kumquathaven/runtime/stoprequest.h"
#include "kumquathaven/settings/settings.h"

#include <memory>

namespace kumquathaven::gateway {

/// Runs all duties of one entry: the event loop that serves callers, and the feed from control.
class GatewayRole
{
public:
    /// \p stopRequest tells when the grace period began. All arguments must outlive the role.
    GatewayRole(const settings::Settings &settings, const deployment::Dialect &dialect,
                const runtime::StopRequest &stopRequest);
    ~GatewayRole();
    GatewayRole(const GatewayRole &) = delete;
    GatewayRole &operator=(const GatewayRole &) = delete;

    /// Starts every duty. Fails if a listening address is already in use.
    Result<void> start();

    /// Announces to control and callers that the entry is leaving, goes on serving the requests
    /// that can be answered before its end, and returns when no request runs any more, at the
    /// latest shortly before the platform's grace period for stopping ends. Called once a stop was
    /// requested.
    void drainAndStop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_GATEWAY_GATEWAYROLE_H
