// The publishing side of the feed, in control members and relays: decides what to send to which
// subscriber.

#ifndef KUMQUATHAVEN_FEED_PUBLISHER_H
#define KUMQUATHAVEN_FEED_PUBLISHER_H

#include "kumquathaven/feed/messages.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kumquathaven::feed {

/// Identifies a subscriber: the id of its link.
using SubscriberId = std::uint64_t;

/// A frame for several subscribers. It is encoded once for all of them.
struct Delivery
{
    wire::Frame frame;
    std::vector<SubscriberId> subscribers;
};

/// Maximum number and bytes of changes retained for subscribers that reconnect. The number covers
/// an hour at the rate that the design provides for. A subscriber that missed more bytes than this
/// receives the complete state, which is smaller than the changes unless the catalogue is larger.
constexpr std::size_t maxRetainedChanges = 2048;
constexpr std::size_t maxRetainedBytes = std::size_t{4} * 1024 * 1024;

/// Retains the newest changes and knows the current subscribers. A declaration is sent as the
/// difference from the one before to subscribers that read patches.
class Publisher
{
public:
    /// Restarts at the position of a snapshot of the control state, which has \p declaration.
    /// Changes retained from before it are discarded.
    void restart(std::uint64_t position, const catalogue::Declaration &declaration = {});

    /// Publishes an accepted change and returns what to send.
    std::vector<Delivery> publish(const ChangeAt &change);

    /// Subscribes \p subscriber to all changes after the position that it holds and returns what to
    /// send to it. \p state returns the frame with the current state; it is sent if the subscriber
    /// holds none, cannot read a retained change, or the retained changes do not reach back.
    std::vector<Delivery> subscribe(SubscriberId subscriber, const Subscribe &request,
                                    const std::function<wire::Frame()> &state);

    /// Removes a subscriber, for example because its link closed.
    void remove(SubscriberId subscriber) { m_subscribers.erase(subscriber); }

    /// Returns the position of the newest change.
    std::uint64_t position() const { return m_position; }
    std::size_t subscriberCount() const { return m_subscribers.size(); }
    /// Returns the bytes of the retained changes.
    std::size_t retainedBytes() const { return m_retainedBytes; }

private:
    struct RetainedChange
    {
        std::uint64_t position = 0;
        wire::Frame frame;
        bool isPatch = false;
    };

    std::optional<wire::Frame> patchFrame(const ChangeAt &change);

    std::uint64_t m_position = 0;
    /// Every change after this position is retained.
    std::uint64_t m_retainedAfter = 0;
    std::deque<RetainedChange> m_retained;
    std::size_t m_retainedBytes = 0;
    /// Whether each subscriber reads patches.
    std::map<SubscriberId, bool> m_subscribers;
    /// Text of the declaration at the position; null if it is not known.
    std::shared_ptr<const std::string> m_declaration;
};

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_FEED_PUBLISHER_H
