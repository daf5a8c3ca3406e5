#include "feedduty.h"

#include "kumquathaven/catalogue/json.h"
#include "kumquathaven/telemetry/log.h"

#include <algorithm>

namespace kumquathaven::control {

namespace {

constexpr std::size_t ringCapacity = 32768;
constexpr std::size_t maxRingBytes = std::size_t{8} * 1024 * 1024;
constexpr Duration tickInterval = std::chrono::milliseconds(50);
constexpr Duration proofInterval = std::chrono::milliseconds(250);
constexpr Duration deathCheckInterval = std::chrono::milliseconds(500);
/// After a longer gap between two ticks this process was suspended and received no heartbeats, so
/// leases are counted from the end of the gap.
constexpr Duration maxTickGap = std::chrono::seconds(2);

/// Returns the time since \p at, or zero if it is later than \p now, which is possible if another
/// thread read the clock.
Duration ageOf(TimePoint at, TimePoint now)
{
    return std::max(Duration(0), now - at);
}

/// Checks that an instance sends messages only in its own name. The heartbeats of others that a
/// relay forwards are trusted: the relay knows the link secret, and the only effect of a heartbeat
/// is that its instance is not declared dead yet.
Result<void> checkSender(const feed::Message &message, const std::string &peer)
{
    std::string name = peer;
    if (const auto *request = std::get_if<feed::ProofRequest>(&message))
        name = request->instance;
    else if (const auto *announce = std::get_if<feed::Announce>(&message))
        name = announce->instance.name;
    else if (const auto *leave = std::get_if<feed::Leave>(&message))
        name = leave->instance;
    if (name == peer)
        return {};
    return fail({ErrorCode::Forbidden,
                 "feed.receive",
                 peer,
                 "sent a message in the name of instance \"" + name + "\"",
                 Outcome::NotRun,
                 {}});
}

} // namespace

FeedDuty::FeedDuty(wire::Hub &hub, LogDuty &log, const CatalogueMachine &machine, SendToMember send,
                   FeedSettings settings)
    : m_hub(hub)
    , m_log(log)
    , m_machine(machine)
    , m_send(std::move(send))
    , m_maxListAge(settings.maxListAge)
    , m_publishesMembers(settings.publishesMembers)
    , m_instanceLease(settings.instanceLease)
    , m_ring(ringCapacity, maxRingBytes, bytesOf)
    , m_weights(settings.recentWeights)
{ }

std::size_t FeedDuty::bytesOf(const Event &event)
{
    if (const auto *change = std::get_if<Changed>(&event))
        return change->bytes;
    if (const auto *entry = std::get_if<FromEntry>(&event))
        return entry->frame.body.size();
    const auto *member = std::get_if<FromMember>(&event);
    const auto *forward = member ? std::get_if<ForwardChange>(&member->message) : nullptr;
    return forward ? forward->change.size() : 0;
}

void FeedDuty::push(Event event)
{
    if (!m_ring.tryPush(std::move(event)))
        ++m_framesDropped;
}

void FeedDuty::changed(const feed::ChangeAt &change, std::size_t bytes)
{
    // A lost change would leave a gap in the feed, so all subscribers must subscribe again.
    if (!m_ring.tryPush(Changed{change, bytes}))
        m_mustRestart = true;
}

void FeedDuty::restored()
{
    m_mustRestart = true;
}

void FeedDuty::closed(wire::LinkId link)
{
    push(Closed{link});
}

void FeedDuty::receive(const wire::Peer &peer, const wire::Frame &frame)
{
    push(FromEntry{peer.link, peer.name, frame});
}

void FeedDuty::receive(const std::string &member, const MemberMessage &message)
{
    push(FromMember{member, message});
}

void FeedDuty::receive(const PlatformList &list)
{
    push(list);
}

FeedCounts FeedDuty::counts() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    FeedCounts copy = m_counts;
    copy.framesDropped = m_framesDropped;
    return copy;
}

void FeedDuty::run(const runtime::StopSignal &stop)
{
    TimePoint nextTick;
    m_mustRestart = true;
    while (!stop.requested()) {
        const std::optional<Event> event = m_ring.pop(tickInterval);
        const TimePoint now = monotonicNow();
        if (m_mustRestart.exchange(false))
            restartFeed();
        if (event) {
            std::visit(
                [this, now](const auto &it) {
                    handle(it, now);
                },
                *event);
        }
        if (now >= nextTick) {
            nextTick = now + tickInterval;
            tick(now);
        }
    }
}

