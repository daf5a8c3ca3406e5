#include "peermessages.h"

#include "peerupdate.h"

#include "kumquathaven/telemetry/log.h"

#include <algorithm>
#include <utility>

namespace kumquathaven::gateway {

namespace {

constexpr const char *limitsKind = "limits";
constexpr const char *placementsKind = "placements";
constexpr const char *listRequestKind = "listQuestion";
constexpr const char *listKind = "list";

} // namespace

wire::Frame limitsFrame(const std::string &body)
{
    return {wire::Channel::Slices, limitsKind, body};
}

PeerMessages::PeerMessages(std::string instance, Gateway &gateway, feed::PeerLinks &peerLinks)
    : m_instance(std::move(instance))
    , m_gateway(gateway)
    , m_peerLinks(peerLinks)
    , m_listReader(gateway, [this](const std::vector<deployment::ListedServer> &servers) {
        handleReadList(servers, monotonicNow());
    })
{
    m_sharing.instance = m_instance;
}

void PeerMessages::updateInstances(const catalogue::Instances &instances, TimePoint now)
{
    const bool wasReader = m_sharing.isReader;
    updateReaders(m_sharing, instances, now);
    if (wasReader != m_sharing.isReader)
        telemetry::logLine(telemetry::LogLevel::Info, "list",
                           wasReader ? "requests the list from other entries"
                                     : "reads the list for other entries",
                           {{"readers", std::to_string(readerCount(m_sharing))}});
    m_peerNames.clear();
    for (const auto &it : instances.entries) {
        if (it.first != m_instance)
            m_peerNames.push_back(it.first);
    }
}

void PeerMessages::tick(TimePoint now)
{
    shareList(now);
    sendUpdates(now);
}

/// Reads the platform's list, or requests it from one of the entries that read it.
void PeerMessages::shareList(TimePoint now)
{
    std::uint32_t readers = 0;
    m_sharing.lastFailureAt = m_listReader.lastFailureAt();
    if (shouldRead(m_sharing, now))
        readers = m_sharing.isReader ? readerCount(m_sharing) : m_gateway.retryRules.instances;
    m_listReader.tick(now, readers);
    if (const auto reader = nextReaderToAsk(m_sharing, now))
        send(*reader, listRequestKind, encodeListRequest(m_sharing.digest));
}

void PeerMessages::handleReadList(const std::vector<deployment::ListedServer> &servers,
                                  TimePoint now)
{
    applyList(m_gateway.servers, servers, now);
    const std::uint64_t before = m_sharing.digest;
    const std::vector<std::string> recipients = applyReadList(m_sharing, servers, now);
    if (m_sharing.digest != before)
        logList("platform");
    if (recipients.empty())
        return;
    const std::string body = encodeList({m_sharing.digest, Duration(0), m_sharing.servers});
    for (const std::string &it : recipients)
        send(it, listKind, body);
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

/// Sends an update to the other entries if the budget allows it: placed prompts, backlogs, store
/// updates, paces and observations.
void PeerMessages::sendUpdates(TimePoint now)
{
    Servers &servers = m_gateway.servers;
    const bool isUrgent = !servers.unreportedPrompts.empty() || !servers.observations.empty();
    if (!maySendUpdate(m_updateBudget, m_peerNames.size(), isUrgent, now))
        return;
    const PeerUpdate update = takeUpdate(servers, now);
    if (update.isEmpty())
        return;
    recordUpdateSent(m_updateBudget, m_peerNames.size(), now);
    for (const ServerObservation &it : update.observations)
        logObservation(it);
    const std::string body = encodePeerUpdate(update);
    for (const std::string &it : m_peerNames)
        send(it, placementsKind, body);
}

void PeerMessages::send(const std::string &to, const char *kind, const std::string &body)
{
    // A lost message is requested again or followed by a newer one.
    m_peerLinks.send(to, {wire::Channel::Slices, kind, body});
}

void PeerMessages::handleMessage(const std::string &peer, const wire::Frame &frame, TimePoint now)
{
    const bool isHandled = orElse(
        [&] {
            return dispatch(peer, frame, now);
        },
        [](const Error &) {
            return false;
        });
    if (!isHandled)
        m_gateway.metrics
            .counter("kumquathaven_entry_frames_malformed_total",
                     "frames of other entries that were not understood", {{"channel", "slices"}})
            .add();
}

/// Handles a message by its kind. Returns whether the message was understood.
Result<bool> PeerMessages::dispatch(const std::string &peer, const wire::Frame &frame,
                                    TimePoint now)
{
    if (frame.kind == limitsKind)
        return m_gateway.limits.handleMessage(peer, frame.body, now);
    if (frame.kind == listRequestKind) {
        BOOST_LEAF_AUTO(digest, decodeListRequest(frame.body, peer));
        send(peer, listKind, encodeList(answerListRequest(m_sharing, peer, digest, now)));
        return true;
    }
    if (frame.kind == listKind) {
        BOOST_LEAF_AUTO(message, decodeList(frame.body, peer));
        const std::uint64_t before = m_sharing.digest;
        if (applyAnswer(m_sharing, message, now))
            applyList(m_gateway.servers, *m_sharing.servers, m_sharing.readAt);
        if (m_sharing.digest != before)
            logList(peer);
        return true;
    }
    if (frame.kind != placementsKind)
        return false;
    BOOST_LEAF_AUTO(update, decodePeerUpdate(frame.body, peer));
    applyPeerUpdate(m_gateway.servers, peer, update, now);
    for (const ServerObservation &it : update.observations)
        m_gateway.metrics
            .counter("kumquathaven_server_findings_total",
                     "what other entries told of servers that fail or have new weights",
                     {{"what", std::string(nameOf(observationKindNames, it.kind))}})
            .add();
    return true;
}

} // namespace kumquathaven::gateway
