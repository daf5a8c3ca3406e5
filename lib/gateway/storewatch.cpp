#include "storewatch.h"

#include "kumquathaven/telemetry/log.h"

#include <set>
#include <string_view>
#include <utility>

namespace kumquathaven::gateway {

namespace {

constexpr Duration retryInterval = std::chrono::milliseconds(500);
constexpr Duration connectTimeout = std::chrono::milliseconds(400);
/// A machine that does not answer probes of the connection for about this long counts as lost.
constexpr Duration silenceLimit = std::chrono::seconds(2);

} // namespace

StoreWatch::StoreWatch(Gateway &gateway, std::string address)
    : m_gateway(gateway)
    , m_address(std::move(address))
{ }

StoreWatch::~StoreWatch()
{
    if (m_connection)
        m_connection->close();
}

void StoreWatch::tick(TimePoint now)
{
    if (m_isConnecting && now - m_connectStartedAt > connectTimeout) {
        std::exchange(m_connection, nullptr)->close();
        m_isConnecting = false;
        m_nextConnectAt = now + retryInterval;
        setReachable(false);
    }
    if (!m_connection && now >= m_nextConnectAt)
        connect(now);
}

void StoreWatch::connect(TimePoint now)
{
    m_connectStartedAt = now;
    m_isConnecting = true;
    m_connection = http::Connection::connect(
        m_gateway.loop, settings::parseAddress(m_address), [this](bool isConnected) {
            m_isConnecting = false;
            if (!isConnected) {
                m_connection.reset();
                m_nextConnectAt = monotonicNow() + retryInterval;
                setReachable(false);
                return;
            }
            m_connection->setProbes(silenceLimit);
            http::ConnectionEvents events;
            // Nothing was requested on this connection, so that the store sends nothing on it.
            events.received = [this](std::string_view) {
                std::exchange(m_connection, nullptr)->close();
                m_nextConnectAt = monotonicNow() + retryInterval;
            };
            events.ended = [this](http::ConnectionEnd end) {
                m_connection.reset();
                // An orderly close only means that the store closed an idle connection. After any
                // other end the store may come back empty.
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
    if (m_isReachable == isReachable)
        return;
    m_isReachable = isReachable;
    setStoreReachable(m_gateway.servers, m_address, isReachable);
    telemetry::logLine(isReachable ? telemetry::LogLevel::Info : telemetry::LogLevel::Warn, "store",
                       isReachable ? "store reached" : "store lost", {{"address", m_address}});
}

void StoreWatches::tick(TimePoint now)
{
    if (m_plan != m_gateway.plan)
        updateWatches();
    for (auto &it : m_watches)
        it.second.tick(now);
}

/// Adds and removes monitors so that they match the stores of the plan in force.
void StoreWatches::updateWatches()
{
    m_plan = m_gateway.plan;
    std::set<std::string> addresses;
    if (m_plan) {
        for (const auto &it : m_plan->plan.services) {
            if (it.second.store)
                addresses.insert(it.second.store->address);
        }
    }
    for (auto it = m_watches.begin(); it != m_watches.end();) {
        if (addresses.count(it->first) > 0) {
            ++it;
            continue;
        }
        setStoreReachable(m_gateway.servers, it->first, false);
        it = m_watches.erase(it);
    }
    for (const std::string &it : addresses)
        m_watches.try_emplace(it, m_gateway, it);
}

} // namespace kumquathaven::gateway
