// Exchanges with other entries what each knows: the list of servers, placed prompts and
// observations of servers, backlogs at servers, and the use of customers' limits. All of it goes
// along one tree of entries (overlay/member.h).

#ifndef KUMQUATHAVEN_LIB_GATEWAY_PEERMESSAGES_H
#define KUMQUATHAVEN_LIB_GATEWAY_PEERMESSAGES_H

#include "gateway.h"
#include "listsharing.h"
#include "peerupdate.h"
#include "serverlist.h"

#include "kumquathaven/catalogue/instances.h"
#include "kumquathaven/overlay/member.h"
#include "kumquathaven/wire/hub.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace kumquathaven::gateway {

/// Used on the loop's thread only.
class PeerMessages
{
public:
    /// \p self is this entry as it announces itself.
    PeerMessages(const catalogue::Instance &self, Gateway &gateway, wire::Hub &hub);

    /// Applies the current set of instances.
    void updateInstances(const catalogue::Instances &instances, TimePoint now);

    /// Sends due messages, and reads the platform's list if this entry is to read it. To be called
    /// every few tens of milliseconds.
    void tick(TimePoint now);

    /// Returns whether this entry is the root of the tree, and the number of entries that are
    /// connected through it, including this one.
    bool isRoot() const { return m_member.isRoot(); }
    std::uint32_t connectedInstances() const
    {
        return overlay::connectedInstances(m_member.aggregate());
    }

    /// Handle the opening and closing of a link, and a message. Links that are not part of the tree
    /// are ignored. A malformed message is counted.
    void opened(const wire::Peer &peer);
    void closed(const wire::Peer &peer, TimePoint now);
    void received(const wire::Peer &peer, const wire::Frame &frame, TimePoint now);

private:
    Result<bool> dispatch(const wire::Peer &peer, const wire::Frame &frame, TimePoint now);
    void perform(const overlay::MemberEffects &effects, TimePoint now);
    void connect(const std::string &name);
    void disconnect(const std::string &name);
    std::string uplinkOf(wire::LinkId link) const;
    void applyEvent(const overlay::Event &event, TimePoint now);
    void applyQuarantineNews(const PeerUpdate &update, Duration age, TimePoint now);
    void applyVerdict(const overlay::Fact &fact, TimePoint now);
    void applyLevels(TimePoint now);
    void publish(TimePoint now);
    void publishReleases(TimePoint now);
    void shareList(TimePoint now);
    void handleReadList(const std::vector<deployment::ListedServer> &servers, TimePoint now);
    void logObservation(const ServerObservation &observation) const;
    void logList(const std::string &from) const;
    void send(wire::LinkId link, const char *kind, const std::string &body);

    const overlay::TreeNode m_self;
    Gateway &m_gateway;
    wire::Hub &m_hub;
    overlay::Member m_member;
    /// Addresses of the links of all entries in service, by name.
    std::map<std::string, std::string> m_addresses;
    /// Links that this entry opened, by the name of the other entry.
    std::map<std::string, wire::LinkId> m_uplinks;
    TimePoint m_outcomesReportedAt{};
    TimePoint m_releasesReportedAt{};
    /// Keys of the counts about rollouts that were handed to the tree.
    std::set<std::uint64_t> m_releaseKeys;
    ListSharing m_sharing;
    /// Releases of the servers of a list that follows on a link.
    std::map<wire::LinkId, ListReleases> m_releasesOfList;
    ServerListReader m_listReader;
    telemetry::Histogram &m_eventAges;
    telemetry::Gauge &m_connected;
    telemetry::Gauge &m_parentAge;
};

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_PEERMESSAGES_H
