#include "kumquathaven/feed/publisher.h"

namespace kumquathaven::feed {

void Publisher::restart(std::uint64_t position)
{
    m_retained.clear();
    m_retainedBytes = 0;
    m_retainedAfter = position;
    m_position = position;
}

std::vector<Delivery> Publisher::publish(const ChangeAt &change)
{
    m_position = change.position;
    const wire::Frame frame = toFrame(change);
    m_retained.push_back({change.position, frame});
    m_retainedBytes += frame.body.size();
    while (m_retained.size() > maxRetainedChanges || m_retainedBytes > maxRetainedBytes) {
        m_retainedAfter = m_retained.front().position;
        m_retainedBytes -= m_retained.front().frame.body.size();
        m_retained.pop_front();
    }
    if (m_subscribers.empty())
        return {};
    return {{frame, {m_subscribers.begin(), m_subscribers.end()}}};
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
