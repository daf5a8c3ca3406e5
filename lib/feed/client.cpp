#include "kumquathaven/feed/client.h"

#include "memberlinks.h"

#include "kumquathaven/base/ring.h"
#include "kumquathaven/feed/commandframe.h"
#include "kumquathaven/feed/feedtimes.h"
#include "kumquathaven/feed/follower.h"
#include "kumquathaven/telemetry/log.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>
#include <utility>

namespace kumquathaven::feed {

namespace {

constexpr std::size_t ringCapacity = 8192;
constexpr std::size_t maxRingBytes = std::size_t{8} * 1024 * 1024;
constexpr Duration tickInterval = std::chrono::milliseconds(100);
/// Interval of ticks while a control member is searched for.
constexpr Duration searchTickInterval = std::chrono::milliseconds(25);
/// Time allowed for the departure message to leave the process before the links are closed.
constexpr Duration departureDelay = std::chrono::milliseconds(100);

/// An event that the hub's thread passes to the client's thread.
struct Event
{
    enum class Kind { Opened, Closed, Received, Report };
    Kind kind = Kind::Received;
    wire::LinkId link = 0;
    std::string peer;
    bool outgoing = false;
    wire::Frame frame;
};

} // namespace

class FeedClient::Impl
{
public:
    Impl(const settings::Settings &settings, wire::Hub &hub, catalogue::View &view,
         const catalogue::Instance &self);
    void run(const std::function<bool()> &shouldStop);
    void announce(const catalogue::Instance &self);
    void onLedgerAnswer(std::function<void(std::uint64_t, const std::string &)> handler);
    Result<void> sendToLedger(std::uint64_t number, const std::string &command);
    Result<void> report(const RolloutReport &report);
    ClientStatus status() const;

private:
    void push(Event event);
    void handleAnswer(const wire::Peer &peer, const wire::Frame &frame);
    void applyAnnouncement();
    void updateStatus();
    void handle(const Event &event, TimePoint now);
    void handleUplink(Uplink uplink, const Event &event, TimePoint now);
    void handleChild(const Event &event, TimePoint now);
    std::optional<Message> read(const Event &event);
    void applyEffects(const FollowerEffects &effects, TimePoint now);
    void changeLinks(const FollowerEffects &effects);
    void deliver(const std::vector<Delivery> &deliveries);
    void resumeChildren(TimePoint now);
    void handleMember(const Event &event, TimePoint now);
    void logDeclaration(const catalogue::Declaration &declaration);
    void follow(const std::optional<FollowedMember> &member, TimePoint now);
    void leaveMember();
    void drop(wire::LinkId &link);

    wire::Hub &m_hub;
    catalogue::View &m_view;
    MemberLinks m_members;
    Follower m_follower;
    /// Version of the newest declaration received.
    std::uint64_t m_declarationVersion = 0;
    BoundedRing<Event> m_ring{ringCapacity, maxRingBytes, [](const Event &event) {
                                  return event.frame.body.size();
                              }};
    std::function<void(std::uint64_t, const std::string &)> m_ledgerAnswerHandler;
    /// The link to control, read by senders of commands on any thread, and whether a command was
    /// sent over it.
    std::atomic<wire::LinkId> m_control{0};
    std::atomic<bool> m_isControlUsed{false};
    /// The links to the relay and to the next relay; zero while there is none.
    wire::LinkId m_relay = 0;
    wire::LinkId m_nextRelay = 0;

