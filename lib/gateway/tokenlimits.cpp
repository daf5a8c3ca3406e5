#include "tokenlimits.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace kumquathaven::gateway {

namespace {

/// Time between two reports to each other instance, while there are few instances.
constexpr Duration reportInterval = std::chrono::milliseconds(400);
/// Maximum number of messages a second from one instance, so that their total grows with the number
/// of instances and not with its square.
constexpr double maxMessagesPerSecond = 40;
/// After spending from a pool a report is sent this soon, so that other instances do not spend the
/// same tokens, with at most maxUrgentMessagesPerSecond messages a second.
constexpr Duration urgentInterval = std::chrono::milliseconds(50);
constexpr double maxUrgentMessagesPerSecond = 400;
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

TokenLimits::TokenLimits(std::string instance, std::uint64_t incarnation, double slackTokens,
                         std::function<void(const std::string &, const std::string &)> send)
    : m_instance(std::move(instance))
    , m_send(std::move(send))
{
    m_shares.incarnation = incarnation;
    m_shares.config.debtTokens = usedSlackShare * slackTokens;
}

void TokenLimits::updateInstances(const catalogue::Instances &instances)
{
    std::set<std::string> others;
    for (const auto &[name, it] : instances.entries) {
        if (name != m_instance && it.state != catalogue::InstanceState::Starting)
            others.insert(name);
    }
    limits::updatePeers(m_shares, others);
}

Result<limits::Spending> TokenLimits::spend(const deployment::Customer &customer,
                                            std::uint64_t tokens, TimePoint now)
{
    if (customer.rateTokensPerSecond == 0)
        return limits::Spending{};
    const limits::SpendResult answer =
        limits::spend(m_shares, customer.name, limitsOf(customer), tokens, now);
    if (answer.spending)
        return *answer.spending;
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

bool TokenLimits::handleMessage(const std::string &from, const std::string &body, TimePoint now)
{
    return orElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(report, limits::decodeReport(body, from));
            limits::applyReport(m_shares, from, std::move(report), now);
            return true;
        },
        [](const Error &) {
            return false;
        });
}

void TokenLimits::tick(TimePoint now)
{
    const auto others = static_cast<double>(m_shares.peers.size());
    const Duration interval = m_shares.hasUnreportedSpending
        ? std::max(urgentInterval, fromSeconds(others / maxUrgentMessagesPerSecond))
        : std::max(reportInterval, fromSeconds(others / maxMessagesPerSecond));
    if (now - m_lastReportAt < interval)
        return;
    m_lastReportAt = now;
    const std::string body = limits::encodeReport(limits::makeReport(m_shares, now));
    for (const auto &it : m_shares.peers)
        m_send(it.first, body);
}

} // namespace kumquathaven::gateway
