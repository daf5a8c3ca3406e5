// Applies this instance's share of the customers' token limits, which hold over all instances, on
// the event loop.

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
    /// \p slackTokens may be spent beyond rate and burst, over all instances together. \p send
    /// sends a message to another instance; a lost message is followed by a newer one.
    TokenLimits(std::string instance, std::uint64_t incarnation, double slackTokens,
                std::function<void(const std::string &, const std::string &)> send);

    /// Applies the current set of instances.
    void updateInstances(const catalogue::Instances &instances);

    /// Takes tokens from the account of a customer. The error is RateLimited and has the time after
    /// which to retry.
    Result<limits::Spending> spend(const deployment::Customer &customer, std::uint64_t tokens,
                                   TimePoint now);

    /// Returns the tokens of a request that did not run.
    void giveBack(const deployment::Customer &customer, const limits::Spending &spending,
                  TimePoint now);

    /// Handles a report of another instance. Returns whether it was well formed.
    bool handleMessage(const std::string &from, const std::string &body, TimePoint now);

    /// Sends a report of the demand and the spending of customers here to all other instances, when
    /// one is due.
    void tick(TimePoint now);

private:
    const std::string m_instance;
    std::function<void(const std::string &, const std::string &)> m_send;
    limits::Shares m_shares;
    TimePoint m_lastReportAt{};
};

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_TOKENLIMITS_H
