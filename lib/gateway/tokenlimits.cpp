#include "tokenlimits.h"

#include <algorithm>
#include <set>
#include <utility>

namespace kumquathaven::gateway {

namespace {

/// Between two messages to each other instance, while there are few of them.
constexpr Duration tellInterval = std::chrono::milliseconds(400);
/// Messages a second that one instance sends at most, so that their number over all instances grows
/// with the number of instances and not with its square.
constexpr double mostMessages = 40;
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

TokenLimits::TokenLimits(std::string instance, double slackTokens,
                         std::function<void(const std::string &, const std::string &)> send)
    : m_instance(std::move(instance))
    , m_send(std::move(send))
{
    m_shares.config.debtTokens = usedSlack * slackTokens;
}

void TokenLimits::keep(const catalogue::Instances &instances)
{
    std::set<std::string> others;
    for (const auto &[name, it] : instances.entries) {
        if (name != m_instance && it.state != catalogue::InstanceState::Starting)
            others.insert(name);
    }
    limits::keepPeers(m_shares, others);
}

std::optional<Error> TokenLimits::spend(const deployment::Customer &customer, std::uint64_t tokens,
                                        TimePoint now)
{
    if (customer.rateTokensPerSecond == 0)
        return std::nullopt;
    const auto wait = limits::spend(m_shares, customer.name, limitsOf(customer), tokens, now);
    if (!wait)
        return std::nullopt;
    return Error{ErrorCode::RateLimited,
                 "limits.spend",
                 {},
                 "the customer's rate is used up here",
                 Outcome::NotRun,
                 std::clamp(*wait, leastRetry, mostRetry)};
}

void TokenLimits::giveBack(const deployment::Customer &customer, std::uint64_t tokens,
                           TimePoint now)
{
    if (customer.rateTokensPerSecond > 0)
        limits::giveBack(m_shares, customer.name, limitsOf(customer), tokens, now);
}

bool TokenLimits::receive(const std::string &from, const std::string &body, TimePoint now)
{
    return orElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(demands, limits::decodeDemands(body, from));
            limits::takeDemands(m_shares, from, std::move(demands), now);
            return true;
        },
        [](const Error &) {
            return false;
        });
}

void TokenLimits::tick(TimePoint now)
{
    if (now < m_nextTell)
        return;
    const Duration bySize = fromSeconds(static_cast<double>(m_shares.peers.size()) / mostMessages);
    m_nextTell = now + std::max(tellInterval, bySize);
    const std::string body = limits::encodeDemands(limits::ownDemands(m_shares, now));
    for (const auto &it : m_shares.peers)
        m_send(it.first, body);
}

} // namespace kumquathaven::gateway
