// A control member's side of the feed: what to send to which subscriber.

#ifndef KUMQUATHAVEN_FEED_PUBLISHER_H
#define KUMQUATHAVEN_FEED_PUBLISHER_H

#include "kumquathaven/feed/messages.h"

#include <deque>
#include <functional>
#include <set>
#include <vector>

namespace kumquathaven::feed {

/// Names a subscriber: the id of its link.
using SubscriberId = std::uint64_t;

/// A frame for some subscribers. It is encoded once, however many they are.
struct Delivery
{
    wire::Frame frame;
    std::vector<SubscriberId> subscribers;
};

/// Keeps the newest changes and what each subscriber holds.
class Publisher
{
public:
    /// Takes the position that a snapshot of the control state stands for. Changes kept from
    /// before it are forgotten.
    void restart(std::uint64_t position);

    /// Takes an accepted change and returns what to send.
    std::vector<Delivery> publish(const ChangeAt &change);

    /// A subscriber asks for what follows a position. \p state gives the frame with the present
    /// state; it is called if the kept changes do not reach back that far.
    std::vector<Delivery> subscribe(SubscriberId subscriber, std::uint64_t position,
                                    const std::function<wire::Frame()> &state);

    /// Forgets a subscriber, for example because its link closed.
    void remove(SubscriberId subscriber) { m_subscribers.erase(subscriber); }

    /// The position of the newest change.
    std::uint64_t position() const { return m_position; }
    std::size_t subscriberCount() const { return m_subscribers.size(); }

private:
    struct RetainedChange
    {
        std::uint64_t position = 0;
        wire::Frame frame;
    };

    std::uint64_t m_position = 0;
    /// Every change after this position is among the kept ones.
    std::uint64_t m_retainedAfter = 0;
    std::deque<RetainedChange> m_retained;
    std::set<SubscriberId> m_subscribers;
};

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_FEED_PUBLISHER_H