void FeedDuty::restartFeed()
{
    const PublishedState state = m_machine.published();
    m_publisher.restart(state.position, state.catalogue->declaration);
    m_weights.restore(*state.catalogue);
    for (const wire::LinkId it : m_links) {
        m_publisher.remove(it);
        m_hub.disconnect(it);
    }
    m_links.clear();
}

void FeedDuty::handle(const Changed &event, TimePoint now)
{
    if (event.change.position <= m_publisher.position())
        return;
    m_weights.apply(event.change.change, m_provenAt, now);
    const std::vector<feed::Delivery> deliveries = m_publisher.publish(event.change);
    deliver(deliveries);
    logDeclaration(event.change, deliveries);
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const feed::Delivery &it : deliveries)
        m_counts.changesSent += it.subscribers.size();
}

/// Logs the sending of a declaration, a step between its acknowledgement and its use at entries.
void FeedDuty::logDeclaration(const feed::ChangeAt &change,
                              const std::vector<feed::Delivery> &deliveries)
{
    const auto *declare = std::get_if<catalogue::Declare>(&change.change.body);
    if (!declare)
        return;
    std::size_t bytes = 0;
    std::size_t subscribers = 0;
    for (const feed::Delivery &it : deliveries) {
        bytes = std::max(bytes, it.frame.body.size());
        subscribers += it.subscribers.size();
    }
    telemetry::logLine(telemetry::LogLevel::Info, "feed", "declaration sent",
                       {{"version", std::to_string(declare->declaration.version)},
                        {"position", std::to_string(change.position)},
                        {"frameBytes", std::to_string(bytes)},
                        {"subscribers", std::to_string(subscribers)}});
}

void FeedDuty::handle(const Closed &event, TimePoint)
{
    m_publisher.remove(event.link);
    m_links.erase(event.link);
}

void FeedDuty::handle(const FromEntry &event, TimePoint now)
{
    orElse(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(message, feed::fromFrame(event.frame, event.peer));
            BOOST_LEAF_CHECK(checkSender(message, event.peer));
            answerEntry(event, message, now);
            return {};
        },
        [&](const Error &) {
            ++m_framesDropped;
            m_hub.disconnect(event.link);
        });
}

void FeedDuty::answerEntry(const FromEntry &event, const feed::Message &message, TimePoint now)
{
    if (const auto *subscribe = std::get_if<feed::Subscribe>(&message)) {
        this->subscribe(event.link, event.peer, *subscribe, now);
    } else if (std::holds_alternative<feed::Unsubscribe>(message)) {
        m_publisher.remove(event.link);
        m_links.erase(event.link);
        m_hub.setQuiet(event.link, true);
    } else if (const auto *request = std::get_if<feed::ProofRequest>(&message)) {
        m_liveness.recordHeartbeat(request->instance, request->incarnation, now);
        for (const feed::Heartbeat &it : request->heartbeats)
            m_liveness.recordHeartbeat(it.instance, it.incarnation, now - it.age);
        answerProof(event.link, request->number, now);
    } else if (const auto *announce = std::get_if<feed::Announce>(&message)) {
        m_liveness.recordHeartbeat(announce->instance.name, announce->instance.incarnation, now);
        proposeOrForward({{},
                          {},
                          catalogue::AnnounceInstance{announce->instance, announce->replaces,
                                                      m_departures.endedDepartures(now)}});
    } else if (const auto *leave = std::get_if<feed::Leave>(&message)) {
        proposeOrForward({{}, {}, catalogue::DepartInstance{leave->instance, leave->incarnation}});
    } else if (const auto *report = std::get_if<feed::RolloutReport>(&message)) {
        takeOrForward(*report);
    }
}

void FeedDuty::subscribe(wire::LinkId link, const std::string &instance,
                         const feed::Subscribe &subscribe, TimePoint now)
{
    m_hub.setQuiet(link, false);
    if (subscribe.position == 0 && !subscribe.noRedirect && !takeState(m_stateBudget, now)) {
        const auto relays = firstRelaysFor(*m_machine.published().instances, instance);
        if (!relays.empty()) {
            deliver({{feed::toFrame(feed::Redirect{relays}), {link}}});
            const std::lock_guard<std::mutex> lock(m_mutex);
            ++m_counts.redirected;
            return;
        }
    }
    m_links.insert(link);
    deliverWeights(link, now);
    deliver(m_publisher.subscribe(link, subscribe, [this, now] {
        return stateFrame(now);
    }));
}

