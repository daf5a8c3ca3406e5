// This instance's part in the customers' limits over all instances, on the event loop.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_TOKENLIMITS_H
#define KUMQUATHAVEN_LIB_GATEWAY_TOKENLIMITS_H

#include "kumquathaven/base/error.h"
#include "kumquathaven/catalogue/instances.h"
#include "kumquathaven/deployment/plan.h"
#include "kumquathaven/limits/shares.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace kumquathaven::gateway {

/// Used on the loop's thread only.
class TokenLimits
{
public:
    /// \p slackTokens may be had beyond rate and burst, over all instances together. \p send
    /// carries a message to another instance; one that gets lost is followed by a newer one.
    TokenLimits(std::string instance, double slackTokens,
                std::function<void(const std::string &, const std::string &)> send);

    /// Takes the instances that serve.
    void keep(const catalogue::Instances &instances);

    /// Takes tokens of a customer, or returns why not.
    std::optional<Error> spend(const deployment::Customer &customer, std::uint64_t tokens,
                               TimePoint now);

    /// Gives back the tokens of a request that did not run.
    void giveBack(const deployment::Customer &customer, std::uint64_t tokens, TimePoint now);

    /// Takes a message of another instance. Returns whether it was understood.
    bool receive(const std::string &from, const std::string &body, TimePoint now);

    /// Tells the others what customers ask here, when that is due.
    void tick(TimePoint now);

private:
    const std::string m_instance;
    std::function<void(const std::string &, const std::string &)> m_send;
    limits::Shares m_shares;
    TimePoint m_nextTell{};
};

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_TOKENLIMITS_H
