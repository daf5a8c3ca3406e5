#include "peermessages.h"

#include "exchange.h"

#include "kumquathaven/overlay/messages.h"
#include "kumquathaven/telemetry/log.h"

#include <algorithm>
#include <utility>

namespace kumquathaven::gateway {

namespace {

/// Time between two reports of how requests ended at servers.
constexpr Duration outcomesInterval = std::chrono::milliseconds(250);
constexpr const char *joinKind = "join";
constexpr const char *updateKind = "update";
constexpr const char *listRequestKind = "listQuestion";
constexpr const char *listKind = "list";
/// Comes before the list that it belongs to, since versions before read no further fields of that.
constexpr const char *listReleasesKind = "listReleases";
/// Time between two reports of counts about rollouts.
constexpr Duration releasesInterval = std::chrono::milliseconds(200);

overlay::TreeNode nodeOf(const catalogue::Instance &instance)
{
    return {instance.name, instance.failureDomain, instance.weight};
}

} // namespace

PeerMessages::PeerMessages(const catalogue::Instance &self, Gateway &gateway, wire::Hub &hub)
    : m_self(nodeOf(self))
    , m_gateway(gateway)
    , m_hub(hub)
    , m_member(m_self)
    , m_listReader(gateway,
                   [this](const std::vector<deployment::ListedServer> &servers) {
                       handleReadList(servers, monotonicNow());
                   })
    , m_eventAges(gateway.metrics.histogram(
          "kumquathaven_peer_event_age_seconds",
          "time that what other entries did waited in entries until it arrived here", {}))
    , m_connected(gateway.metrics.gauge(
          "kumquathaven_peers_connected",
          "entries whose knowledge reaches this one over the tree, including itself"))
    , m_parentAge(gateway.metrics.gauge(
          "kumquathaven_peer_parent_age_seconds",
          "time since the last message of the parent in the tree; zero at the root"))
{
    m_sharing.readAt = monotonicNow();
}

void PeerMessages::updateInstances(const catalogue::Instances &instances, TimePoint now)
{
    std::vector<overlay::TreeNode> nodes;
    m_addresses.clear();
    for (const auto &[name, it] : instances.entries) {
        m_addresses[name] = it.link;
        if (it.state == catalogue::InstanceState::Serving)
            nodes.push_back(nodeOf(it));
    }
    m_sharing.knowsInstances = !instances.entries.empty();
    perform(m_member.setInstances(nodes, now), now);
}

void PeerMessages::tick(TimePoint now)
{
    shareList(now);
    publish(now);
    perform(m_member.tick(now), now);
    const std::uint32_t connected = overlay::connectedInstances(m_member.aggregate());
    m_gateway.limits.setInstances(m_gateway.retryRules.instances, connected);
    m_connected.set(connected);
    m_parentAge.set(m_member.parent().empty() ? 0.0
                                              : toSeconds(now - m_member.heardFromParentAt()));
}

/// Hands what this entry did and knows to the tree.
void PeerMessages::publish(TimePoint now)
{
    Servers &servers = m_gateway.servers;
    for (const auto &[start, tokens] : takeChangedBacklogs(servers))
        m_member.setLevel(backlogKey(start), static_cast<std::int64_t>(tokens), now);
    PeerUpdate update = takeUpdate(servers, m_self.name);
    quarantine::QuarantineNews news = m_gateway.quarantine.takeNews(now);
    update.crashes = std::move(news.crashes);
    update.answered = std::move(news.answered);
    for (const quarantine::SubjectVerdict &it : news.verdicts)
        m_member.setFact(verdictFact(it, now), now);
    for (const ServerObservation &it : update.observations)
        logObservation(it);
    for (const overlay::Event &it : encodeEvents(update))
        m_member.addEvent(it, now);
    if (now - m_outcomesReportedAt >= outcomesInterval) {
        m_outcomesReportedAt = now;
        for (const auto &[start, counts] : takeOutcomes(servers)) {
            m_member.addIncrement(answersKey(start), counts.answers);
            m_member.addIncrement(errorsKey(start), counts.errors);
        }
    }
    const LimitsReport report = m_gateway.limits.takeReport(now);
    for (const auto &[customer, demand] : report.demand)
        m_member.setLevel(demandKey(customer), demand, now);
    for (const auto &[customer, tokens] : report.spent)
        m_member.addIncrement(spendingKey(customer), tokens);
    publishReleases(now);
}

/// Hands the counts about rollouts to the tree. They are levels, so that entries that join later
/// learn them as well.
void PeerMessages::publishReleases(TimePoint now)
{
    if (now - m_releasesReportedAt < releasesInterval || !m_gateway.plan)
        return;
    m_releasesReportedAt = now;
    Releases &releases = m_gateway.servers.releases;
    if (releases.rollouts.empty())
        return;
    if (updateCounters(releases, m_gateway.plan->plan, now)) {
        for (const auto &it : releases.counters)
            setCounterOfOthers(releases, it.first,
                               overlay::levelOfOthers(m_member.aggregate(), it.first));
    }
    std::set<std::uint64_t> keys;
    for (const auto &[key, value] : ownCounters(releases)) {
        m_member.setLevel(key, value, now);
        keys.insert(key);
    }
    for (const std::uint64_t key : m_releaseKeys) {
        if (keys.count(key) == 0)
            m_member.setLevel(key, 0, now);
    }
    m_releaseKeys = std::move(keys);
}

void PeerMessages::perform(const overlay::MemberEffects &effects, TimePoint now)
{
    for (const std::string &it : effects.disconnect)
        disconnect(it);
    for (const overlay::ChildId it : effects.disconnectChildren)
        m_hub.disconnect(it);
    for (const std::string &it : effects.connect)
        connect(it);
    for (const overlay::OutgoingUpdate &it : effects.updates) {
        const auto uplink = m_uplinks.find(it.to.uplink);
        if (it.to.uplink.empty())
            send(it.to.child, updateKind, overlay::encodeUpdate(it.update));
        else if (uplink != m_uplinks.end())
            send(uplink->second, updateKind, overlay::encodeUpdate(it.update));
    }
    for (const overlay::Event &it : effects.events)
        applyEvent(it, now);
    for (const overlay::Fact &it : effects.facts)
        applyVerdict(it, now);
    for (const overlay::Increment &it : effects.increments) {
        if (!applyOutcomesOfOthers(m_gateway.servers, it.key, it.amount, now))
            m_gateway.limits.applySpendingOfOthers(it.key, it.amount, now);
    }
    applyLevels(now);
}

/// Applies the levels of the other entries that changed.
void PeerMessages::applyLevels(TimePoint now)
{
    for (const overlay::Key key : m_member.takeChangedLevels()) {
        const std::int64_t value = overlay::levelOfOthers(m_member.aggregate(), key);
        const TimePoint decreasedAt = overlay::lastDecreaseOfOthers(m_member.aggregate(), key);
        if (!setBacklogOfOthers(m_gateway.servers, key, value, decreasedAt, now)
            && !setCounterOfOthers(m_gateway.servers.releases, key, value))
            m_gateway.limits.setDemandOfOthers(key, value);
    }
}

void PeerMessages::applyEvent(const overlay::Event &event, TimePoint now)
{
    m_eventAges.observe(toSeconds(event.age));
    const bool isApplied = orElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(update, decodeEvent(event.bytes, m_member.parent()));
            applyPeerUpdate(m_gateway.servers, update, now);
            applyQuarantineNews(update, event.age, now);
            for (const ServerObservation &it : update.observations)
                m_gateway.metrics
                    .counter("kumquathaven_server_findings_total",
                             "what other entries told of servers that fail or have new weights",
                             {{"what", std::string(nameOf(observationKindNames, it.kind))}})
                    .add();
            return true;
        },
        [](const Error &) {
            return false;
        });
    if (!isApplied)
        m_gateway.counters.malformedFrames.add();
}