    mutable std::mutex m_mutex;
    ClientStatus m_status;
    std::optional<catalogue::Instance> m_announced;
    std::atomic<std::uint64_t> m_framesDropped{0};
};

FeedClient::Impl::Impl(const settings::Settings &settings, wire::Hub &hub, catalogue::View &view,
                       const catalogue::Instance &self)
    : m_hub(hub)
    , m_view(view)
    , m_members(settings, hub, self)
    , m_follower(settings.feedRelays, self, self.incarnation, subscriberTimes(settings))
{
    const auto pushKind = [this](Event::Kind kind, const wire::Peer &peer) {
        push({kind, peer.link, peer.name, peer.outgoing, {}});
    };
    wire::ChannelHandlers handlers;
    handlers.opened = [pushKind](const wire::Peer &peer) {
        pushKind(Event::Kind::Opened, peer);
    };
    handlers.closed = [pushKind](const wire::Peer &peer) {
        pushKind(Event::Kind::Closed, peer);
    };
    handlers.received = [this](const wire::Peer &peer, const wire::Frame &frame) {
        push({Event::Kind::Received, peer.link, peer.name, peer.outgoing, frame});
    };
    hub.handle(wire::Channel::Feed, std::move(handlers));
    wire::ChannelHandlers answers;
    answers.received = [this](const wire::Peer &peer, const wire::Frame &frame) {
        handleAnswer(peer, frame);
    };
    hub.handle(wire::Channel::Ledger, std::move(answers));
}

void FeedClient::Impl::push(Event event)
{
    // A lost event leads to missing proofs, after which another source is tried.
    if (!m_ring.tryPush(std::move(event)))
        ++m_framesDropped;
}

void FeedClient::Impl::announce(const catalogue::Instance &self)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_announced = self;
}

void FeedClient::Impl::onLedgerAnswer(
    std::function<void(std::uint64_t, const std::string &)> handler)
{
    m_ledgerAnswerHandler = std::move(handler);
}

Result<void> FeedClient::Impl::sendToLedger(std::uint64_t number, const std::string &command)
{
    m_isControlUsed = true;
    return m_hub.send(m_control, toFrame(CommandFrame{number, command}));
}

Result<void> FeedClient::Impl::report(const RolloutReport &report)
{
    const auto refused = [&](ErrorCode code, const std::string &message) {
        return fail({code, "feed.report", report.service, message, Outcome::NotRun, {}});
    };
    if (report.evidence.routes.size() > maxReportedRoutes)
        return refused(ErrorCode::TooLarge,
                       "a report has at most " + std::to_string(maxReportedRoutes) + " routes");
    if (const ClientStatus present = status(); present.member.empty() && present.relay.empty())
        return refused(ErrorCode::Unavailable, "neither control nor a relay is connected");
    if (!m_ring.tryPush(Event{Event::Kind::Report, 0, {}, false, toFrame(report)}))
        return refused(ErrorCode::Overloaded, "the queue of the feed is full");
    return {};
}

void FeedClient::Impl::handleAnswer(const wire::Peer &peer, const wire::Frame &frame)
{
    if (!m_ledgerAnswerHandler)
        return;
    orElse(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(answer, commandFrame(frame, peer.name));
            m_ledgerAnswerHandler(answer.number, answer.bytes);
            return {};
        },
        [this](const Error &) {
            ++m_framesDropped;
        });
}

void FeedClient::Impl::run(const std::function<bool()> &shouldStop)
{
    follow(m_members.search(monotonicNow()), monotonicNow());
    while (!shouldStop()) {
        const std::optional<Event> event =
            m_ring.pop(m_members.isSearching() ? searchTickInterval : tickInterval);
        const TimePoint now = monotonicNow();
        applyAnnouncement();
        if (m_isControlUsed.exchange(false))
            m_follower.recordControlUse(now);
        if (event)
            handle(*event, now);
        applyEffects(m_follower.tick(now), now);
        follow(m_members.review(now), now);
        resumeChildren(now);
        updateStatus();
    }
    applyEffects(m_follower.leave(), monotonicNow());
    std::this_thread::sleep_for(departureDelay);
    m_hub.disconnect(m_control);
    drop(m_relay);
    drop(m_nextRelay);
}

void FeedClient::Impl::applyAnnouncement()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (!m_announced)
        return;
    m_follower.announce(*m_announced);
    m_announced.reset();
}

void FeedClient::Impl::updateStatus()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_status.position = m_follower.position();
    m_status.drained = m_follower.isDrained();
    m_status.relay = m_follower.relay();
    m_status.children = m_follower.childCount();
    m_status.relayFailures = m_follower.relayFailures();
    if (m_follower.isReplaced() && !std::exchange(m_status.replaced, true))
        telemetry::logLine(telemetry::LogLevel::Error, "feed",
                           "another process took this instance's name; keyed requests are refused",
                           {{"instance", m_follower.self().name}});
}

