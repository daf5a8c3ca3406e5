// This instance's part in the customers' limits over all instances, on the event loop.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_TOKENLIMITS_H
#define KUMQUATHAVEN_LIB_GATEWAY_TOKENLIMITS_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/catalogue/instances.h"
#include "kumquathaven/deployment/plan.h"
#include "kumquathaven/limits/shares.h"

#include <cstdint>
#include <functional>
#include <string>

namespace kumquathaven::gateway {

/// Used on the loop's thread only.
class TokenLimits
{
public:
    /// \p slackTokens may be had beyond rate and burst, over all instances together. \p send
    /// carries a message to another instance; one that gets lost is followed by a newer one.
    TokenLimits(std::string instance, std::uint64_t incarnation, double slackTokens,
                std::function<void(const std::string &, const std::string &)> send);

    /// Takes the instances that serve.
    void updateInstances(const catalogue::Instances &instances);

    /// Takes tokens of a customer. The error is RateLimited and says when to come back.
    Result<limits::Spending> spend(const deployment::Customer &customer, std::uint64_t tokens,
                                   TimePoint now);

    /// Gives back the tokens of a request that did not run.
    void giveBack(const deployment::Customer &customer, const limits::Spending &spending,
                  TimePoint now);

    /// Takes a message of another instance. Returns whether it was understood.
    bool handleMessage(const std::string &from, const std::string &body, TimePoint now);

    /// Tells the others what customers ask and spend here, when that is due.
    void tick(TimePoint now);

private:
    const std::string m_instance;
    std::function<void(const std::string &, const std::string &)> m_send;
    limits::Shares m_shares;
    TimePoint m_lastReportAt{};
};

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_TOKENLIMITS_H
