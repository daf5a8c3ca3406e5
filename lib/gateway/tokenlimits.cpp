#include "tokenlimits.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace kumquathaven::gateway {

namespace {

/// Between two messages to each other instance, while there are few of them.
constexpr Duration tellInterval = std::chrono::milliseconds(400);
/// Messages a second that one instance sends at most, so that their number over all instances grows
/// with the number of instances and not with its square.
constexpr double mostMessages = 40;
/// After spending from a pool the others are told this soon, so that they do not spend it too, and
/// with at most so many messages a second.
constexpr Duration urgentInterval = std::chrono::milliseconds(50);
constexpr double mostUrgentMessages = 400;
/// A refused caller comes back no sooner and no later than this.
constexpr Duration leastRetry = std::chrono::milliseconds(100);
/// Part of the slack that is planned with; the rest covers what instances have not told each other.
constexpr double usedSlack = 0.6;
constexpr Duration mostRetry = std::chrono::seconds(5);

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
    m_shares.config.debtTokens = usedSlack * slackTokens;
}

void TokenLimits::keep(const catalogue::Instances &instances)
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
                 "the customer's rate is used up here: " + std::to_string(tokens)
                     + " tokens asked of " + std::to_string(customer.rateTokensPerSecond)
                     + " a second, its account lacks "
                     + std::to_string(std::llround(answer.missing)) + ", the pool of all instances "
                     + std::to_string(std::llround(answer.pooledMissing)),
                 Outcome::NotRun,
                 std::clamp(answer.wait, leastRetry, mostRetry)});
}

void TokenLimits::giveBack(const deployment::Customer &customer, const limits::Spending &spending,
                           TimePoint now)
{
    if (spending.tokens > 0)
        limits::giveBack(m_shares, customer.name, limitsOf(customer), spending, now);
}

bool TokenLimits::receive(const std::string &from, const std::string &body, TimePoint now)
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
        ? std::max(urgentInterval, fromSeconds(others / mostUrgentMessages))
        : std::max(tellInterval, fromSeconds(others / mostMessages));
    if (now - m_toldAt < interval)
        return;
    m_toldAt = now;
    const std::string body = limits::encodeReport(limits::makeReport(m_shares, now));
    for (const auto &it : m_shares.peers)
        m_send(it.first, body);
}

} // namespace kumquathaven::gateway
