// Pool of idle connections to servers.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_UPSTREAMPOOL_H
#define KUMQUATHAVEN_LIB_GATEWAY_UPSTREAMPOOL_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/http/connection.h"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace kumquathaven::gateway {

/// Idle connections by start of the server, since a connection never outlives the start that it was
/// made to. A connection on which anything happens while it is idle is closed. Used on the loop's
/// thread only.
class UpstreamPool
{
public:
    /// Removes and returns the most recently used connection, or returns null if there is none.
    std::shared_ptr<http::Connection> take(const std::string &start, TimePoint now);

    /// Adds a connection without a request in progress. It is used until \p until at the latest.
    void put(const std::string &start, std::shared_ptr<http::Connection> connection,
             TimePoint until);

    /// Closes expired connections and all connections to servers that are not among \p starts.
    void sweep(const std::set<std::string> &starts, TimePoint now);

    std::size_t size() const;

private:
    struct Idle
    {
        std::shared_ptr<http::Connection> connection;
        TimePoint until{};
    };

    void remove(const std::string &start, const http::Connection *connection);

    std::map<std::string, std::deque<Idle>> m_idle;
};

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_UPSTREAMPOOL_H
