// Applies this instance's share of the customers' token limits, which hold over all instances, on
// the event loop.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_TOKENLIMITS_H
#define KUMQUATHAVEN_LIB_GATEWAY_TOKENLIMITS_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/deployment/plan.h"
#include "kumquathaven/limits/shares.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace kumquathaven::gateway {

/// One instance's use of customers' limits.
struct LimitsReport
{
    /// Demand in tokens per second, and tokens spent since the last report, by customer.
    std::map<std::string, std::int64_t> demand;
    std::map<std::string, std::int64_t> spent;
};

/// Used on the loop's thread only.
class TokenLimits
{
public:
    /// \p slackTokens may be spent beyond rate and burst, over all instances together.
    explicit TokenLimits(double slackTokens);

    /// Sets the number of live instances, and of those whose demand and spending are known here,
    /// each including this one.
    void setInstances(std::size_t instances, std::size_t known);

    /// Takes tokens from the account of a customer. The error is RateLimited and has the time after
    /// which to retry.
    Result<limits::Spending> spend(const deployment::Customer &customer, std::uint64_t tokens,
                                   TimePoint now);

    /// Returns the tokens of a request that did not run.
    void giveBack(const deployment::Customer &customer, const limits::Spending &spending,
                  TimePoint now);

    /// Returns what is due to be reported to the other instances.
    LimitsReport takeReport(TimePoint now);

    /// Apply the demand and the spending at all other instances together, which have the keys
    /// below. Unknown keys are ignored.
    void setDemandOfOthers(std::uint64_t key, std::int64_t tokensPerSecond);
    void applySpendingOfOthers(std::uint64_t key, std::int64_t tokens, TimePoint now);

private:
    void learnCustomer(const std::string &customer);

    limits::Shares m_shares;
    /// Customers by the keys of their demand and of their spending.
    std::unordered_map<std::uint64_t, std::string> m_customers;
    /// Demand at the other instances of customers that sent no request to this one yet, by key.
    std::unordered_map<std::uint64_t, std::int64_t> m_unknownDemand;
    TimePoint m_demandReportedAt{};
    TimePoint m_spendingReportedAt{};
    bool m_hasUrgentSpending = false;
};

/// Returns the keys under which instances report a customer's demand and spending.
std::uint64_t demandKey(const std::string &customer);
std::uint64_t spendingKey(const std::string &customer);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_TOKENLIMITS_H
