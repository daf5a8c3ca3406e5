// The whole of an entry instance's part in the feed, without threads, sockets or clocks: it follows
// control or a relay, moves between them, and feeds its own children.

#ifndef KUMQUATHAVEN_FEED_FOLLOWER_H
#define KUMQUATHAVEN_FEED_FOLLOWER_H

#include "kumquathaven/feed/controlwatch.h"
#include "kumquathaven/feed/parentchooser.h"
#include "kumquathaven/feed/relay.h"
#include "kumquathaven/feed/subscriber.h"

#include <string>
#include <vector>

namespace kumquathaven::feed {

/// The links of an entry instance to those that may feed it.
enum class Uplink { Control, Relay, NextRelay };

/// What the follower wants done, in the order of the members.
struct FollowerEffects
{
    /// Close the link to the relay.
    bool dropRelay = false;
    /// Close the link to the relay that was being tried.
    bool dropNextRelay = false;
    /// The link to the next relay becomes the one to the relay.
    bool adoptNextRelay = false;
    /// Whether the link to control is to be quiet from now on; nothing: as before.
    std::optional<bool> quietControl;
    /// To be offered to the view.
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
    /// Close the link to control and open one to the next member.
    bool changeMember = false;
    /// Open a link to a relay as the next one.
    std::optional<RelayAddress> connectNextRelay;
};

/// Follows the control state. The link to control stays open while a relay feeds the instance, so
/// that control is a source at once when the relay fails, but nothing travels on it at rest.
class Follower
{
public:
    Follower(settings::FeedRelays relays, const catalogue::Instance &self, std::uint64_t seed,
             SubscriberTimes times = {});

    /// A link opened to the peer of that name.
    FollowerEffects opened(Uplink uplink, const std::string &peer, TimePoint now);
    /// A link closed, or could not be opened.
    FollowerEffects closed(Uplink uplink, TimePoint now);
    /// Takes a message from a source of the feed.
    FollowerEffects receive(Uplink uplink, const Message &message, TimePoint now);

    /// Takes a message from an entry that this one feeds, or that asks to be fed.
    FollowerEffects childMessage(SubscriberId child, const Message &message, TimePoint now);
    /// The link to a child closed.
    void childClosed(SubscriberId child) { m_relaying.remove(child); }

    /// To be called every few tens of milliseconds. The first call asks for the first member.
    FollowerEffects tick(TimePoint now);

    /// Changes what the instance announces about itself.
    void announce(const catalogue::Instance &self) { m_subscriber.announce(self); }

    /// The link to control carries commands: for a while the member is watched closely.
    void recordControlUse(TimePoint now);

    /// The messages that end the subscription.
    FollowerEffects leave() const;

    std::uint64_t position() const { return m_subscriber.position(); }
    bool isDrained() const { return m_subscriber.isDrained(); }
    /// Whether another process with this instance's name took its place.
    bool isReplaced() const { return m_subscriber.isReplaced(); }
    const catalogue::Instance &self() const { return m_subscriber.self(); }
    /// Name of the relay that feeds this instance; empty if control does.
    const std::string &relay() const { return m_relay; }
    std::size_t childCount() const { return m_relaying.childCount(); }
    /// Times that a relay was left because it failed.
    std::uint64_t relayFailures() const { return m_relayFailures; }

private:
    void applyEffects(const SubscriberEffects &changes, FollowerEffects &effects, TimePoint now);
    void feedFromControl(FollowerEffects &effects, TimePoint now);
    void changeMember(FollowerEffects &effects, TimePoint now);
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
    /// Whether the present link to control is quiet, and at which epoch the watch was paced.
    bool m_isControlQuiet = false;
    std::uint64_t m_intervalEpoch = 0;
    TimePoint m_controlUsedUntil;
    /// When to try another member if the link to control is not open.
    TimePoint m_controlDeadline;
    /// Whether the subscriber has a source.
    bool m_hasSource = false;
    TimePoint m_feedFromControlAt;
    std::string m_relay;
    /// The relay to which a link is being opened; empty if there is none.
    std::string m_nextRelay;
    TimePoint m_nextRelayDeadline;
    /// Relays that control named for the first state and that were not tried yet, the next one
    /// last.
    std::vector<RelayAddress> m_firstRelays;
    std::uint64_t m_relayFailures = 0;
};

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_FEED_FOLLOWER_H
