// The entry role on a platform: serves callers in the platform's dialect on one event loop.

#ifndef KUMQUATHAVEN_GATEWAY_GATEWAYROLE_H
#define KUMQUATHAVEN_GATEWAY_GATEWAYROLE_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/deployment/dialect.h"
#include "kumquathaven/settings/settings.h"

#include <memory>

namespace kumquathaven::gateway {

/// All duties of one entry.
class GatewayRole
{
public:
    GatewayRole(const settings::Settings &settings, const deployment::Dialect &dialect);
    ~GatewayRole();
    GatewayRole(const GatewayRole &) = delete;
    GatewayRole &operator=(const GatewayRole &) = delete;

    /// Starts every duty. Fails if an address is taken.
    Result<void> start();

    /// Tells control and callers that the entry leaves, serves what still comes for a while, and
    /// ends once nothing runs, within the grace that the platform gives.
    void drainAndStop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_GATEWAY_GATEWAYROLE_H
