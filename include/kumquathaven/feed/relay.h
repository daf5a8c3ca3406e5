// An entry instance's side of the feed towards the entries that it feeds.

#ifndef KUMQUATHAVEN_FEED_RELAY_H
#define KUMQUATHAVEN_FEED_RELAY_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/feed/heartbeatreports.h"
#include "kumquathaven/feed/publisher.h"

#include <functional>
#include <optional>
#include <vector>

namespace kumquathaven::feed {

/// What the relaying instance holds.
struct HeldPosition
{
    std::uint64_t position = 0;
    /// When this position was proven to be the newest; the default: never.
    TimePoint provenAt;
};

/// What the relay wants done for a child's message.
struct RelayReply
{
    std::vector<Delivery> deliveries;
    /// The child's link is to be closed: the relay has no room, or nothing to give.
    bool refuse = false;
};

/// Passes on what the instance took, in the order in which it took it, and tells the age of the
/// instance's own proof. It proves nothing by itself.
class Relay
{
public:
    explicit Relay(std::size_t maxChildren)
        : m_maxChildren(maxChildren)
    { }

    /// The instance took a change.
    std::vector<Delivery> publishChange(const ChangeAt &change)
    {
        return m_publisher.publish(change);
    }

    /// The instance took a whole state. Its children get it too, since changes are missing before
    /// it; \p state gives its frame.
    std::vector<Delivery> restored(std::uint64_t position,
                                   const std::function<wire::Frame()> &state);

    /// Takes a message from a child. \p state gives the frame with the present state.
    RelayReply receive(SubscriberId child, const Message &message, const HeldPosition &held,
                       const std::function<wire::Frame()> &state, TimePoint now);

    /// Forgets a child, for example because its link closed.
    void remove(SubscriberId child);

    /// The heartbeats from below that the present source is to be told now.
    std::vector<Heartbeat> heartbeatsDue(TimePoint now) { return m_reports.due(now); }

    /// The instance is fed by another source than before.
    void sourceChanged() { m_reports.resendAll(); }

    std::size_t childCount() const { return m_children.size(); }

private:
    void recordHeartbeats(const ProofRequest &request, TimePoint now);
    const wire::Frame &stateFrame(const std::function<wire::Frame()> &state);

    std::size_t m_maxChildren;
    std::set<SubscriberId> m_children;
    Publisher m_publisher;
    HeartbeatReports m_reports;
    /// The newest state, encoded once for all children that ask at one position.
    std::optional<wire::Frame> m_stateFrame;
    std::uint64_t m_stateFramePosition = 0;
};

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_FEED_RELAY_H
