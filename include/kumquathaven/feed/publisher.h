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
    /// Position of the change in the frame; zero if the frame is no change.
    std::uint64_t changeAt = 0;
};

/// A subscriber whose link has more bytes queued than this is held back: it is sent no changes
/// until the link has taken them, and then no more bytes than the newest state has.
constexpr std::size_t maxBacklogBytes = std::size_t{64} * 1024;

/// Maximum number and bytes of changes retained for subscribers that reconnect. The number covers
/// an hour at the rate that the design provides for. A subscriber that missed more bytes than this
/// receives the complete state, which is smaller than the changes unless the catalogue is larger.
constexpr std::size_t maxRetainedChanges = 2048;
constexpr std::size_t maxRetainedBytes = std::size_t{4} * 1024 * 1024;

/// Retains the newest changes and knows the current subscribers. A declaration is sent as the
/// difference from the one before to subscribers that read patches. A subscriber that cannot keep
/// up with the changes skips those that newer ones replace.
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
    /// holds none, cannot read a retained change, or the retained changes do not reach back or have
    /// more bytes.
    std::vector<Delivery> subscribe(SubscriberId subscriber, const Subscribe &request,
                                    const std::function<wire::Frame()> &state);

    /// Sends \p subscriber no changes from the one at \p position on, until resume(). Its link must
    /// not have been given that change.
    void holdBack(SubscriberId subscriber, std::uint64_t position);
    bool isHeldBack(SubscriberId subscriber) const;
    /// Returns the subscribers that are held back.
    std::vector<SubscriberId> heldBack() const;
    /// Returns what a subscriber that was held back has missed, as subscribe() does.
    std::vector<Delivery> resume(SubscriberId subscriber,
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
    struct Subscription
    {
        bool readsPatches = false;
        /// Position of the last change that was sent; empty unless the subscriber is held back.
        std::optional<std::uint64_t> heldAfter;
    };

    std::map<SubscriberId, Subscription> m_subscribers;
    /// Text of the declaration at the position; null if it is not known.
    std::shared_ptr<const std::string> m_declaration;
};

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_FEED_PUBLISHER_H
