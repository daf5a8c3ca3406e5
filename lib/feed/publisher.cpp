#include "kumquathaven/feed/publisher.h"

namespace kumquathaven::feed {

namespace {

/// Number of changes retained for subscribers that reconnect. They cover an hour at the rate that
/// the design provides for.
constexpr std::size_t maxRetainedChanges = 2048;

} // namespace

void Publisher::restart(std::uint64_t position)
{
    m_retained.clear();
    m_retainedAfter = position;
    m_position = position;
}

std::vector<Delivery> Publisher::publish(const ChangeAt &change)
{
    m_position = change.position;
    m_retained.push_back({change.position, toFrame(change)});
    if (m_retained.size() > maxRetainedChanges) {
        m_retainedAfter = m_retained.front().position;
        m_retained.pop_front();
    }
    std::vector<SubscriberId> subscribers;
    subscribers.reserve(m_subscribers.size());
    for (const SubscriberId it : m_subscribers)
        subscribers.push_back(it);
    if (subscribers.empty())
        return {};
    return {{m_retained.back().frame, std::move(subscribers)}};
}

std::vector<Delivery> Publisher::subscribe(SubscriberId subscriber, std::uint64_t position,
                                           const std::function<wire::Frame()> &state)
{
    m_subscribers.insert(subscriber);
    if (position == 0 || position < m_retainedAfter)
        return {{state(), {subscriber}}};
    std::vector<Delivery> deliveries;
    for (const RetainedChange &it : m_retained) {
        if (it.position > position)
            deliveries.push_back({it.frame, {subscriber}});
    }
    return deliveries;
}

} // namespace kumquathaven::feed
