// The subscribing side of the feed in an entry instance, as a state machine without threads,
// sockets or clocks.

#ifndef KUMQUATHAVEN_FEED_SUBSCRIBER_H
#define KUMQUATHAVEN_FEED_SUBSCRIBER_H

#include "kumquathaven/catalogue/view.h"
#include "kumquathaven/feed/messages.h"
#include "kumquathaven/feed/prooftracker.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace kumquathaven::feed {

/// Intervals and timeouts of the feed.
struct SubscriberTimes
{
    /// Interval between two requests for a proof.
    Duration proofInterval = std::chrono::milliseconds(500);
    /// Interval between two announcements while control does not list the instance as it announced
    /// itself.
    Duration announceInterval = std::chrono::seconds(1);
    /// Timeout after which a member without a newer proof, or a relay without any answer, is
    /// abandoned for another one.
    Duration memberTimeout = std::chrono::milliseconds(1500);
    /// Timeout after which a relay that answers without a newer proof is abandoned. It is longer
    /// than that of a member, so that the relay can find another source itself.
    Duration relayTimeout = std::chrono::milliseconds(2500);
    /// Weights versions are sent on with their ages while one of the model was set within this
    /// time. Longer than replaced weights may be used.
    Duration recentWeights = std::chrono::seconds(60);
};

/// Actions that the subscriber requests from its owner.
struct SubscriberEffects
{
    /// Messages to send to the current source, in order.
    std::vector<Message> messages;
    /// Messages to send to control, whatever the source is.
    std::vector<Message> toControl;
    /// The change that was applied, for relaying.
    std::optional<ChangeAt> appliedChange;
    /// Whether a complete state was adopted that is newer than the one held before.
    bool restored = false;
    /// Snapshot to offer to the view.
    std::optional<catalogue::Snapshot> snapshot;
    /// The current source has failed: connect to another one.
    bool changeMember = false;
};

/// Follows the control state through one source at a time: a control member or a relay.
class Subscriber
{
public:
    Subscriber(SubscriberTimes times, catalogue::Instance self);

    /// Handles the opening of a link to a source, which replaces any earlier source.
    SubscriberEffects connected(TimePoint now, bool isRelay = false);

    /// Handles the loss of the current source.
    void disconnected();

    /// Records that control proved at \p at, over another link than the source's, that the held
    /// position was the latest.
    SubscriberEffects applyProof(TimePoint at);

    /// Handles a message from the current source.
    SubscriberEffects receive(const Message &message, TimePoint now);

    /// Sends due requests and announcements, and checks the timeouts. To be called every few tens
    /// of milliseconds.
    SubscriberEffects tick(TimePoint now);

    /// Changes what the instance announces about itself.
    void announce(const catalogue::Instance &self);

    /// From now on, requires that the member itself sends the complete state instead of a redirect
    /// to relays.
    void refuseRedirects() { m_noRedirect = true; }

    /// Returns the messages that end the subscription.
    SubscriberEffects leave() const;

    std::uint64_t position() const { return m_position; }
    /// Returns the time of the newest proof for the held position. The default value means that
    /// there is none.
    TimePoint provenAt() const { return std::max(m_proofs.provenAt(), m_controlProvenAt); }
    /// Returns the ages of the weights versions of models of which one was set lately.
    std::vector<catalogue::WeightsAge> recentWeights(TimePoint now) const
    {
        return catalogue::recentAges(*m_snapshot.weightsTimes, m_times.recentWeights, now);
    }
    const catalogue::Instances &instances() const { return *m_snapshot.instances; }
    const catalogue::Declaration &declaration() const { return m_snapshot.catalogue->declaration; }
    /// Returns the complete state as it is held, for a relay's children.
    StateAt state(TimePoint now) const;
    const catalogue::Instance &self() const { return m_self; }
    /// Returns whether operators drained this instance. Operators drain the process that holds the
    /// name: a replaced process that ended because of the drain would be started again and would
    /// take the name back.
    bool isDrained() const { return !isReplaced() && m_drained.count(m_self.name) > 0; }

    /// Returns whether control does not yet list the instance as it announces itself.
    bool isAnnouncing() const { return !isReplaced() && !isListedAsAnnounced(); }

    /// Returns whether another process took this instance's name after control had listed this
    /// process.
    bool isReplaced() const { return m_snapshot.replaced; }

private:
    void handleMessage(const StateAt &message, TimePoint now);
    bool handleMessage(const ChangeAt &message, TimePoint now);
    std::optional<ChangeAt> changeOf(const DeclarationPatchAt &message) const;
    void receiveChange(const std::optional<ChangeAt> &change, SubscriberEffects &effects,
                       TimePoint now);
    void handleMessage(const Proof &message, TimePoint now);
    void handleMessage(const WeightsAges &message, TimePoint now);
    void recordWeights(const catalogue::SetWeightsVersion &body, std::uint64_t replaced,
                       TimePoint now);
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
    TimePoint m_controlProvenAt;
    bool m_connected = false;
    bool m_isRelay = false;
    bool m_wasListed = false;
    bool m_noRedirect = false;
    /// The incarnation that the last announcement replaces.
    std::uint64_t m_announcedReplaces = 0;
    bool m_changed = false;
    TimePoint m_nextProof;
    TimePoint m_nextAnnounce;
    /// When the source last gave a newer proof, and the time of that proof.
    TimePoint m_progressAt;
    TimePoint m_provenAtProgress;
    /// When the current source last answered.
    TimePoint m_answeredAt;
};

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_FEED_SUBSCRIBER_H
