#include "kumquathaven/feed/follower.h"

#include "kumquathaven/feed/parents.h"

namespace kumquathaven::feed {

namespace {

/// Timeout for opening a link to a relay.
constexpr Duration connectTimeout = std::chrono::seconds(1);
/// The children of a failed relay return to control spread over this time, to avoid a burst of
/// subscriptions.
constexpr Duration maxReturnDelay = std::chrono::milliseconds(250);
/// Factor by which a relay accepts more children than the intended number, because children choose
/// their relays independently and thus unevenly.
constexpr std::size_t maxChildrenFactor = 2;
/// Time for which a member is checked at the shorter interval after a command was sent to it. A
/// command is retried within this time.
constexpr Duration controlUseTime = std::chrono::seconds(10);
/// Interval between two proof requests to a member that is checked at the shorter interval.
constexpr Duration shortProofInterval = std::chrono::seconds(2);

} // namespace

Follower::Follower(settings::FeedRelays relays, const catalogue::Instance &self, std::uint64_t seed,
                   SubscriberTimes times)
    : m_relays(relays)
    , m_subscriber(times, self)
    , m_chooser(relays, seed)
    , m_relaying(maxChildrenFactor * relays.children)
{
    // Without relays no instance but control can supply the state.
    if (relays.children == 0)
        m_subscriber.refuseRedirects();
}

FollowerEffects Follower::opened(Uplink uplink, const std::string &peer, TimePoint now)
{
    FollowerEffects effects;
    if (uplink == Uplink::Control) {
        // The member may take the place of one whose link is still open.
        leaveControl();
        m_isControlOpen = true;
        m_isControlQuiet = false;
        if (!m_relay.empty())
            startWatch(effects, now);
        feedFromControl(effects, now);
    } else if (uplink == Uplink::NextRelay) {
        // The order that prevents cycles is computed from names, so an instance of another name
        // cannot be accepted.
        if (peer == m_nextRelay)
            adopt(effects, now);
        else
            giveUpNextRelay(effects, now);
    }
    return effects;
}

FollowerEffects Follower::closed(Uplink uplink, TimePoint now)
{
    FollowerEffects effects;
    if (uplink == Uplink::Control)
        leaveControl();
    else if (uplink == Uplink::NextRelay)
        giveUpNextRelay(effects, now);
    else
        relayFailed(effects, now);
    return effects;
}

FollowerEffects Follower::receive(Uplink uplink, const Message &message, TimePoint now)
{
    FollowerEffects effects;
    if (const auto *redirect = std::get_if<Redirect>(&message)) {
        if (uplink == Uplink::Control)
            handleRedirect(*redirect, effects, now);
        return effects;
    }
    const bool isSource =
        m_hasSource && uplink == (m_relay.empty() ? Uplink::Control : Uplink::Relay);
    if (isSource) {
        applyEffects(m_subscriber.receive(message, now), effects, now);
    } else if (uplink == Uplink::Control) {
        if (const auto *proof = std::get_if<Proof>(&message)) {
            m_watch.receive(*proof, now);
            watchControl(effects, now);
        }
    }
    return effects;
}

FollowerEffects Follower::report(const Message &report, TimePoint now)
{
    FollowerEffects effects;
    if (m_isControlOpen) {
        // A member that is suspended would swallow reports until the next of its rare checks.
        recordControlUse(now);
        effects.messages.push_back({Uplink::Control, report});
    } else if (!m_relay.empty()) {
        effects.messages.push_back({Uplink::Relay, report});
    }
    return effects;
}

FollowerEffects Follower::childMessage(SubscriberId child, const Message &message, TimePoint now)
{
    if (std::holds_alternative<RolloutReport>(message))
        return report(message, now);
    FollowerEffects effects;
    // The relay that supplied the first state may come after this instance in the order of relays.
    // Accepting a child then could close a cycle.
    const bool isInOrder = m_relay.empty() || precedes(m_relay, m_subscriber.self().name);
    if (!isInOrder && std::holds_alternative<Subscribe>(message)) {
        effects.refused.push_back(child);
        return effects;
    }
    const HeldPosition held{m_subscriber.position(), m_subscriber.provenAt()};
    RelayReply reply = m_relaying.receive(
        child, message, held,
        [this, now] {
            return toFrame(m_subscriber.state(now));
        },
        now);
    // The ages come first, so that a state or a proof finds them.
    std::vector<catalogue::WeightsAge> ages = m_subscriber.recentWeights(now);
    if (!reply.deliveries.empty() && !ages.empty())
        effects.deliveries.push_back({toFrame(WeightsAges{std::move(ages)}), {child}});
    for (Delivery &it : reply.deliveries)
        effects.deliveries.push_back(std::move(it));
    if (reply.refuse)
        effects.refused.push_back(child);
    return effects;
}

std::vector<Delivery> Follower::resume(SubscriberId child, TimePoint now)
{
    return m_relaying.resume(child, [this, now] {
        return toFrame(m_subscriber.state(now));
    });
}

FollowerEffects Follower::tick(TimePoint now)
{
    FollowerEffects effects;
    feedFromControl(effects, now);
    applyEffects(m_subscriber.tick(now), effects, now);
    setWatchInterval(effects, now);
    watchControl(effects, now);
    if (!m_nextRelay.empty() && now > m_nextRelayDeadline)
        giveUpNextRelay(effects, now);
    chooseParent(effects, now);
    return effects;
}

FollowerEffects Follower::leave() const
{
    FollowerEffects effects;
    for (const Message &it : m_subscriber.leave().toControl)
        effects.messages.push_back({Uplink::Control, it});
    return effects;
}

void Follower::applyEffects(const SubscriberEffects &changes, FollowerEffects &effects,
                            TimePoint now)
{
    const Uplink source = m_relay.empty() ? Uplink::Control : Uplink::Relay;
    for (const Message &it : changes.messages) {
        effects.messages.push_back({source, it});
        if (auto *request = std::get_if<ProofRequest>(&effects.messages.back().message))
            request->heartbeats = m_relaying.heartbeatsDue(now);
    }
    for (const Message &it : changes.toControl)
        effects.messages.push_back({Uplink::Control, it});
    if (changes.snapshot)
        effects.snapshot = changes.snapshot;
    std::vector<Delivery> deliveries;
    if (changes.appliedChange)
        deliveries = m_relaying.publishChange(*changes.appliedChange);
    if (changes.restored)
        deliveries =
            m_relaying.restored(m_subscriber.position(), m_subscriber.declaration(), [this, now] {
                return toFrame(m_subscriber.state(now));
            });
    for (Delivery &it : deliveries)
        effects.deliveries.push_back(std::move(it));
    if (!changes.changeMember)
        return;
    if (m_relay.empty())
        effects.changeMember = true;
    else
        relayFailed(effects, now);
}

void Follower::feedFromControl(FollowerEffects &effects, TimePoint now)
{
    const bool isTryingFirstRelay = m_subscriber.position() == 0 && !m_nextRelay.empty();
    if (m_hasSource || !m_isControlOpen || now < m_feedFromControlAt || isTryingFirstRelay)
        return;
    m_hasSource = true;
    m_relaying.sourceChanged();
    applyEffects(m_subscriber.connected(now), effects, now);
}

void Follower::leaveControl()
{
    m_isControlOpen = false;
    m_watch.end();
    if (!m_relay.empty())
        return;
    m_subscriber.disconnected();
    m_hasSource = false;
}

/// Moves to the relay whose link has opened. The former source has fed this instance until this
/// point.
void Follower::adopt(FollowerEffects &effects, TimePoint now)
{
    const bool wasFedByControl = m_relay.empty();
    effects.adoptNextRelay = true;
    m_relay = m_nextRelay;
    m_nextRelay.clear();
    m_hasSource = true;
    if (wasFedByControl && m_isControlOpen)
        startWatch(effects, now);
    m_relaying.sourceChanged();
    applyEffects(m_subscriber.connected(now, true), effects, now);
}

void Follower::giveUpNextRelay(FollowerEffects &effects, TimePoint now)
{
    effects.dropNextRelay = true;
    if (m_subscriber.position() != 0)
        m_chooser.recordFailure(m_nextRelay, now);
    m_nextRelay.clear();
    if (m_subscriber.position() == 0)
        tryFirstRelay(effects, now);
}

/// Control is too busy to send this instance its first state and names other entries that hold it.
void Follower::handleRedirect(const Redirect &redirect, FollowerEffects &effects, TimePoint now)
{
    const bool isExpected = m_subscriber.position() == 0 && m_relay.empty() && m_nextRelay.empty();
    if (!isExpected)
        return;
    m_subscriber.disconnected();
    m_hasSource = false;
    m_firstRelays.assign(redirect.relays.rbegin(), redirect.relays.rend());
    tryFirstRelay(effects, now);
}

/// Connects to the next relay that control named; if there is none, control must supply the state
/// itself.
void Follower::tryFirstRelay(FollowerEffects &effects, TimePoint now)
{
    if (m_firstRelays.empty()) {
        m_subscriber.refuseRedirects();
        return;
    }
    effects.connectNextRelay = m_firstRelays.back();
    m_firstRelays.pop_back();
    m_nextRelay = effects.connectNextRelay->name;
    m_nextRelayDeadline = now + connectTimeout;
}

void Follower::relayFailed(FollowerEffects &effects, TimePoint now)
{
    ++m_relayFailures;
    const bool holdsNothing = m_subscriber.position() == 0;
    if (!holdsNothing)
        m_chooser.recordFailure(m_relay, now);
    returnToControl(effects, now + m_chooser.randomDelay(maxReturnDelay));
    if (holdsNothing)
        tryFirstRelay(effects, now);
}

void Follower::returnToControl(FollowerEffects &effects, TimePoint feedFromControlAt)
{
    effects.dropRelay = true;
    m_relay.clear();
    m_watch.end();
    if (m_isControlOpen && m_isControlQuiet) {
        effects.quietControl = m_isControlQuiet = false;
        // The member of a quiet link may have failed unnoticed.
        effects.changeMember = true;
    }
    m_subscriber.disconnected();
    m_hasSource = false;
    m_feedFromControlAt = feedFromControlAt;
}

void Follower::watchControl(FollowerEffects &effects, TimePoint now)
{
    const WatchEffects watchEffects =
        m_watch.tick(m_subscriber.self(), m_subscriber.position(), now);
    if (watchEffects.request)
        effects.messages.push_back({Uplink::Control, *watchEffects.request});
    applyEffects(m_subscriber.applyProof(m_watch.provenAt()), effects, now);
    if (watchEffects.changeMember)
        effects.changeMember = true;
    if (watchEffects.relayLags)
        relayFailed(effects, now);
}

void Follower::recordControlUse(TimePoint now)
{
    m_controlUsedUntil = now + controlUseTime;
}

/// Starts the watch once a relay feeds this instance and the link to control is open.
void Follower::startWatch(FollowerEffects &effects, TimePoint now)
{
    // Once the instance has unsubscribed, control expects no frame on this link either.
    effects.messages.push_back({Uplink::Control, Unsubscribe{}});
    m_watch.begin(now);
    m_watch.setInterval(shortProofInterval, now);
    setWatchInterval(effects, now);
}

/// Sets the watch's interval and whether the link to control is quiet. The link is quiet while no
/// command was sent recently and control lists the instance as announced: the relay then reports to
/// control that this instance is alive, and proof requests are so rare that control's load does not
/// grow with the number of instances.
void Follower::setWatchInterval(FollowerEffects &effects, TimePoint now)
{
    if (m_relay.empty() || !m_isControlOpen)
        return;
    const bool isQuiet = now >= m_controlUsedUntil && !m_subscriber.isAnnouncing();
    const std::uint64_t epoch = m_subscriber.instances().epoch;
    if (isQuiet == m_isControlQuiet && (!isQuiet || epoch == m_intervalEpoch))
        return;
    if (isQuiet != m_isControlQuiet)
        effects.quietControl = m_isControlQuiet = isQuiet;
    m_intervalEpoch = epoch;
    if (!isQuiet) {
        m_watch.setInterval(shortProofInterval, now);
        return;
    }
    const Duration interval = controlProofInterval(m_subscriber.instances(), m_relays);
    m_watch.setInterval(interval, now + m_chooser.randomDelay(interval));
}

void Follower::chooseParent(FollowerEffects &effects, TimePoint now)
{
    if (!m_nextRelay.empty() || m_subscriber.position() == 0)
        return;
    const Move move = m_chooser.review(m_subscriber.instances(), m_subscriber.self(), m_relay, now);
    if (move.kind == Move::Kind::ToRelay) {
        m_nextRelay = move.relay.name;
        m_nextRelayDeadline = now + connectTimeout;
        effects.connectNextRelay = RelayAddress{move.relay.name, move.relay.link};
    } else if (move.kind == Move::Kind::ToControl && m_isControlOpen) {
        returnToControl(effects, now);
    }
}

} // namespace kumquathaven::feed
