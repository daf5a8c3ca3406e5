// Decides under which scope the requests of a customer look up and leave cached prompts.
//
// Engines and stores keep what a request has read under the scope that it names, and give it to
// each later request that names the same scope. An isolated customer shares cached prompts with no
// other one, also not those that it left while it was not isolated.
//
// The scopes follow from one plan alone, so that all instances come to the same ones, whatever they
// knew before. A scope that customers share names who is isolated meanwhile: whatever is kept under
// it comes from customers that are not isolated under any plan that gives this scope. A change of
// who is isolated therefore begins a new shared scope, and its prompts are read again.

#ifndef KUMQUATHAVEN_DEPLOYMENT_CACHESCOPES_H
#define KUMQUATHAVEN_DEPLOYMENT_CACHESCOPES_H

#include "kumquathaven/deployment/plan.h"

#include <set>
#include <string>

namespace kumquathaven::deployment {

/// The scopes under one plan.
class CacheScopes
{
public:
    explicit CacheScopes(const Plan &plan);

    /// Returns the scope of a customer's requests: one of its own if it is isolated or if the plan
    /// does not know it, else the one that is shared. Requests without a customer, whose name is
    /// empty, use the shared one. No two kinds of scopes have a text in common.
    std::string scopeOf(const std::string &customer) const;

private:
    /// Names of the customers that share.
    std::set<std::string> m_sharing;
    std::string m_shared;
};

} // namespace kumquathaven::deployment

#endif // KUMQUATHAVEN_DEPLOYMENT_CACHESCOPES_H
