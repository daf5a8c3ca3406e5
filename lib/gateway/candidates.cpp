// Decides which servers may get a request.

#include "candidates.h"

#include "enginechoice.h"

#include "kumquathaven/base/hash.h"

#include <algorithm>

namespace kumquathaven::gateway {

namespace {

bool acceptsRequest(const Servers &servers, const PickRequest &request, const std::string &start,
                    const KnownServer &server, TimePoint now)
{
    const routing::UpstreamView &view = servers.fleet.upstreams[server.slot];
    return !view.leaving && !view.loading && server.pausedUntil <= now
        && request.tried.count(start) == 0
        && routing::takesWork(view.health, deployment::isRepeatable(*request.route))
        && isUsableVersion(servers, request.head->model, versionNumber(view.weightsVersion), now);
}

/// Removes failing servers, up to the share that may be left out.
void removeFailing(std::vector<Candidate> &candidates, TimePoint now)
{
    std::vector<const KnownServer *> failing;
    for (const Candidate &it : candidates) {
        if (isFailing(it.server->outcomes, now))
            failing.push_back(it.server);
    }
    const std::size_t most = maxFailing(candidates.size());
    if (failing.size() > most) {
        // Those that failed longest ago are the ones to try again.
        std::sort(failing.begin(), failing.end(), [](const auto *a, const auto *b) {
            return a->outcomes.failingUntil > b->outcomes.failingUntil;
        });
        failing.resize(most);
    }
    const auto isRemoved = [&](const Candidate &it) {
        return std::find(failing.begin(), failing.end(), it.server) != failing.end();
    };
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(), isRemoved),
                     candidates.end());
}

/// Returns the servers on one side of a rollout that may get the request; without a side, those of
/// the whole service.
std::vector<Candidate> candidatesOn(const Servers &servers, const PickRequest &request,
                                    const std::string &service, std::optional<ReleaseSide> side,
                                    TimePoint now)
{
    std::vector<Candidate> candidates;
    std::vector<Candidate> refusing;
    for (const auto &[start, server] : servers.known) {
        if (server.listed.service != service
            || (side && !isOnSide(servers.releases, server.listed, start, *side))
            || !acceptsRequest(servers, request, start, server, now))
            continue;
        (server.refusesUntil > now ? refusing : candidates).push_back({&start, &server});
    }
    std::vector<Candidate> &usable = candidates.empty() ? refusing : candidates;
    removeFailing(usable, now);
    return usable;
}

/// Returns the sides of a rollout that may get the request, in the order in which they are to be
/// tried.
std::vector<std::optional<ReleaseSide>> sidesOf(const Servers &servers, const PickRequest &request,
                                                const std::string &service, TimePoint now)
{
    return sidesFor(servers.releases, service,
                    {request.head->requestId, request.failedAtNextRelease}, now);
}

bool isOnAnySide(const Servers &servers, const std::string &start, const KnownServer &server,
                 const std::vector<std::optional<ReleaseSide>> &sides)
{
    return std::any_of(sides.begin(), sides.end(), [&](std::optional<ReleaseSide> side) {
        return !side || isOnSide(servers.releases, server.listed, start, *side);
    });
}

} // namespace

std::vector<std::string> servicesOf(const PickRequest &request)
{
    std::uint64_t total = 0;
    for (const deployment::WeightedService &it : request.route->services)
        total += it.weight;
    std::vector<std::string> services;
    if (total == 0)
        return services;
    std::uint64_t draw = stableHash(request.head->requestId) % total;
    std::size_t first = 0;
    while (draw >= request.route->services[first].weight)
        draw -= request.route->services[first++].weight;
    services.push_back(request.route->services[first].service);
    for (std::size_t n = 0; n < request.route->services.size(); ++n) {
        if (n != first && request.route->services[n].weight > 0)
            services.push_back(request.route->services[n].service);
    }
    return services;
}

std::vector<std::vector<Candidate>> candidatesOf(const Servers &servers, const PickRequest &request,
                                                 const std::string &service, TimePoint now)
{
    std::vector<std::vector<Candidate>> sets;
    for (const std::optional<ReleaseSide> side : sidesOf(servers, request, service, now)) {
        std::vector<Candidate> candidates = candidatesOn(servers, request, service, side, now);
        if (!candidates.empty())
            sets.push_back(std::move(candidates));
    }
    return sets;
}

std::optional<Duration> timeToPauseEnd(const Servers &servers, const PickRequest &request,
                                       TimePoint now)
{
    std::optional<Duration> shortest;
    for (const std::string &name : servicesOf(request)) {
        const auto sides = sidesOf(servers, request, name, now);
        for (const auto &[start, server] : servers.known) {
            const Duration left = server.pausedUntil - now;
            const bool isPaused = left > Duration(0) && server.listed.service == name;
            if (!isPaused || !isOnAnySide(servers, start, server, sides)
                || !acceptsRequest(servers, request, start, server, server.pausedUntil))
                continue;
            shortest = shortest ? std::min(*shortest, left) : left;
        }
    }
    return shortest;
}

bool canPick(const Servers &servers, const PickRequest &request, TimePoint now)
{
    for (const std::string &name : servicesOf(request)) {
        if (!candidatesOf(servers, request, name, now).empty())
            return true;
    }
    return false;
}

} // namespace kumquathaven::gateway
