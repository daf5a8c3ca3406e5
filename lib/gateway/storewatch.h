// Whether the store of kept prompts can be reached, by a connection that is kept open to it.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_STOREWATCH_H
#define KUMQUATHAVEN_LIB_GATEWAY_STOREWATCH_H

#include "gateway.h"
#include "kumquathaven/http/connection.h"

#include <memory>
#include <string>

namespace kumquathaven::gateway {

/// A store that is gone costs each request that fetches from it some hundred milliseconds, so that
/// none is told to. One that comes back is taken to be empty. Used on the loop's thread only.
class StoreWatch
{
public:
    explicit StoreWatch(Gateway &gateway)
        : m_gateway(gateway)
    { }
    StoreWatch(const StoreWatch &) = delete;
    StoreWatch &operator=(const StoreWatch &) = delete;
    ~StoreWatch();

    /// To be called every few tens of milliseconds.
    void tick(TimePoint now);

private:
    void connect(const std::string &address, TimePoint now);
    void setReachable(bool isReachable);

    Gateway &m_gateway;
    std::shared_ptr<http::Connection> m_connection;
    std::string m_address;
    bool m_isConnecting = false;
    TimePoint m_nextTry{};
    TimePoint m_triedAt{};
};

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_STOREWATCH_H
