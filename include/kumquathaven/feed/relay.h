// The relaying side of an entry instance: feeds the control state to its children.

#ifndef KUMQUATHAVEN_FEED_RELAY_H
#define KUMQUATHAVEN_FEED_RELAY_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/feed/heartbeatreports.h"
#include "kumquathaven/feed/publisher.h"

#include <functional>
#include <optional>
#include <vector>

namespace kumquathaven::feed {

/// What the relaying instance holds: its position and the proof for it.
struct HeldPosition
{
    std::uint64_t position = 0;
    /// When this position was proven to be the latest; the default value: never.
    TimePoint provenAt;
};

/// The actions that a child's message leads to.
struct RelayReply
{
    std::vector<Delivery> deliveries;
    /// Whether to close the child's link. The relay has no room for the child, holds no state, or
    /// received a message that is not for a relay.
    bool refuse = false;
};

/// Forwards what the instance accepted, in the order in which the instance accepted it, and reports
/// the age of the instance's own proof. A relay proves nothing by itself.
class Relay
{
public:
    explicit Relay(std::size_t maxChildren)
        : m_maxChildren(maxChildren)
    { }

    /// Forwards a change that the instance applied.
    std::vector<Delivery> publishChange(const ChangeAt &change)
    {
        return m_publisher.publish(change);
    }

    /// Handles a complete state that the instance adopted. Its children are sent the state too,
    /// because the changes before it are missing; \p state returns its frame.
    std::vector<Delivery> restored(std::uint64_t position,
                                   const catalogue::Declaration &declaration,
                                   const std::function<wire::Frame()> &state);

    /// Handles a message from a child. \p state returns the frame with the current state.
    RelayReply receive(SubscriberId child, const Message &message, const HeldPosition &held,
                       const std::function<wire::Frame()> &state, TimePoint now);

    // Holding back of children that do not keep up; see Publisher.
    void holdBack(SubscriberId child, std::uint64_t position)
    {
        m_publisher.holdBack(child, position);
    }
    bool isHeldBack(SubscriberId child) const { return m_publisher.isHeldBack(child); }
    std::vector<SubscriberId> heldBack() const { return m_publisher.heldBack(); }
    std::vector<Delivery> resume(SubscriberId child, const std::function<wire::Frame()> &state);

    /// Removes a child, for example because its link closed.
    void remove(SubscriberId child);

    /// Returns the heartbeats of the instances below that are due to be reported to the current
    /// source.
    std::vector<Heartbeat> heartbeatsDue(TimePoint now) { return m_reports.due(now); }

    /// To be called when the instance's source changes; makes all heartbeats due again.
    void sourceChanged() { m_reports.resendAll(); }

    std::size_t childCount() const { return m_children.size(); }

private:
    void recordHeartbeats(const ProofRequest &request, TimePoint now);
    const wire::Frame &stateFrame(const std::function<wire::Frame()> &state);

    std::size_t m_maxChildren;
    std::set<SubscriberId> m_children;
    Publisher m_publisher;
    HeartbeatReports m_reports;
    /// Frame with the newest state, encoded once for all children that subscribe while the position
    /// is the same.
    std::optional<wire::Frame> m_stateFrame;
    std::uint64_t m_stateFramePosition = 0;
};

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_FEED_RELAY_H
