// An entry instance's side of the feed, as a state machine without threads, sockets or clocks.

#ifndef KUMQUATHAVEN_FEED_SUBSCRIBER_H
#define KUMQUATHAVEN_FEED_SUBSCRIBER_H

#include "kumquathaven/catalogue/view.h"
#include "kumquathaven/feed/messages.h"
#include "kumquathaven/feed/prooftracker.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace kumquathaven::feed {

/// Times of the feed.
struct SubscriberTimes
{
    /// Between two requests for a proof.
    Duration proofInterval = std::chrono::milliseconds(500);
    /// Between two announcements while control does not show the instance as it announced itself.
    Duration announceInterval = std::chrono::seconds(1);
    /// A member that gave no newer proof, or a relay that gave no answer, for this long is left for
    /// another one.
    Duration memberTimeout = std::chrono::milliseconds(1500);
    /// A relay that answers without a newer proof has this long to find another source itself.
    Duration relayTimeout = std::chrono::milliseconds(2500);
};

/// What the subscriber wants done.
struct SubscriberEffects
{
    /// To be sent to the present source, in order.
    std::vector<Message> messages;
    /// To be sent to control, whatever the source is.
    std::vector<Message> toControl;
    /// The change that was taken, for relaying.
    std::optional<ChangeAt> appliedChange;
    /// A whole state was taken that went further than what was held.
    bool restored = false;
    /// To be offered to the view.
    std::optional<catalogue::Snapshot> snapshot;
    /// The present source is of no use: try another one.
    bool changeMember = false;
};

/// Follows the control state through one source at a time: a control member or a relay.
class Subscriber
{
public:
    Subscriber(SubscriberTimes times, catalogue::Instance self);

    /// A link to a source opened; it takes the place of any earlier one.
    SubscriberEffects connected(TimePoint now, bool isRelay = false);

    /// The link to the present source closed.
    void disconnected();

    /// Takes note of a proof from elsewhere for what is held.
    SubscriberEffects applyProof(TimePoint at);

    /// Takes a message from the present source.
    SubscriberEffects receive(const Message &message, TimePoint now);

    /// To be called every few tens of milliseconds.
    SubscriberEffects tick(TimePoint now);

    /// Changes what the instance announces about itself.
    void announce(const catalogue::Instance &self);

    /// From now on the whole state is asked for from control itself.
    void refuseRedirects() { m_noRedirect = true; }

    /// The messages that end the subscription.
    SubscriberEffects leave() const;

    std::uint64_t position() const { return m_position; }
    /// The newest proof for what is held. The default: there is none.
    TimePoint provenAt() const { return std::max(m_proofs.provenAt(), m_provenElsewhere); }
    const catalogue::Instances &instances() const { return *m_snapshot.instances; }
    /// The whole state as it is held, for a relay's children.
    StateAt state(TimePoint now) const;
    const catalogue::Instance &self() const { return m_self; }
    /// Whether operators drained this instance. What they drain is the process that has the name:
    /// one that was replaced and ended would be started again, and would take the name back.
    bool isDrained() const { return !isReplaced() && m_drained.count(m_self.name) > 0; }

    /// Whether control does not show the instance as it announces itself.
    bool isAnnouncing() const { return !isReplaced() && !isListedAsAnnounced(); }

    /// Whether another process took this instance's name after control had shown this one.
    bool isReplaced() const { return m_snapshot.replaced; }

private:
    void handleMessage(const StateAt &message, TimePoint now);
    bool handleMessage(const ChangeAt &message, TimePoint now);
    void handleMessage(const Proof &message, TimePoint now);
    void recordListing();
    std::uint64_t listedIncarnation() const;
    bool isListedAsAnnounced() const;
    void publish(SubscriberEffects &effects) const;

    SubscriberTimes m_times;
    catalogue::Instance m_self;
    std::uint64_t m_position = 0;
    std::set<std::string> m_drained;
    catalogue::Snapshot m_snapshot;
    ProofTracker m_proofs;
    TimePoint m_provenElsewhere;
    bool m_connected = false;
    bool m_isRelay = false;
    bool m_wasListed = false;
    bool m_noRedirect = false;
    /// The incarnation that the last announcement named.
    std::uint64_t m_announcedReplaces = 0;
    bool m_changed = false;
    TimePoint m_nextProof;
    TimePoint m_nextAnnounce;
    /// When the source last gave a newer proof, and the time that this proof was about.
    TimePoint m_progressAt;
    TimePoint m_provenAtProgress;
    /// When the present source last answered.
    TimePoint m_answeredAt;
};

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_FEED_SUBSCRIBER_H
