#include "peermessages.h"

#include "peerupdate.h"

#include "kumquathaven/telemetry/log.h"

#include <algorithm>
#include <utility>

namespace kumquathaven::gateway {

namespace {

constexpr const char *limitsKind = "limits";
constexpr const char *placementsKind = "placements";
constexpr const char *listQuestionKind = "listQuestion";
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
    , m_list(gateway, [this](const std::vector<deployment::ListedServer> &servers) {
        takeReadList(servers, monotonicNow());
    })
{
    m_sharing.instance = m_instance;
}

void PeerMessages::keep(const catalogue::Instances &instances, TimePoint now)
{
    const bool wasReader = m_sharing.isReader;
    keepInstances(m_sharing, instances, now);
    if (wasReader != m_sharing.isReader)
        telemetry::logLine(telemetry::LogLevel::Info, "list",
                           wasReader ? "asks others for the list" : "reads the list for others",
                           {{"readers", std::to_string(readersOf(m_sharing))}});
    m_others.clear();
    for (const auto &it : instances.entries) {
        if (it.first != m_instance)
            m_others.push_back(it.first);
    }
}

void PeerMessages::tick(TimePoint now)
{
    shareList(now);
    tellNews(now);
}

/// Reads the platform's list, or asks one of the entries that do.
void PeerMessages::shareList(TimePoint now)
{
    std::uint32_t readers = 0;
    m_sharing.failedAt = m_list.failedAt();
    if (isToRead(m_sharing, now))
        readers = m_sharing.isReader ? readersOf(m_sharing) : m_gateway.retryRules.instances;
    m_list.tick(now, readers);
    if (const auto reader = nextAsked(m_sharing, now))
        send(*reader, listQuestionKind, encodeListRequest(m_sharing.digest));
}

void PeerMessages::takeReadList(const std::vector<deployment::ListedServer> &servers, TimePoint now)
{
    takeList(m_gateway.servers, servers, now);
    const std::uint64_t before = m_sharing.digest;
    const std::vector<std::string> told = takeRead(m_sharing, servers, now);
    if (m_sharing.digest != before)
        logList("platform");
    if (told.empty())
        return;
    const std::string body = encodeList({m_sharing.digest, Duration(0), m_sharing.servers});
    for (const std::string &it : told)
        send(it, listKind, body);
}

/// Tells of servers that were not known before, are gone or changed their state.
void PeerMessages::logList(const std::string &from) const
{
    telemetry::logLine(
        telemetry::LogLevel::Info, "list", "servers changed",
        {{"from", from}, {"servers", std::to_string(m_gateway.servers.known.size())}});
}

/// Tells what this entry found of a server. The others count what they are told.
void PeerMessages::logFinding(const ServerFinding &finding) const
{
    telemetry::LogFields fields = {{"server", finding.start},
                                   {"what", std::string(nameOf(findingKindNames, finding.kind))}};
    if (finding.kind == FindingKind::Weights)
        fields.emplace_back("version", std::to_string(finding.version));
    telemetry::logLine(telemetry::LogLevel::Warn, "servers", "found of a server", fields);
}

/// Tells the other entries where shared prompts were sent, and what this one waits for.
void PeerMessages::tellNews(TimePoint now)
{
    Servers &servers = m_gateway.servers;
    const bool isUrgent = !servers.news.empty() || !servers.findings.empty();
    if (!mayTellNews(m_newsBudget, m_others.size(), isUrgent, now))
        return;
    const PeerUpdate news = takeNews(servers, now);
    if (news.isEmpty())
        return;
    noteNewsTold(m_newsBudget, m_others.size(), now);
    for (const ServerFinding &it : news.findings)
        logFinding(it);
    const std::string body = encodePeerUpdate(news);
    for (const std::string &it : m_others)
        send(it, placementsKind, body);
}

void PeerMessages::send(const std::string &to, const char *kind, const std::string &body)
{
    // What is lost is asked for again, or followed by newer news.
    m_peerLinks.send(to, {wire::Channel::Slices, kind, body});
}

void PeerMessages::receive(const std::string &peer, const wire::Frame &frame, TimePoint now)
{
    const bool isUnderstood = orElse(
        [&] {
            return understand(peer, frame, now);
        },
        [](const Error &) {
            return false;
        });
    if (!isUnderstood)
        m_gateway.metrics
            .counter("kumquathaven_entry_frames_malformed_total",
                     "frames of other entries that were not understood", {{"channel", "slices"}})
            .add();
}

/// Returns whether the message is one that entries send.
Result<bool> PeerMessages::understand(const std::string &peer, const wire::Frame &frame,
                                      TimePoint now)
{
    if (frame.kind == limitsKind)
        return m_gateway.limits.receive(peer, frame.body, now);
    if (frame.kind == listQuestionKind) {
        BOOST_LEAF_AUTO(digest, decodeListRequest(frame.body, peer));
        send(peer, listKind, encodeList(answer(m_sharing, peer, digest, now)));
        return true;
    }
    if (frame.kind == listKind) {
        BOOST_LEAF_AUTO(message, decodeList(frame.body, peer));
        const std::uint64_t before = m_sharing.digest;
        if (takeAnswer(m_sharing, message, now))
            takeList(m_gateway.servers, *m_sharing.servers, m_sharing.readAt);
        if (m_sharing.digest != before)
            logList(peer);
        return true;
    }
    if (frame.kind != placementsKind)
        return false;
    BOOST_LEAF_AUTO(news, decodePeerUpdate(frame.body, peer));
    takeNewsOf(m_gateway.servers, peer, news, now);
    for (const ServerFinding &it : news.findings)
        m_gateway.metrics
            .counter("kumquathaven_server_findings_total",
                     "what other entries told of servers that fail or have new weights",
                     {{"what", std::string(nameOf(findingKindNames, it.kind))}})
            .add();
    return true;
}

} // namespace kumquathaven::gateway
