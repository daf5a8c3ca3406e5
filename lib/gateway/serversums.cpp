// Keeps what instances know together of servers as sums: backlogs, answers and errors.

#include "pacing.h"
#include "servers.h"
#include "servertables.h"

#include "kumquathaven/base/hash.h"

#include <algorithm>
#include <utility>

namespace kumquathaven::gateway {

namespace {

/// Maximum share of a backlog that is assumed to be done while no first token confirms progress: a
/// server without first tokens may be stuck.
constexpr double maxUnconfirmedShare = 0.5;

} // namespace

Duration expectedWait(const Servers &servers, const KnownServer &server, TimePoint now)
{
    const double tokens = waitingWork(servers, server);
    const double speed = routing::prefillSpeed(servers.fleet, server.slot);
    const double done = toSeconds(now - server.lastProgressAt) * speed;
    return fromSeconds((tokens - std::min(done, tokens * maxUnconfirmedShare)) / speed);
}

void recordWorkStart(const Servers &servers, KnownServer &server, TimePoint now)
{
    if (waitingWork(servers, server) <= 0)
        server.lastProgressAt = now;
}

std::uint64_t backlogKey(const std::string &start)
{
    constexpr std::uint64_t seed = 0x6261'636b'6c6f'67;
    return stableHash(start, seed);
}

std::uint64_t answersKey(const std::string &start)
{
    constexpr std::uint64_t seed = 0x616e'7377'6572'73;
    return stableHash(start, seed);
}

std::uint64_t errorsKey(const std::string &start)
{
    constexpr std::uint64_t seed = 0x6572'726f'7273;
    return stableHash(start, seed);
}

std::map<std::string, OutcomeCounts> takeOutcomes(Servers &servers)
{
    std::map<std::string, OutcomeCounts> counts;
    for (const std::string &start : std::exchange(servers.changedOutcomes, {})) {
        const auto it = servers.known.find(start);
        if (it != servers.known.end())
            counts[start] = std::exchange(it->second.unreportedOutcomes, {});
    }
    return counts;
}

bool applyOutcomesOfOthers(Servers &servers, std::uint64_t key, std::int64_t amount, TimePoint now)
{
    const auto start = servers.startsByKey.find(key);
    if (start == servers.startsByKey.end())
        return false;
    const bool isErrors = key == errorsKey(start->second);
    addOutcomes(servers.known.at(start->second).outcomes,
                {isErrors ? 0 : amount, isErrors ? amount : 0}, now);
    return true;
}

std::map<std::string, std::uint64_t> takeChangedBacklogs(Servers &servers)
{
    std::map<std::string, std::uint64_t> backlogs;
    for (const std::string &start : std::exchange(servers.changedBacklogs, {})) {
        const auto it = servers.known.find(start);
        // A server that has left the list has no backlog any more.
        backlogs[start] = it == servers.known.end()
            ? 0
            : static_cast<std::uint64_t>(
                routing::outstandingTokens(servers.fleet.upstreams[it->second.slot]));
    }
    return backlogs;
}

bool setBacklogOfOthers(Servers &servers, std::uint64_t key, std::int64_t tokens,
                        TimePoint decreasedAt, TimePoint now)
{
    const auto start = servers.startsByKey.find(key);
    if (start == servers.startsByKey.end())
        return false;
    KnownServer &server = servers.known.at(start->second);
    recordWorkStart(servers, server, now);
    server.lastProgressAt = std::max(server.lastProgressAt, decreasedAt);
    const auto backlog = static_cast<std::uint64_t>(std::max<std::int64_t>(0, tokens));
    recordCompletedWork(servers, start->second, server,
                        static_cast<double>(server.backlogOfOthers) - static_cast<double>(backlog),
                        now);
    server.backlogOfOthers = backlog;
    return true;
}

} // namespace kumquathaven::gateway
