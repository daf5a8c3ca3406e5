// Monitors whether the stores of shared prompts can be reached, with a connection that is kept open
// to each.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_STOREWATCH_H
#define KUMQUATHAVEN_LIB_GATEWAY_STOREWATCH_H

#include "gateway.h"
#include "kumquathaven/http/connection.h"

#include <map>
#include <memory>
#include <string>

namespace kumquathaven::gateway {

/// Monitors one store. Each request that fetches from an unreachable store loses some hundred
/// milliseconds, so that no request is sent there. A store that becomes reachable again is assumed
/// to be empty. Used on the loop's thread only.
class StoreWatch
{
public:
    StoreWatch(Gateway &gateway, std::string address);
    StoreWatch(const StoreWatch &) = delete;
    StoreWatch &operator=(const StoreWatch &) = delete;
    ~StoreWatch();

    /// To be called every few tens of milliseconds.
    void tick(TimePoint now);

private:
    void connect(TimePoint now);
    void setReachable(bool isReachable);

    Gateway &m_gateway;
    std::shared_ptr<http::Connection> m_connection;
    const std::string m_address;
    bool m_isReachable = false;
    bool m_isConnecting = false;
    TimePoint m_nextConnectAt{};
    TimePoint m_connectStartedAt{};
};

/// Monitors all stores that the plan in force names. Used on the loop's thread only.
class StoreWatches
{
public:
    explicit StoreWatches(Gateway &gateway)
        : m_gateway(gateway)
    { }

    /// To be called every few tens of milliseconds.
    void tick(TimePoint now);

private:
    void updateWatches();

    Gateway &m_gateway;
    std::shared_ptr<const PlanInForce> m_plan;
    std::map<std::string, StoreWatch> m_watches;
};

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_STOREWATCH_H