void FeedClient::Impl::handle(const Event &event, TimePoint now)
{
    if (event.kind == Event::Kind::Report) {
        if (const std::optional<Message> report = read(event))
            applyEffects(m_follower.report(*report, now), now);
        return;
    }
    // Links of other duties share the hub, and frames of a former source may still be queued.
    if (m_members.contains(event.link))
        handleMember(event, now);
    else if (event.link == m_relay)
        handleUplink(Uplink::Relay, event, now);
    else if (event.link == m_nextRelay)
        handleUplink(Uplink::NextRelay, event, now);
    else if (!event.outgoing)
        handleChild(event, now);
}

/// Handles an event of a link to a control member, which is followed or takes part in the search.
void FeedClient::Impl::handleMember(const Event &event, TimePoint now)
{
    if (event.kind == Event::Kind::Opened) {
        follow(m_members.opened(event.link, event.peer, now), now);
    } else if (event.kind == Event::Kind::Closed) {
        if (event.link == m_control) {
            leaveMember();
            applyEffects(m_follower.closed(Uplink::Control, now), now);
        }
        follow(m_members.closed(event.link, now), now);
    } else if (const std::optional<Message> message = read(event)) {
        if (const auto *proof = std::get_if<Proof>(&*message))
            follow(m_members.receive(event.link, *proof, now), now);
        if (event.link == m_control)
            applyEffects(m_follower.receive(Uplink::Control, *message, now), now);
    }
}

void FeedClient::Impl::handleUplink(Uplink uplink, const Event &event, TimePoint now)
{
    if (event.kind == Event::Kind::Opened)
        applyEffects(m_follower.opened(uplink, event.peer, now), now);
    else if (event.kind == Event::Kind::Closed)
        applyEffects(m_follower.closed(uplink, now), now);
    else if (const std::optional<Message> message = read(event))
        applyEffects(m_follower.receive(uplink, *message, now), now);
}

void FeedClient::Impl::handleChild(const Event &event, TimePoint now)
{
    if (event.kind == Event::Kind::Closed) {
        m_follower.childClosed(event.link);
    } else if (event.kind == Event::Kind::Received) {
        const std::optional<Message> message = read(event);
        const auto *request = message ? std::get_if<ProofRequest>(&*message) : nullptr;
        // A child's proof request is its heartbeat, so it must name the child itself.
        if (message && (!request || request->instance == event.peer))
            applyEffects(m_follower.childMessage(event.link, *message, now), now);
        else
            m_hub.disconnect(event.link);
    }
}

std::optional<Message> FeedClient::Impl::read(const Event &event)
{
    return orElse(
        [&]() -> Result<std::optional<Message>> {
            BOOST_LEAF_AUTO(message, fromFrame(event.frame, event.peer));
            return std::optional<Message>(std::move(message));
        },
        [this](const Error &) {
            ++m_framesDropped;
            return std::optional<Message>();
        });
}

void FeedClient::Impl::applyEffects(const FollowerEffects &effects, TimePoint now)
{
    changeLinks(effects);
    if (effects.quietControl)
        m_hub.setQuiet(m_control, *effects.quietControl);
    if (effects.snapshot) {
        const auto &listed = effects.snapshot->catalogue->controlLinks;
        if (!listed.empty())
            m_members.setListed({listed.begin(), listed.end()});
        logDeclaration(effects.snapshot->catalogue->declaration);
        m_view.offer(*effects.snapshot);
    }
    for (const FollowerEffects::OutgoingMessage &it : effects.messages) {
        const wire::LinkId link = it.uplink == Uplink::Control ? m_control.load() : m_relay;
        // A message that cannot be sent is not retried here: either the link is closing, or a late
        // proof leads to another source.
        orElse(
            [&] {
                return m_hub.send(link, toFrame(it.message));
            },
            [](const Error &) {});
    }
    deliver(effects.deliveries);
    for (const SubscriberId it : effects.refused)
        m_hub.disconnect(it);
    if (effects.changeMember)
        follow(m_members.search(now), now);
    if (effects.connectNextRelay)
        m_nextRelay = m_hub.connect(settings::parseAddress(effects.connectNextRelay->link));
}