void PeerMessages::applyQuarantineNews(const PeerUpdate &update, Duration age, TimePoint now)
{
    for (const quarantine::CrashReport &it : update.crashes)
        m_gateway.quarantine.applyReport(it, now - age, now);
    for (const quarantine::AnsweredSubject &it : update.answered)
        m_gateway.quarantine.applyAnswer(it.subject, now - age - it.age);
}

void PeerMessages::applyVerdict(const overlay::Fact &fact, TimePoint now)
{
    const bool isApplied = orElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(verdict, decodeFact(fact, m_member.parent(), now));
            if (m_gateway.quarantine.applyVerdict(verdict, now))
                endConvicted(m_gateway, {verdict.subject});
            return true;
        },
        [](const Error &) {
            return false;
        });
    if (!isApplied)
        m_gateway.counters.malformedFrames.add();
}

void PeerMessages::connect(const std::string &name)
{
    const auto it = m_addresses.find(name);
    const settings::Address address =
        it == m_addresses.end() ? settings::Address() : settings::parseAddress(it->second);
    if (address.port == 0)
        return;
    disconnect(name);
    m_uplinks[name] = m_hub.connect(address);
}

void PeerMessages::disconnect(const std::string &name)
{
    const auto it = m_uplinks.find(name);
    if (it == m_uplinks.end())
        return;
    m_hub.disconnect(it->second);
    m_uplinks.erase(it);
}

/// Returns the name of the entry to which this one opened a link, or an empty string.
std::string PeerMessages::uplinkOf(wire::LinkId link) const
{
    for (const auto &[name, it] : m_uplinks) {
        if (it == link)
            return name;
    }
    return {};
}

void PeerMessages::opened(const wire::Peer &peer)
{
    if (peer.outgoing && !uplinkOf(peer.link).empty())
        send(peer.link, joinKind, overlay::encodeJoin(m_self));
}

void PeerMessages::closed(const wire::Peer &peer, TimePoint now)
{
    m_releasesOfList.erase(peer.link);
    if (!peer.outgoing)
        m_member.childClosed(peer.link);
    else if (const std::string name = uplinkOf(peer.link); !name.empty())
        perform(m_member.closed(name, now), now);
}

