#include "upstreampool.h"

#include <algorithm>

namespace kumquathaven::gateway {

namespace {

/// Maximum number of idle connections for each server; more are not worth their memory.
constexpr std::size_t maxIdlePerServer = 8;

} // namespace

std::shared_ptr<http::Connection> UpstreamPool::take(const std::string &start, TimePoint now)
{
    const auto it = m_idle.find(start);
    if (it == m_idle.end())
        return nullptr;
    while (!it->second.empty()) {
        const Idle idle = std::move(it->second.back());
        it->second.pop_back();
        idle.connection->setEvents({});
        if (idle.connection->isOpen() && now < idle.until)
            return idle.connection;
        idle.connection->close();
    }
    return nullptr;
}

void UpstreamPool::put(const std::string &start, std::shared_ptr<http::Connection> connection,
                       TimePoint until)
{
    std::deque<Idle> &idle = m_idle[start];
    http::ConnectionEvents events;
    http::Connection *raw = connection.get();
    // Bytes that arrive on an idle connection belong to no request.
    events.received = [this, start, raw](std::string_view) {
        remove(start, raw);
    };
    events.ended = [this, start, raw](http::ConnectionEnd) {
        remove(start, raw);
    };
    connection->setEvents(std::move(events));
    connection->startReading();
    idle.push_back({std::move(connection), until});
    if (idle.size() > maxIdlePerServer) {
        idle.front().connection->close();
        idle.pop_front();
    }
}

void UpstreamPool::remove(const std::string &start, const http::Connection *connection)
{
    const auto it = m_idle.find(start);
    if (it == m_idle.end())
        return;
    const auto idle = std::find_if(it->second.begin(), it->second.end(), [&](const Idle &other) {
        return other.connection.get() == connection;
    });
    if (idle == it->second.end())
        return;
    const std::shared_ptr<http::Connection> kept = idle->connection;
    it->second.erase(idle);
    kept->close();
}

void UpstreamPool::sweep(const std::set<std::string> &starts, TimePoint now)
{
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        const bool isDeparted = starts.count(it->first) == 0;
        while (!it->second.empty() && (isDeparted || it->second.front().until <= now)) {
            it->second.front().connection->close();
            it->second.pop_front();
        }
        it = it->second.empty() ? m_idle.erase(it) : std::next(it);
    }
}

std::size_t UpstreamPool::size() const
{
    std::size_t n = 0;
    for (const auto &it : m_idle)
        n += it.second.size();
    return n;
}

} // namespace kumquathaven::gateway
