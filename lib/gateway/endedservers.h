// Tells the end of a server from the end of a connection: one connection is opened to the server. A
// server that ended refuses it. Checked after a request was cut before its answer began, and after
// an answer whose end only the end of its connection marks.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_ENDEDSERVERS_H
#define KUMQUATHAVEN_LIB_GATEWAY_ENDEDSERVERS_H

#include "kumquathaven/http/connection.h"
#include "kumquathaven/telemetry/metrics.h"
#include "servers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace kumquathaven::gateway {

/// Used on the loop's thread only.
class EndedServers
{
public:
    /// Called with a server that ended, when the first of its requests was cut, and the subjects of
    /// each of these.
    using Ended = std::function<void(const std::string &start, TimePoint at,
                                     const std::vector<std::vector<std::string>> &requests)>;

    EndedServers(boost::asio::io_context &loop, telemetry::Metrics &metrics, Ended ended);
    EndedServers(const EndedServers &) = delete;
    EndedServers &operator=(const EndedServers &) = delete;

    /// Called with whether a server has ended.
    using Result = std::function<void(bool hasEnded)>;

    /// Checks whether the server of a request whose connection ended has ended itself. Requests
    /// that are cut together share one check.
    void check(const Pick &pick, const std::vector<std::string> &subjects, TimePoint now);

    /// Checks whether a server has ended, and calls \p result from the event loop. Shares a running
    /// check of the server.
    void ask(const Pick &pick, Result result, TimePoint now);

private:
    struct Check;

    Check &startCheck(const Pick &pick, TimePoint now);
    void finish(const std::string &start, bool isAlive);

    boost::asio::io_context &m_loop;
    const Ended m_onEnded;
    telemetry::Counter &m_ended;
    telemetry::Counter &m_alive;
    /// Running checks by start of the server.
    std::map<std::string, std::shared_ptr<Check>> m_checks;
};

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_ENDEDSERVERS_H
