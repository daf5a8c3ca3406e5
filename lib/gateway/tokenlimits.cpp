#include "tokenlimits.h"

#include "kumquathaven/limits/codec.h"

#include <utility>

namespace kumquathaven::gateway {

namespace {

/// A request that waits longer for tokens is refused: callers count a late refusal against us.
constexpr Duration maxWait = std::chrono::milliseconds(150);

std::string bucketOf(const deployment::Customer &customer)
{
    return "customer/" + customer.name;
}

limits::BucketLimits limitsOf(const deployment::Customer &customer)
{
    const auto rate = static_cast<double>(customer.rateTokensPerSecond);
    const auto burst = static_cast<double>(customer.burstTokens);
    return {rate, burst > 0 ? burst : rate};
}

limits::Config configOf(Duration freshnessBound)
{
    limits::Config config;
    config.freshnessBound = freshnessBound;
    config.maxWait = maxWait;
    return config;
}

} // namespace

TokenLimits::TokenLimits(const std::string &instance, std::uint64_t incarnation,
                         Duration freshnessBound,
                         std::function<void(const std::string &, const std::string &)> send)
    : m_node(limits::makeNode(instance, incarnation, configOf(freshnessBound)))
    , m_send(std::move(send))
{ }

void TokenLimits::configure(const deployment::Plan &plan, const catalogue::Snapshot &snapshot,
                            TimePoint now)
{
    std::map<std::string, limits::BucketLimits> buckets;
    for (const deployment::Customer &it : plan.customers) {
        if (it.rateTokensPerSecond > 0)
            buckets[bucketOf(it)] = limitsOf(it);
    }
    limits::Effects effects;
    limits::configure(m_node, snapshot.instances, buckets, snapshot.provenAt, now, effects);
    perform(effects);
}

std::uint64_t TokenLimits::reserve(const deployment::Customer &customer, std::uint64_t tokens,
                                   TokensDecided decided, TimePoint now)
{
    limits::Effects effects;
    const limits::Decision decision = limits::reserve(
        m_node, {{bucketOf(customer), limitsOf(customer)}}, {tokens, 0}, now, effects);
    const bool isWaiting = decision.kind == limits::Decision::Kind::Waiting;
    if (isWaiting)
        m_waiting[decision.reservation] = std::move(decided);
    perform(effects);
    if (!isWaiting)
        decided(decision.refusal);
    return decision.reservation;
}

void TokenLimits::startRun(std::uint64_t reservation)
{
    limits::startRun(m_node, reservation);
}

void TokenLimits::settle(std::uint64_t reservation, std::uint64_t used, TimePoint now)
{
    m_waiting.erase(reservation);
    limits::Effects effects;
    limits::settle(m_node, reservation, used, now, effects);
    perform(effects);
}

void TokenLimits::receive(const std::string &from, const std::string &body, TimePoint now)
{
    limits::Effects effects;
    orElse(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(messages, limits::decodeMessages(body, from));
            for (const limits::Message &it : messages)
                limits::receive(m_node, from, it, now, effects);
            return {};
        },
        [this](const Error &) {
            ++m_malformed;
        });
    perform(effects);
}

void TokenLimits::tick(TimePoint now)
{
    limits::Effects effects;
    limits::tick(m_node, now, effects);
    perform(effects);
}

void TokenLimits::perform(limits::Effects &effects)
{
    std::map<std::string, std::vector<limits::Message>> byTarget;
    for (limits::Envelope &it : effects.messages)
        byTarget[it.to].push_back(std::move(it.message));
    for (const auto &[to, messages] : byTarget)
        m_send(to, limits::encodeMessages(messages));
    for (limits::Resolution &it : effects.resolutions) {
        const auto waiting = m_waiting.find(it.reservation);
        if (waiting == m_waiting.end())
            continue;
        const TokensDecided decided = std::move(waiting->second);
        m_waiting.erase(waiting);
        decided(std::move(it.refusal));
    }
}

} // namespace kumquathaven::gateway