/// Returns the complete state as a frame. It is encoded once per position, however many subscribers
/// ask for it. The age of the epoch in it is the age at the first encoding, so later subscribers
/// get an age that is too low rather than too high.
const wire::Frame &FeedDuty::stateFrame(TimePoint now)
{
    const PublishedState it = m_machine.published();
    if (!m_stateFrame || m_stateFramePosition != it.position) {
        m_stateFrame = feed::toFrame(feed::StateAt{it.position, *it.catalogue, *it.instances,
                                                   it.drained, ageOf(it.epochAt, now)});
        m_stateFramePosition = it.position;
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_counts.snapshotsSent;
    return *m_stateFrame;
}

void FeedDuty::holdBack(wire::LinkId link, std::uint64_t position)
{
    if (m_publisher.isHeldBack(link))
        return;
    m_publisher.holdBack(link, position);
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_counts.heldBack;
}

/// Sends subscribers that were held back what they missed, once their links have room again.
void FeedDuty::resumeSubscribers(TimePoint now)
{
    for (const wire::LinkId it : m_publisher.heldBack()) {
        if (m_hub.queuedBytes(it) > feed::maxBacklogBytes)
            continue;
        deliver(m_publisher.resume(it, [this, now] {
            return stateFrame(now);
        }));
    }
}

void FeedDuty::answerProof(wire::LinkId link, std::uint64_t number, TimePoint now)
{
    if (m_provenAt == TimePoint{})
        return;
    // The position is read after the proof, so that it includes everything that the proof covers.
    deliverWeights(link, now);
    const feed::Proof proof{number, m_machine.published().position, ageOf(m_provenAt, now)};
    deliver({{feed::toFrame(proof), {link}}});
}

void FeedDuty::handle(const FromMember &event, TimePoint now)
{
    if (const auto *request = std::get_if<MemberProofRequest>(&event.message)) {
        for (const InstanceHeartbeat &it : request->heartbeats)
            m_liveness.recordHeartbeat(it.name, it.incarnation, now - it.age);
        const LogStatus status = m_log.status();
        const bool isLeader = status.raftState.role == consensus::Role::Leader;
        if (isLeader && status.proof.provenAt != TimePoint{}) {
            sendWeights(event.member, now);
            m_send(event.member,
                   MemberProof{request->number, status.proof.index,
                               ageOf(status.proof.provenAt, now)});
        }
    } else if (const auto *proof = std::get_if<MemberProof>(&event.message)) {
        m_proofs.answer(proof->number, proof->index, proof->age);
    } else if (const auto *forward = std::get_if<ForwardChange>(&event.message)) {
        m_log.command(forward->change, [](const CommandResult &) {});
    } else if (const auto *forwarded = std::get_if<ForwardReport>(&event.message)) {
        takeForwarded(event.member, *forwarded);
    } else if (const auto *ages = std::get_if<feed::WeightsAges>(&event.message)) {
        m_weights.learn(*ages, now);
    }
}

/// Sends the ages of weights to another member: the leader to those that ask it for a proof, and
/// these to the leader.
void FeedDuty::sendWeights(const std::string &member, TimePoint now)
{
    if (const auto ages = m_weights.recent(now))
        m_send(member, *ages);
}

/// Sends the ages of weights to an entry, before the state or the proof to which they belong.
void FeedDuty::deliverWeights(wire::LinkId link, TimePoint now)
{
    if (const auto ages = m_weights.recent(now))
        deliver({{feed::toFrame(*ages), {link}}});
}

void FeedDuty::takeForwarded(const std::string &member, const ForwardReport &forwarded)
{
    orElse(
        [&]() -> Result<void> {
            const wire::Frame frame{wire::Channel::Feed, feed::toFrame(feed::RolloutReport()).kind,
                                    forwarded.body};
            BOOST_LEAF_AUTO(message, feed::fromFrame(frame, member));
            // A member that has stopped leading drops the report: a newer one reaches the leader.
            if (m_log.status().raftState.role == consensus::Role::Leader)
                takeOrForward(std::get<feed::RolloutReport>(message));
            return {};
        },
        [this](const Error &) {
            ++m_framesDropped;
        });
}

void FeedDuty::handle(const PlatformList &event, TimePoint)
{
    m_list = event;
}

void FeedDuty::tick(TimePoint now)
{
    if (now - m_lastTick > maxTickGap)
        m_collectingSince = now;
    m_lastTick = now;
    resumeSubscribers(now);
    if (now >= m_nextProof) {
        m_nextProof = now + proofInterval;
        requestProof(now);
    }
    const LogStatus status = m_log.status();
    if (status.raftState.role == consensus::Role::Leader) {
        if (status.proof.provenAt != TimePoint{})
            m_provenAt = std::max(m_provenAt, status.proof.provenAt);
        if (now >= m_nextDeathCheckAt) {
            m_nextDeathCheckAt = now + deathCheckInterval;
            declareDead(status, now);
            updateHints(status, now);
            updateControlLinks(status);
        }
    }
    m_departures.observe(m_machine.published().instances->departures, now);
    m_proofs.advanceTo(status.appliedIndex);
    m_provenAt = std::max(m_provenAt, m_proofs.provenAt());
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_counts.subscribers = m_publisher.subscriberCount();
    m_counts.retainedBytes = m_publisher.retainedBytes();
    if (m_provenAt != TimePoint{})
        m_counts.proofAge = now - m_provenAt;
    if (m_list)
        m_counts.platformListAge = now - m_list->writtenAt;
}

/// Requests a freshness proof from the leader and reports the heartbeats that this member received.
void FeedDuty::requestProof(TimePoint now)
{
    const LogStatus status = m_log.status();
    const std::string leader =
        status.raftState.leader ? status.raftState.leader->instance : std::string();
    if (leader != m_leader) {
        m_leader = leader;
        m_proofs.forgetRequests();
    }
    if (leader.empty() || status.raftState.role == consensus::Role::Leader)
        return;
    sendWeights(leader, now);
    m_send(leader, MemberProofRequest{m_proofs.request(now), m_liveness.takeReport(now)});
}

void FeedDuty::declareDead(const LogStatus &status, TimePoint now)
{
    const TimePoint since = std::max(status.leaderSince, m_collectingSince);
    const PublishedState state = m_machine.published();
    for (const auto &it : m_liveness.expired(*state.instances, since, m_instanceLease, now)) {
        proposeOrForward({{}, {}, it});
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_counts.declaredDead;
    }
}

void FeedDuty::updateHints(const LogStatus &status, TimePoint now)
{
    const bool isFresh = m_list && now - m_list->writtenAt <= m_maxListAge;
    // A new leader that has no list yet keeps the hints that its predecessor derived from a list.
    if (!isFresh && now - status.leaderSince <= m_maxListAge)
        return;
    const PublishedState state = m_machine.published();
    for (const auto &it : decideHints(*state.instances, isFresh ? &*m_list : nullptr, m_liveness))
        proposeOrForward({{}, {}, it});
}

/// Publishes the links of all members in the catalogue. Where no settings list the control members,
/// entries read them there. A learner follows the log as well, and may soon take a voter's place.
void FeedDuty::updateControlLinks(const LogStatus &status)
{
    if (!m_publishesMembers)
        return;
    std::vector<std::string> links;
    for (const auto *list : {&status.configuration.voters, &status.configuration.learners}) {
        for (const consensus::MemberId &it : *list)
            links.push_back(it.instance);
    }
    if (links != m_machine.published().catalogue->controlLinks)
        proposeOrForward({{}, {}, catalogue::RecordControlLinks{links}});
}

void FeedDuty::proposeOrForward(const catalogue::Change &change)
{
    const std::string bytes = catalogue::encodeChange(change);
    const LogStatus status = m_log.status();
    if (status.raftState.role == consensus::Role::Leader)
        m_log.command(bytes, [](const CommandResult &) {});
    else if (status.raftState.leader)
        m_send(status.raftState.leader->instance, ForwardChange{bytes});
    // Without a known leader the change is dropped: the instance announces itself again.
}

/// Passes a report to the handler on the leader, and to the leader on another member. Without a
/// known leader it is dropped, since the instances report again.
void FeedDuty::takeOrForward(const feed::RolloutReport &report)
{
    const LogStatus status = m_log.status();
    if (status.raftState.role != consensus::Role::Leader) {
        if (status.raftState.leader)
            m_send(status.raftState.leader->instance, ForwardReport{feed::toFrame(report).body});
    } else if (m_reportHandler) {
        m_reportHandler(report);
    }
}

void FeedDuty::deliver(const std::vector<feed::Delivery> &deliveries)
{
    for (const feed::Delivery &delivery : deliveries) {
        for (const feed::SubscriberId it : delivery.subscribers) {
            if (delivery.changeAt != 0 && m_hub.queuedBytes(it) > feed::maxBacklogBytes)
                holdBack(it, delivery.changeAt);
            if (delivery.changeAt != 0 && m_publisher.isHeldBack(it))
                continue;
            orElse(
                [&] {
                    return m_hub.send(it, delivery.frame);
                },
                [&](const Error &) {
                    // A subscriber that reads too slowly would miss a change, so it must subscribe
                    // again.
                    m_hub.disconnect(it);
                });
        }
    }
}

} // namespace kumquathaven::control
