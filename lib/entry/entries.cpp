#include "entries.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace kumquathaven::entry {

std::vector<catalogue::Instance> entriesFor(const catalogue::Instances &instances,
                                            const std::string &failureDomain,
                                            const catalogue::Instance &self)
{
    std::vector<catalogue::Instance> entries;
    std::vector<catalogue::Instance> hinted;
    for (const auto &[name, instance] : instances.entries) {
        if (instance.state == catalogue::InstanceState::Serving)
            (instances.hinted.count(name) == 0 ? entries : hinted).push_back(instance);
    }
    // A list that calls every entry gone is less likely to be right than the entries themselves.
    if (entries.empty())
        entries = std::move(hinted);
    if (entries.empty())
        entries.push_back(self);
    std::stable_sort(entries.begin(), entries.end(), [&](const auto &a, const auto &b) {
        const bool nearA = a.failureDomain == failureDomain;
        const bool nearB = b.failureDomain == failureDomain;
        return nearA != nearB ? nearA : a.weight > b.weight;
    });
    return entries;
}

std::string entriesBody(const std::vector<catalogue::Instance> &entries, Duration ttl)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &it : entries) {
        list.push_back({{"instance", it.name},
                        {"address", it.callers},
                        {"weight", it.weight},
                        {"failureDomain", it.failureDomain}});
    }
    const nlohmann::json body = {{"entries", list}, {"ttlSeconds", toSeconds(ttl)}};
    return body.dump();
}

} // namespace kumquathaven::entry