void PeerMessages::received(const wire::Peer &peer, const wire::Frame &frame, TimePoint now)
{
    const bool isHandled = orElse(
        [&] {
            return dispatch(peer, frame, now);
        },
        [](const Error &) {
            return false;
        });
    if (!isHandled)
        m_gateway.counters.malformedFrames.add();
}

/// Handles a message by its kind. Returns whether the message was understood.
Result<bool> PeerMessages::dispatch(const wire::Peer &peer, const wire::Frame &frame, TimePoint now)
{
    if (frame.kind == updateKind) {
        BOOST_LEAF_AUTO(update, overlay::decodeUpdate(frame.body, peer.name));
        if (!peer.outgoing)
            perform(m_member.receiveFromChild(peer.link, update, now), now);
        else if (const std::string name = uplinkOf(peer.link); !name.empty())
            perform(m_member.receive(name, update, now), now);
        return true;
    }
    if (frame.kind == joinKind) {
        BOOST_LEAF_AUTO(node, overlay::decodeJoin(frame.body, peer.name));
        perform(m_member.join(peer.link, node, now), now);
        return true;
    }
    if (frame.kind == listRequestKind) {
        BOOST_LEAF_AUTO(digest, decodeListRequest(frame.body, peer.name));
        const ListMessage answer = answerListRequest(m_sharing, digest, now);
        if (answer.servers != nullptr)
            send(peer.link, listReleasesKind, encodeListReleases(releasesOf(answer)));
        send(peer.link, listKind, encodeList(answer));
        return true;
    }
    if (frame.kind == listReleasesKind) {
        BOOST_LEAF_AUTO(releases, decodeListReleases(frame.body, peer.name));
        m_releasesOfList[peer.link] = std::move(releases);
        return true;
    }
    if (frame.kind != listKind)
        return false;
    BOOST_LEAF_AUTO(message, decodeList(frame.body, peer.name));
    const auto releases = m_releasesOfList.find(peer.link);
    if (releases != m_releasesOfList.end()) {
        addReleases(message, releases->second);
        m_releasesOfList.erase(releases);
    }
    const std::uint64_t before = m_sharing.digest;
    if (applyAnswer(m_sharing, message, now))
        applyList(m_gateway.servers, *m_sharing.servers, m_sharing.readAt);
    if (m_sharing.digest != before)
        logList(peer.name);
    return true;
}

/// Reads the platform's list, or requests it from the parent.
void PeerMessages::shareList(TimePoint now)
{
    m_sharing.lastFailureAt = m_listReader.lastFailureAt();
    const bool wasReader = std::exchange(m_sharing.isReader, m_member.isRoot());
    if (wasReader != m_sharing.isReader)
        telemetry::logLine(telemetry::LogLevel::Info, "list",
                           wasReader ? "gets the list from another entry"
                                     : "reads the list for other entries",
                           {{"parent", m_member.parent()}});
    if (const auto freshness = decodeFreshness(m_member.parentNote()))
        applyFreshness(m_sharing, *freshness, m_member.heardFromParentAt());
    if (m_sharing.servers != nullptr)
        m_gateway.servers.listReadAt = m_sharing.readAt;
    std::uint32_t readers = 0;
    if (shouldRead(m_sharing, now))
        readers = m_sharing.isReader ? 1 : m_gateway.retryRules.instances;
    m_listReader.tick(now, readers);
    const auto parent = m_uplinks.find(m_member.parent());
    if (parent != m_uplinks.end() && shouldRequest(m_sharing, now))
        send(parent->second, listRequestKind, encodeListRequest(m_sharing.digest));
    m_member.setNote(encodeFreshness({m_sharing.digest, now - m_sharing.readAt}));
}

void PeerMessages::handleReadList(const std::vector<deployment::ListedServer> &servers,
                                  TimePoint now)
{
    applyList(m_gateway.servers, servers, now);
    const std::uint64_t before = m_sharing.digest;
    applyReadList(m_sharing, servers, now);
    if (m_sharing.digest != before)
        logList("platform");
}

/// Logs that servers were added, removed or changed.
void PeerMessages::logList(const std::string &from) const
{
    telemetry::logLine(
        telemetry::LogLevel::Info, "list", "servers changed",
        {{"from", from}, {"servers", std::to_string(m_gateway.servers.known.size())}});
}

/// Logs an observation of this entry. Observations of peers are counted in a metric instead.
void PeerMessages::logObservation(const ServerObservation &observation) const
{
    telemetry::LogFields fields = {
        {"server", observation.start},
        {"what", std::string(nameOf(observationKindNames, observation.kind))}};
    if (observation.kind == ObservationKind::Weights)
        fields.emplace_back("version", std::to_string(observation.version));
    telemetry::logLine(telemetry::LogLevel::Warn, "servers", "server observation", fields);
}

void PeerMessages::send(wire::LinkId link, const char *kind, const std::string &body)
{
    // A message that cannot be sent means that the link is closing, which is handled on its own.
    orElse(
        [&] {
            return m_hub.send(link, {wire::Channel::Slices, kind, body});
        },
        [](const Error &) {});
}

} // namespace kumquathaven::gateway
