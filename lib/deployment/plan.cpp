#include "kumquathaven/deployment/plan.h"

#include <algorithm>
#include <set>
#include <utility>

namespace kumquathaven::deployment {

namespace {

std::string validationError(const Plan &plan, const Route &route)
{
    const std::string subject = "route \"" + route.name + "\": ";
    if (route.timeout <= Duration(0))
        return subject + "the timeout must not be zero";
    std::uint64_t weights = 0;
    for (const WeightedService &it : route.services) {
        const auto service = plan.services.find(it.service);
        if (service == plan.services.end())
            return subject + "service \"" + it.service + "\" does not exist";
        weights += it.weight;
    }
    return weights == 0 ? subject + "the weights of all services are zero" : std::string();
}

std::string normalizedHost(const std::string &host)
{
    std::string text = host.substr(0, host.find(':'));
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(c >= 'A' && c <= 'Z' ? c - 'A' + 'a' : c);
    });
    return text;
}

} // namespace

std::string validationError(const Plan &plan)
{
    std::set<std::pair<std::string, std::string>> hostsAndPrefixes;
    for (const Route &it : plan.routes) {
        if (std::string error = validationError(plan, it); !error.empty())
            return error;
        if (!hostsAndPrefixes.emplace(normalizedHost(it.host), it.pathPrefix).second)
            return "two routes have host \"" + it.host + "\" and prefix \"" + it.pathPrefix + "\"";
    }
    std::set<std::string> keys;
    for (const Customer &customer : plan.customers) {
        for (const std::string &key :
             std::set<std::string>(customer.keys.begin(), customer.keys.end())) {
            if (!keys.insert(key).second)
                return "customer \"" + customer.name + "\" shares a key with another customer";
        }
    }
    return {};
}

PlanIndex::PlanIndex(const Plan &plan)
{
    for (const Route &it : plan.routes)
        m_routes[normalizedHost(it.host)].push_back(&it);
    for (auto &it : m_routes) {
        std::stable_sort(it.second.begin(), it.second.end(), [](const Route *a, const Route *b) {
            return a->pathPrefix.size() > b->pathPrefix.size();
        });
    }
    for (const Customer &customer : plan.customers) {
        for (const std::string &key : customer.keys)
            m_customers[key] = &customer;
    }
}

const Route *PlanIndex::findRoute(const std::string &host, const std::string &path) const
{
    const auto routes = m_routes.find(normalizedHost(host));
    if (routes == m_routes.end())
        return nullptr;
    for (const Route *it : routes->second) {
        if (path.compare(0, it->pathPrefix.size(), it->pathPrefix) == 0)
            return it;
    }
    return nullptr;
}

const Customer *PlanIndex::findCustomer(const std::string &key) const
{
    const auto it = m_customers.find(key);
    return it == m_customers.end() ? nullptr : it->second;
}

} // namespace kumquathaven::deployment
