#include "pacing.h"

#include "overload.h"

#include <algorithm>

namespace kumquathaven::gateway {

namespace {

/// Maximum number of servers with their full pace that are queued for the log.
constexpr std::size_t maxUnlogged = 256;

} // namespace

void beginPace(Servers &servers, KnownServer &server, TimePoint now)
{
    if (servers.pacesServers)
        pace::begin(server.pace, now);
}

double waitingWork(const Servers &servers, const KnownServer &server)
{
    return routing::outstandingTokens(servers.fleet.upstreams[server.slot])
        + static_cast<double>(server.backlogOfOthers);
}

void recordCompletedWork(Servers &servers, const std::string &start, KnownServer &server,
                         double work, TimePoint now)
{
    if (work <= 0 || !pace::recordCompleted(server.pace, work))
        return;
    if (servers.fullPaces.size() < maxUnlogged)
        servers.fullPaces.push_back(
            {start, now - server.pace.begunAt, server.pace.doublings, server.pace.setbacks});
}

void recordPacedAnswer(Servers &servers, KnownServer &server, std::uint64_t ticket, TimePoint now)
{
    if (!server.pace.isPaced)
        return;
    const auto &outstanding = servers.fleet.upstreams[server.slot].outstanding;
    const auto it = std::find_if(outstanding.begin(), outstanding.end(), [&](const auto &sent) {
        return sent.ticket == ticket;
    });
    if (it != outstanding.end())
        pace::recordAnswer(server.pace, it->expectedFirstToken, now - it->sentAt);
}

bool isWithinPace(const Servers &servers, KnownServer &server, const deployment::Route &route,
                  bool isEngine)
{
    if (!server.pace.isPaced)
        return true;
    const Duration wait = toleratedWait(route.objective, route.objective);
    const double full = isEngine
        ? routing::prefillSpeed(servers.fleet, server.slot) * toSeconds(wait)
        : static_cast<double>(std::max(1U, server.listed.slots));
    return pace::mayTake(server.pace, waitingWork(servers, server), full);
}

std::size_t pacedCount(const Servers &servers)
{
    return static_cast<std::size_t>(
        std::count_if(servers.known.begin(), servers.known.end(), [](const auto &it) {
            return it.second.pace.isPaced;
        }));
}

} // namespace kumquathaven::gateway
