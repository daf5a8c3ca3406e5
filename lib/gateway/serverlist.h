// Reads the platform's list of servers periodically, page by page, on the event loop.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_SERVERLIST_H
#define KUMQUATHAVEN_LIB_GATEWAY_SERVERLIST_H

#include "gateway.h"
#include "upstreamcall.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace kumquathaven::gateway {

/// A failed read leaves the known servers unchanged. Used on the loop's thread only.
class ServerListReader
{
public:
    /// \p onList receives every list that was read completely.
    ServerListReader(Gateway &gateway,
                     std::function<void(const std::vector<deployment::ListedServer> &)> onList);
    ~ServerListReader();
    ServerListReader(const ServerListReader &) = delete;
    ServerListReader &operator=(const ServerListReader &) = delete;

    /// Continues the current read, and starts one if it is due. \p readers is the number of
    /// instances that read the list, this one included; zero if only others read it. To be called
    /// every few tens of milliseconds.
    void tick(TimePoint now, std::uint32_t readers);

    /// Returns when a read last failed.
    TimePoint lastFailureAt() const { return m_lastFailureAt; }

private:
    void requestPage();
    void handlePage();
    void failed(const std::string &reason);
    Duration interval() const;

    Gateway &m_gateway;
    std::function<void(const std::vector<deployment::ListedServer> &)> m_onList;
    std::shared_ptr<UpstreamCall> m_call;
    TimePoint m_nextReadAt{};
    TimePoint m_requestedAt{};
    TimePoint m_lastFailureAt{};
    std::vector<deployment::ListedServer> m_servers;
    std::string m_page;
    std::string m_body;
    int m_status = 0;
    std::uint32_t m_pages = 0;
    std::uint32_t m_readers = 1;
    std::uint32_t m_unparsed = 0;
    bool m_isFailing = false;
};

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_SERVERLIST_H
