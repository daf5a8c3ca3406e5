#include "kumquathaven/deployment/cachescopes.h"

#include "kumquathaven/base/digest.h"

namespace kumquathaven::deployment {

namespace {

constexpr char ownPrefix = '/';
constexpr char sharedPrefix = '#';

} // namespace

CacheScopes::CacheScopes(const Plan &plan)
{
    std::set<std::string> isolated;
    for (const Customer &it : plan.customers)
        (it.isolated ? isolated : m_sharing).insert(it.name);
    for (const std::string &it : isolated)
        m_sharing.erase(it);
    if (isolated.empty())
        return;
    Digest digest;
    for (const std::string &it : isolated)
        digest.add(it);
    m_shared = sharedPrefix + digest.finish();
}

std::string CacheScopes::scopeOf(const std::string &customer) const
{
    const bool shares = customer.empty() || m_sharing.count(customer) > 0;
    return shares ? m_shared : ownPrefix + customer;
}

} // namespace kumquathaven::deployment