void FeedClient::Impl::changeLinks(const FollowerEffects &effects)
{
    if (effects.dropRelay || effects.adoptNextRelay)
        drop(m_relay);
    if (effects.dropNextRelay)
        drop(m_nextRelay);
    if (effects.adoptNextRelay)
        std::swap(m_relay, m_nextRelay);
}

void FeedClient::Impl::deliver(const std::vector<Delivery> &deliveries)
{
    for (const Delivery &delivery : deliveries) {
        for (const SubscriberId it : delivery.subscribers) {
            if (delivery.changeAt != 0 && m_hub.queuedBytes(it) > maxBacklogBytes)
                m_follower.holdBack(it, delivery.changeAt);
            if (delivery.changeAt != 0 && m_follower.isHeldBack(it))
                continue;
            orElse(
                [&] {
                    return m_hub.send(it, delivery.frame);
                },
                [&](const Error &) {
                    // A child that reads too slowly would miss changes, so it must subscribe anew.
                    m_follower.childClosed(it);
                    m_hub.disconnect(it);
                });
        }
    }
}

/// Sends children that were held back what they missed, once their links have room again.
void FeedClient::Impl::resumeChildren(TimePoint now)
{
    for (const SubscriberId it : m_follower.heldBack()) {
        if (m_hub.queuedBytes(it) <= maxBacklogBytes)
            deliver(m_follower.resume(it, now));
    }
}

/// Logs the arrival of a declaration, a step between its acknowledgement and its use.
void FeedClient::Impl::logDeclaration(const catalogue::Declaration &declaration)
{
    if (declaration.version == m_declarationVersion)
        return;
    m_declarationVersion = declaration.version;
    telemetry::logLine(telemetry::LogLevel::Info, "feed", "declaration received",
                       {{"version", std::to_string(declaration.version)},
                        {"position", std::to_string(m_follower.position())},
                        {"source", m_follower.relay().empty() ? "control" : m_follower.relay()}});
}

/// Follows another member, if there is one. The search has closed the link to the former one.
void FeedClient::Impl::follow(const std::optional<FollowedMember> &member, TimePoint now)
{
    if (!member)
        return;
    m_control = member->link;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_status.member = member->peer;
        ++m_status.memberChanges;
    }
    applyEffects(m_follower.opened(Uplink::Control, member->peer, now), now);
}

void FeedClient::Impl::leaveMember()
{
    m_control = 0;
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_status.member.clear();
}

void FeedClient::Impl::drop(wire::LinkId &link)
{
    if (link != 0)
        m_hub.disconnect(link);
    link = 0;
}

ClientStatus FeedClient::Impl::status() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    ClientStatus copy = m_status;
    copy.framesDropped = m_framesDropped;
    return copy;
}

FeedClient::FeedClient(const settings::Settings &settings, wire::Hub &hub, catalogue::View &view,
                       const catalogue::Instance &self)
    : m_impl(std::make_unique<Impl>(settings, hub, view, self))
{ }

FeedClient::~FeedClient() = default;

void FeedClient::run(const std::function<bool()> &shouldStop)
{
    m_impl->run(shouldStop);
}

void FeedClient::announce(const catalogue::Instance &self)
{
    m_impl->announce(self);
}

void FeedClient::onLedgerAnswer(std::function<void(std::uint64_t, const std::string &)> handler)
{
    m_impl->onLedgerAnswer(std::move(handler));
}

Result<void> FeedClient::sendToLedger(std::uint64_t number, const std::string &command)
{
    return m_impl->sendToLedger(number, command);
}

Result<void> FeedClient::report(const RolloutReport &report)
{
    return m_impl->report(report);
}

ClientStatus FeedClient::status() const
{
    return m_impl->status();
}

} // namespace kumquathaven::feed
