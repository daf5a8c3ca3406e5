#include "storewatch.h"

#include "kumquathaven/telemetry/log.h"

#include <utility>

namespace kumquathaven::gateway {

namespace {

constexpr Duration retryInterval = std::chrono::milliseconds(500);
constexpr Duration connectPatience = std::chrono::milliseconds(400);
/// A machine that answers no probe of the connection for about this long is gone.
constexpr Duration silenceLimit = std::chrono::seconds(2);

std::string storeAddressOf(const Gateway &gateway)
{
    if (!gateway.plan)
        return {};
    for (const auto &it : gateway.plan->plan.services) {
        if (it.second.store)
            return it.second.store->address;
    }
    return {};
}

} // namespace

StoreWatch::~StoreWatch()
{
    if (m_connection)
        m_connection->close();
}

void StoreWatch::tick(TimePoint now)
{
    const std::string address = storeAddressOf(m_gateway);
    if (address != m_address) {
        if (m_connection)
            std::exchange(m_connection, nullptr)->close();
        m_address = address;
        m_isConnecting = false;
        m_nextTry = now;
        setReachable(false);
    }
    if (m_address.empty())
        return;
    if (m_isConnecting && now - m_triedAt > connectPatience) {
        std::exchange(m_connection, nullptr)->close();
        m_isConnecting = false;
        m_nextTry = now + retryInterval;
        setReachable(false);
    }
    if (!m_connection && now >= m_nextTry)
        connect(m_address, now);
}

void StoreWatch::connect(const std::string &address, TimePoint now)
{
    m_triedAt = now;
    m_isConnecting = true;
    m_connection = http::Connection::connect(m_gateway.loop, settings::parseAddress(address),
                                             [this](bool isConnected) {
                                                 m_isConnecting = false;
                                                 if (!isConnected) {
                                                     m_connection.reset();
                                                     m_nextTry = monotonicNow() + retryInterval;
                                                     setReachable(false);
                                                     return;
                                                 }
                                                 m_connection->setProbes(silenceLimit);
                                                 http::ConnectionEvents events;
                                                 events.ended = [this](http::ConnectionEnd end) {
                                                     m_connection.reset();
                                                     // A store closes idle connections in order;
                                                     // one that failed may come back empty.
                                                     if (end != http::ConnectionEnd::Closed)
                                                         setReachable(false);
                                                 };
                                                 m_connection->setEvents(std::move(events));
                                                 m_connection->startReading();
                                                 setReachable(true);
                                             });
}

void StoreWatch::setReachable(bool isReachable)
{
    Servers &servers = m_gateway.servers;
    if (servers.isStoreReachable == isReachable)
        return;
    servers.isStoreReachable = isReachable;
    servers.stored.clear();
    telemetry::logLine(isReachable ? telemetry::LogLevel::Info : telemetry::LogLevel::Warn, "store",
                       isReachable ? "store reached" : "store lost", {{"address", m_address}});
}

} // namespace kumquathaven::gateway
