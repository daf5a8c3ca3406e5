// The platform's list of servers, shared by the duties that read it, since its calls are limited.

#ifndef KUMQUATHAVEN_LIB_CONTROL_SERVERLIST_H
#define KUMQUATHAVEN_LIB_CONTROL_SERVERLIST_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/deployment/dialect.h"
#include "kumquathaven/settings/settings.h"

#include <memory>
#include <mutex>
#include <vector>

namespace kumquathaven::control {

/// One complete reading of the list.
struct ServerReading
{
    std::vector<deployment::ListedServer> servers;
    /// When the reading began.
    TimePoint readAt;
};

/// Reads the list and keeps the newest reading. Any thread may call its functions.
class ServerList
{
public:
    ServerList(const settings::Settings &settings, const deployment::Dialect &dialect)
        : m_settings(settings)
        , m_dialect(dialect)
    { }
    ServerList(const ServerList &) = delete;
    ServerList &operator=(const ServerList &) = delete;

    /// Reads the list page by page if the last attempt began at least \p interval ago. Returns at
    /// once while another thread is reading. If a page can not be read, the former reading is kept.
    void refresh(Duration interval);

    /// Returns the newest reading, or null if there is none.
    std::shared_ptr<const ServerReading> newest() const;

private:
    Result<std::vector<deployment::ListedServer>> read() const;

    const settings::Settings &m_settings;
    const deployment::Dialect &m_dialect;
    mutable std::mutex m_mutex;
    bool m_isReading = false;
    TimePoint m_triedAt;
    std::shared_ptr<const ServerReading> m_newest;
};

} // namespace kumquathaven::control

#endif // KUMQUATHAVEN_LIB_CONTROL_SERVERLIST_H
