#include "upstreamtable.h"

#include "kumquathaven/base/hash.h"

#include <algorithm>

namespace kumquathaven::entry {

namespace {

bool hasAdapter(const catalogue::Upstream &upstream, const std::string &adapter)
{
    return adapter.empty()
        || std::find(upstream.adapters.begin(), upstream.adapters.end(), adapter)
        != upstream.adapters.end();
}

bool mayServe(const catalogue::Upstream &upstream, const CallerRequest &request)
{
    const auto &route = *request.route;
    if (upstream.state != catalogue::UpstreamState::Serving)
        return false;
    const auto &named = route.upstreams;
    const bool isNamed = std::find(named.begin(), named.end(), upstream.head.name) != named.end();
    if (route.model.empty())
        return upstream.kind == catalogue::UpstreamKind::Service && isNamed;
    return upstream.kind == catalogue::UpstreamKind::Engine && (named.empty() || isNamed)
        && upstream.model == request.model && hasAdapter(upstream, request.adapter);
}

} // namespace

std::vector<const catalogue::Upstream *> allowedUpstreams(const catalogue::Catalogue &catalogue,
                                                          const CallerRequest &request)
{
    std::vector<const catalogue::Upstream *> allowed;
    for (const auto &[name, upstream] : catalogue.upstreams) {
        if (mayServe(upstream, request))
            allowed.push_back(&upstream);
    }
    return allowed;
}

std::optional<Choice> UpstreamTable::choose(const catalogue::Catalogue &catalogue,
                                            const CallerRequest &request,
                                            const std::set<std::string> &tried)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const catalogue::Upstream *best = nullptr;
    std::uint32_t fewest = 0;
    std::uint64_t bestRank = 0;
    for (const auto *it : allowedUpstreams(catalogue, request)) {
        if (tried.count(it->head.name) > 0)
            continue;
        const std::uint32_t running = m_running[it->head.name];
        const std::uint64_t rank = rendezvousRank(request.requestId, it->head.name);
        if (best != nullptr && (running > fewest || (running == fewest && rank < bestRank)))
            continue;
        best = it;
        fewest = running;
        bestRank = rank;
    }
    if (best == nullptr)
        return std::nullopt;
    ++m_running[best->head.name];
    return Choice{*best, "fewest running (" + std::to_string(fewest) + ")"};
}

void UpstreamTable::began(const std::string &upstream)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_running[upstream];
}

void UpstreamTable::finished(const std::string &upstream)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_running.find(upstream);
    if (found != m_running.end() && --found->second == 0)
        m_running.erase(found);
}

std::map<std::string, std::uint32_t> UpstreamTable::running() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_running;
}

} // namespace kumquathaven::entry
