#include "kumquathaven/feed/subscriber.h"

#include "kumquathaven/base/hash.h"

#include <algorithm>
#include <utility>

namespace kumquathaven::feed {

namespace {

/// Minimum gain in time for a proof to count as newer, since the computed time of an unchanged
/// proof varies with the delay of the request by up to this much. Below half of the interval
/// between a member's proofs (250 ms), and above the round-trip time to a reachable member.
constexpr Duration proofJitter = std::chrono::milliseconds(100);

} // namespace

Subscriber::Subscriber(SubscriberTimes times, catalogue::Instance self)
    : m_times(times)
    , m_self(std::move(self))
{ }

SubscriberEffects Subscriber::connected(TimePoint now, bool isRelay)
{
    m_connected = true;
    m_isRelay = isRelay;
    m_proofs.forgetRequests();
    m_progressAt = now;
    m_answeredAt = now;
    m_nextProof = now;
    m_nextAnnounce = now;
    SubscriberEffects effects = tick(now);
    effects.messages.insert(effects.messages.begin(), Subscribe{m_position, m_noRedirect, true});
    return effects;
}

void Subscriber::disconnected()
{
    m_connected = false;
}

SubscriberEffects Subscriber::applyProof(TimePoint at)
{
    SubscriberEffects effects;
    const TimePoint before = provenAt();
    m_controlProvenAt = std::max(m_controlProvenAt, at);
    if (provenAt() > before)
        publish(effects);
    return effects;
}

SubscriberEffects Subscriber::receive(const Message &message, TimePoint now)
{
    SubscriberEffects effects;
    m_changed = false;
    const std::uint64_t position = m_position;
    if (const auto *state = std::get_if<StateAt>(&message)) {
        handleMessage(*state, now);
        effects.restored = m_position > position;
    } else if (const auto *change = std::get_if<ChangeAt>(&message)) {
        receiveChange(*change, effects, now);
    } else if (const auto *patch = std::get_if<DeclarationPatchAt>(&message)) {
        if (patch->position > m_position)
            receiveChange(changeOf(*patch), effects, now);
    } else if (const auto *proof = std::get_if<Proof>(&message)) {
        handleMessage(*proof, now);
    } else if (const auto *ages = std::get_if<WeightsAges>(&message)) {
        handleMessage(*ages, now);
    }
    if (m_changed)
        publish(effects);
    return effects;
}

/// Applies a change from the source; without a value it does not fit the held state.
void Subscriber::receiveChange(const std::optional<ChangeAt> &change, SubscriberEffects &effects,
                               TimePoint now)
{
    const std::uint64_t position = m_position;
    // If the held state does not fit the source's, the complete state is requested from the source
    // itself, without a redirect.
    if (!change || !handleMessage(*change, now))
        effects.messages.emplace_back(Subscribe{0, true, true});
    if (m_position > position)
        effects.appliedChange = change;
}

/// Returns the change that a patch makes of the held declaration, if it is the declaration that the
/// patch was made for.
std::optional<ChangeAt> Subscriber::changeOf(const DeclarationPatchAt &message) const
{
    static const std::string none;
    const std::string &before = declaration().text ? *declaration().text : none;
    std::optional<std::string> text =
        catalogue::patched(before, message.patch, catalogue::maxDeclarationBytes);
    if (!text || stableHash(*text) != message.textHash)
        return std::nullopt;
    catalogue::Declare body;
    body.declaration.version = message.version;
    body.declaration.text = std::make_shared<const std::string>(std::move(*text));
    return ChangeAt{message.position,
                    {{}, {}, std::move(body)},
                    message.revision,
                    message.epoch,
                    std::make_shared<const catalogue::TextPatch>(message.patch)};
}

SubscriberEffects Subscriber::tick(TimePoint now)
{
    SubscriberEffects effects;
    if (!m_connected)
        return effects;
    const Duration timeout = m_isRelay ? m_times.relayTimeout : m_times.memberTimeout;
    const bool isSilent = m_isRelay && now - m_answeredAt > m_times.memberTimeout;
    if (isSilent || now - m_progressAt > timeout) {
        m_progressAt = now;
        m_answeredAt = now;
        effects.changeMember = true;
        return effects;
    }
    if (now >= m_nextProof) {
        m_nextProof = now + m_times.proofInterval;
        effects.messages.emplace_back(
            ProofRequest{m_proofs.request(now), m_self.name, m_self.incarnation});
    }
    if (now >= m_nextAnnounce && isAnnouncing()) {
        m_nextAnnounce = now + m_times.announceInterval;
        // An instance that was listed and then finds another incarnation under its name does not
        // announce itself again, so that the later of two processes with one name prevails.
        m_announcedReplaces = listedIncarnation();
        effects.toControl.emplace_back(Announce{m_self, m_announcedReplaces});
    }
    return effects;
}

void Subscriber::announce(const catalogue::Instance &self)
{
    m_self = self;
    m_nextAnnounce = TimePoint{};
}

SubscriberEffects Subscriber::leave() const
{
    SubscriberEffects effects;
    if (m_connected)
        effects.toControl.emplace_back(Leave{m_self.name, m_self.incarnation});
    return effects;
}

void Subscriber::handleMessage(const StateAt &message, TimePoint now)
{
    // A state from a member that lags behind must not move the instance back.
    if (message.position < m_position)
        return;
    const bool isNewEpoch = message.instances.epoch != m_snapshot.instances->epoch;
    const TimePoint since = now - message.epochAge;
    if (isNewEpoch || m_snapshot.epochSince == TimePoint{})
        m_snapshot.epochSince = since;
    else
        m_snapshot.epochSince = std::min(m_snapshot.epochSince, since);
    m_snapshot.catalogue = std::make_shared<const catalogue::Catalogue>(message.catalogue);
    catalogue::WeightsTimes times = *m_snapshot.weightsTimes;
    catalogue::recordPresent(times, message.catalogue.weights);
    m_snapshot.weightsTimes = std::make_shared<const catalogue::WeightsTimes>(std::move(times));
    m_snapshot.instances = std::make_shared<const catalogue::Instances>(message.instances);
    m_drained = message.drained;
    recordListing();
    m_position = message.position;
    m_changed = true;
    m_proofs.advanceTo(m_position);
}

bool Subscriber::handleMessage(const ChangeAt &message, TimePoint now)
{
    if (message.position <= m_position)
        return true;
    catalogue::State state{*m_snapshot.catalogue, *m_snapshot.instances, m_drained, {}};
    catalogue::Change change = message.change;
    // The change was already accepted in this order, so its preconditions do not apply here.
    change.changeId.clear();
    change.expectedRevision.reset();
    const catalogue::Answer answer = catalogue::apply(state, change);
    const bool fits =
        answer.accepted && answer.revision == message.revision && answer.epoch == message.epoch;
    if (!fits)
        return false;
    if (message.epoch != m_snapshot.instances->epoch) {
        m_snapshot.epochSince = now;
        m_snapshot.instances =
            std::make_shared<const catalogue::Instances>(std::move(state.instances));
        m_drained = std::move(state.drained);
        recordListing();
    }
    if (const auto *weights = std::get_if<catalogue::SetWeightsVersion>(&message.change.body)) {
        const auto &present = m_snapshot.catalogue->weights;
        const auto replaced = present.find(weights->model);
        recordWeights(*weights, replaced == present.end() ? 0 : replaced->second, now);
    }
    if (message.revision != m_snapshot.catalogue->revision)
        m_snapshot.catalogue =
            std::make_shared<const catalogue::Catalogue>(std::move(state.catalogue));
    m_position = message.position;
    m_changed = true;
    m_proofs.advanceTo(m_position);
    return true;
}

void Subscriber::handleMessage(const Proof &message, TimePoint now)
{
    const TimePoint before = m_proofs.provenAt();
    if (m_proofs.isOpen(message.number))
        m_answeredAt = now;
    m_proofs.answer(message.number, message.position, message.age);
    m_changed = m_changed || m_proofs.provenAt() > before;
    if (m_proofs.provenAt() > m_provenAtProgress + proofJitter) {
        m_provenAtProgress = m_proofs.provenAt();
        m_progressAt = now;
    }
}

void Subscriber::handleMessage(const WeightsAges &message, TimePoint now)
{
    catalogue::WeightsTimes times = *m_snapshot.weightsTimes;
    if (!catalogue::recordAges(times, message.ages, now))
        return;
    m_snapshot.weightsTimes = std::make_shared<const catalogue::WeightsTimes>(std::move(times));
    m_changed = m_position > 0;
}

/// Counts a version from its arrival, until its age is known.
void Subscriber::recordWeights(const catalogue::SetWeightsVersion &body, std::uint64_t replaced,
                               TimePoint now)
{
    if (body.version <= replaced)
        return;
    catalogue::WeightsTimes times = *m_snapshot.weightsTimes;
    catalogue::recordWeights(times, body.model, body.version, replaced,
                             catalogue::arrivalTime(provenAt(), m_times.recentWeights, now));
    m_snapshot.weightsTimes = std::make_shared<const catalogue::WeightsTimes>(std::move(times));
}

std::uint64_t Subscriber::listedIncarnation() const
{
    const auto it = m_snapshot.instances->entries.find(m_self.name);
    return it == m_snapshot.instances->entries.end() ? 0 : it->second.incarnation;
}

void Subscriber::recordListing()
{
    const std::uint64_t listed = listedIncarnation();
    if (listed == m_self.incarnation)
        m_wasListed = true;
    else if (m_wasListed && listed != 0)
        m_snapshot.replaced = true;
    else if (listed != 0 && listed != m_announcedReplaces)
        // Control lists an incarnation other than the one that the last announcement replaces. A
        // restarted instance announces itself again at once rather than wait for the interval.
        m_nextAnnounce = TimePoint{};
}

bool Subscriber::isListedAsAnnounced() const
{
    const auto it = m_snapshot.instances->entries.find(m_self.name);
    if (it == m_snapshot.instances->entries.end())
        return false;
    const catalogue::Instance &listed = it->second;
    const bool isDrainedOnly = isDrained() && m_self.state == catalogue::InstanceState::Serving
        && listed.state == catalogue::InstanceState::Leaving;
    return listed.incarnation == m_self.incarnation && listed.region == m_self.region
        && listed.failureDomain == m_self.failureDomain && listed.callers == m_self.callers
        && listed.link == m_self.link && listed.weight == m_self.weight
        && (listed.state == m_self.state || isDrainedOnly);
}

StateAt Subscriber::state(TimePoint now) const
{
    // If the start of the epoch is unknown, the epoch counts as new.
    const Duration epochAge =
        m_snapshot.epochSince == TimePoint{} ? Duration(0) : now - m_snapshot.epochSince;
    return {m_position, *m_snapshot.catalogue, *m_snapshot.instances, m_drained, epochAge};
}

void Subscriber::publish(SubscriberEffects &effects) const
{
    effects.snapshot = m_snapshot;
    effects.snapshot->provenAt = provenAt();
}

} // namespace kumquathaven::feed
