#include "tokenlimits.h"

#include "kumquathaven/base/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kumquathaven::gateway {

namespace {

/// Time between two reports of demand, and between two reports of spending.
constexpr Duration demandInterval = std::chrono::milliseconds(400);
constexpr Duration spendingInterval = std::chrono::milliseconds(100);
/// After spending from a pool a report is sent this soon, so that other instances do not spend the
/// same tokens.
constexpr Duration urgentInterval = std::chrono::milliseconds(25);
constexpr std::uint64_t demandSeed = 0x6465'6d61'6e64;
constexpr std::uint64_t spendingSeed = 0x7370'656e'74;
/// Customers whose demand elsewhere is remembered before they send a request to this instance;
/// several times the number that the system is designed for.
constexpr std::size_t maxUnknownCustomers = 10'000;
/// Minimum time after which a refused caller is asked to retry; maxRetryAfter is the maximum.
constexpr Duration minRetryAfter = std::chrono::milliseconds(100);
/// Share of the slack that may be used as debt; the remainder covers spending that instances have
/// not reported to each other yet.
constexpr double usedSlackShare = 0.6;
constexpr Duration maxRetryAfter = std::chrono::seconds(5);

limits::BucketLimits limitsOf(const deployment::Customer &customer)
{
    const auto rate = static_cast<double>(customer.rateTokensPerSecond);
    const auto burst = static_cast<double>(customer.burstTokens);
    return {rate, burst > 0 ? burst : rate};
}

} // namespace

std::uint64_t demandKey(const std::string &customer)
{
    return stableHash(customer, demandSeed);
}

std::uint64_t spendingKey(const std::string &customer)
{
    return stableHash(customer, spendingSeed);
}

TokenLimits::TokenLimits(double slackTokens)
{
    m_shares.config.debtTokens = usedSlackShare * slackTokens;
}

void TokenLimits::setInstances(std::size_t instances, std::size_t known)
{
    limits::setInstances(m_shares, instances, known);
}

/// Makes the keys of a customer known, and applies what was learned of it before.
void TokenLimits::learnCustomer(const std::string &customer)
{
    const std::uint64_t key = demandKey(customer);
    if (!m_customers.emplace(key, customer).second)
        return;
    m_customers.emplace(spendingKey(customer), customer);
    const auto demand = m_unknownDemand.find(key);
    if (demand == m_unknownDemand.end())
        return;
    limits::setDemandOfOthers(m_shares, customer, static_cast<double>(demand->second));
    m_unknownDemand.erase(demand);
}

Result<limits::Spending> TokenLimits::spend(const deployment::Customer &customer,
                                            std::uint64_t tokens, TimePoint now)
{
    if (customer.rateTokensPerSecond == 0)
        return limits::Spending{};
    learnCustomer(customer.name);
    const limits::SpendResult answer =
        limits::spend(m_shares, customer.name, limitsOf(customer), tokens, now);
    if (answer.spending) {
        m_hasUrgentSpending = m_hasUrgentSpending || answer.spending->isPooled;
        return *answer.spending;
    }
    return fail({ErrorCode::RateLimited,
                 "limits.spend",
                 {},
                 "the customer's rate is exhausted on this instance: " + std::to_string(tokens)
                     + " tokens requested at " + std::to_string(customer.rateTokensPerSecond)
                     + " a second, missing in its account "
                     + std::to_string(std::llround(answer.missing))
                     + ", in the pool of all instances "
                     + std::to_string(std::llround(answer.pooledMissing)),
                 Outcome::NotRun,
                 std::clamp(answer.wait, minRetryAfter, maxRetryAfter)});
}

void TokenLimits::giveBack(const deployment::Customer &customer, const limits::Spending &spending,
                           TimePoint now)
{
    if (spending.tokens > 0)
        limits::giveBack(m_shares, customer.name, limitsOf(customer), spending, now);
}

LimitsReport TokenLimits::takeReport(TimePoint now)
{
    LimitsReport report;
    if (now - m_demandReportedAt >= demandInterval) {
        m_demandReportedAt = now;
        report.demand = limits::ownDemand(m_shares, now);
    }
    const Duration interval = m_hasUrgentSpending ? urgentInterval : spendingInterval;
    if (now - m_spendingReportedAt >= interval) {
        m_spendingReportedAt = now;
        m_hasUrgentSpending = false;
        report.spent = limits::takeUnreportedSpending(m_shares);
    }
    return report;
}

void TokenLimits::setDemandOfOthers(std::uint64_t key, std::int64_t tokensPerSecond)
{
    const auto customer = m_customers.find(key);
    if (customer != m_customers.end())
        limits::setDemandOfOthers(m_shares, customer->second, static_cast<double>(tokensPerSecond));
    else if (m_unknownDemand.size() < maxUnknownCustomers || m_unknownDemand.count(key) > 0)
        m_unknownDemand[key] = tokensPerSecond;
}

void TokenLimits::applySpendingOfOthers(std::uint64_t key, std::int64_t tokens, TimePoint now)
{
    const auto customer = m_customers.find(key);
    if (customer != m_customers.end())
        limits::applySpendingOfOthers(m_shares, customer->second, static_cast<double>(tokens), now);
}

} // namespace kumquathaven::gateway
