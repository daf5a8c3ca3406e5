// An entry instance's part in the feed as a state machine without threads, sockets or clocks:
// follows control or a relay, moves between them, and feeds the instance's own children.

#ifndef KUMQUATHAVEN_FEED_FOLLOWER_H
#define KUMQUATHAVEN_FEED_FOLLOWER_H

#include "kumquathaven/feed/controlwatch.h"
#include "kumquathaven/feed/parentchooser.h"
#include "kumquathaven/feed/relay.h"
#include "kumquathaven/feed/subscriber.h"

#include <string>
#include <vector>

namespace kumquathaven::feed {

/// The links of an entry instance to control, to the relay that feeds it, and to the relay that it
/// is connecting to.
enum class Uplink { Control, Relay, NextRelay };

/// Actions that the follower requests, to be performed in the order of the members.
struct FollowerEffects
{
    /// Close the link to the relay.
    bool dropRelay = false;
    /// Close the link to the relay that is being connected to.
    bool dropNextRelay = false;
    /// Replace the link to the relay by the link to the next relay.
    bool adoptNextRelay = false;
    /// Whether the link to control is to be quiet from now on; empty: no change.
    std::optional<bool> quietControl;
    /// Snapshot to offer to the view.
    std::optional<catalogue::Snapshot> snapshot;
    struct OutgoingMessage
    {
        Uplink uplink = Uplink::Control;
        Message message;
    };
    std::vector<OutgoingMessage> messages;
    /// Frames for children.
    std::vector<Delivery> deliveries;
    /// Children whose links are to be closed.
    std::vector<SubscriberId> refused;
    /// Search for another member: the followed one gives no newer proofs. Its link stays open until
    /// another member is found.
    bool changeMember = false;
    /// Open a link to a relay as the next one.
    std::optional<RelayAddress> connectNextRelay;
};

/// Follows the control state. The link to control stays open while a relay feeds the instance, so
/// that control can take over at once when the relay fails, but the link is quiet while nothing
/// changes.
class Follower
{
public:
    Follower(settings::FeedRelays relays, const catalogue::Instance &self, std::uint64_t seed,
             SubscriberTimes times = {});

    /// Handles the opening of a link to the peer named \p peer. A link to control replaces the
    /// former one, if there is one.
    FollowerEffects opened(Uplink uplink, const std::string &peer, TimePoint now);
    /// Handles the closing of a link, or a failure to open it.
    FollowerEffects closed(Uplink uplink, TimePoint now);
    /// Handles a message from control or from a relay.
    FollowerEffects receive(Uplink uplink, const Message &message, TimePoint now);

    /// Passes a report about a rollout, which is this instance's or a child's, on towards control:
    /// directly if the link to control is open, else to the relay. Without either it is lost.
    FollowerEffects report(const Message &report, TimePoint now);

    /// Handles a message from an entry that this instance feeds, or that subscribes to it.
    FollowerEffects childMessage(SubscriberId child, const Message &message, TimePoint now);
    /// Handles the closing of the link to a child.
    void childClosed(SubscriberId child) { m_relaying.remove(child); }

    // Holding back of children that do not keep up; see Publisher.
    void holdBack(SubscriberId child, std::uint64_t position)
    {
        m_relaying.holdBack(child, position);
    }
    bool isHeldBack(SubscriberId child) const { return m_relaying.isHeldBack(child); }
    std::vector<SubscriberId> heldBack() const { return m_relaying.heldBack(); }
    std::vector<Delivery> resume(SubscriberId child, TimePoint now);

    /// Handles timeouts and periodic work. To be called every few tens of milliseconds.
    FollowerEffects tick(TimePoint now);

    /// Changes what the instance announces about itself.
    void announce(const catalogue::Instance &self) { m_subscriber.announce(self); }

    /// Records that a command was sent over the link to control: for 10 s the member is checked at
    /// the shorter interval.
    void recordControlUse(TimePoint now);

    /// Returns the messages that end the subscription.
    FollowerEffects leave() const;

    std::uint64_t position() const { return m_subscriber.position(); }
    bool isDrained() const { return m_subscriber.isDrained(); }
    /// Returns whether another process with this instance's name has replaced it.
    bool isReplaced() const { return m_subscriber.isReplaced(); }
    const catalogue::Instance &self() const { return m_subscriber.self(); }
    /// Returns the name of the relay that feeds this instance; empty if control does.
    const std::string &relay() const { return m_relay; }
    std::size_t childCount() const { return m_relaying.childCount(); }
    /// Returns the number of times that a relay was abandoned because it failed.
    std::uint64_t relayFailures() const { return m_relayFailures; }

private:
    void applyEffects(const SubscriberEffects &changes, FollowerEffects &effects, TimePoint now);
    void feedFromControl(FollowerEffects &effects, TimePoint now);
    void leaveControl();
    void adopt(FollowerEffects &effects, TimePoint now);
    void handleRedirect(const Redirect &redirect, FollowerEffects &effects, TimePoint now);
    void tryFirstRelay(FollowerEffects &effects, TimePoint now);
    void giveUpNextRelay(FollowerEffects &effects, TimePoint now);
    void relayFailed(FollowerEffects &effects, TimePoint now);
    void returnToControl(FollowerEffects &effects, TimePoint feedFromControlAt);
    void watchControl(FollowerEffects &effects, TimePoint now);
    void startWatch(FollowerEffects &effects, TimePoint now);
    void setWatchInterval(FollowerEffects &effects, TimePoint now);
    void chooseParent(FollowerEffects &effects, TimePoint now);

    settings::FeedRelays m_relays;
    Subscriber m_subscriber;
    ControlWatch m_watch;
    ParentChooser m_chooser;
    Relay m_relaying;
    bool m_isControlOpen = false;
    /// Whether the current link to control is quiet, and the epoch for which the watch's interval
    /// was last set.
    bool m_isControlQuiet = false;
    std::uint64_t m_intervalEpoch = 0;
    TimePoint m_controlUsedUntil;
    /// Whether the subscriber has a source at present.
    bool m_hasSource = false;
    TimePoint m_feedFromControlAt;
    std::string m_relay;
    /// Name of the relay to which a link is being opened; empty if there is none.
    std::string m_nextRelay;
    TimePoint m_nextRelayDeadline;
    /// Relays that control named as sources of the first state and that have not been tried; the
    /// next one to try is last.
    std::vector<RelayAddress> m_firstRelays;
    std::uint64_t m_relayFailures = 0;
};

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_FEED_FOLLOWER_H
