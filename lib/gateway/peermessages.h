// Sends and receives the messages between entries: the list of servers, updates on placed prompts
// and servers, and the use of customers' limits.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_PEERMESSAGES_H
#define KUMQUATHAVEN_LIB_GATEWAY_PEERMESSAGES_H

#include "gateway.h"
#include "listsharing.h"
#include "serverlist.h"
#include "updatebudget.h"

#include "kumquathaven/feed/peerlinks.h"
#include "kumquathaven/wire/frame.h"

#include <string>
#include <vector>

namespace kumquathaven::gateway {

/// Returns the message that reports the use of customers' limits.
wire::Frame limitsFrame(const std::string &body);

/// Used on the loop's thread only.
class PeerMessages
{
public:
    /// \p instance is the name of this entry.
    PeerMessages(std::string instance, Gateway &gateway, feed::PeerLinks &peerLinks);

    /// Applies the current set of instances.
    void updateInstances(const catalogue::Instances &instances, TimePoint now);

    /// Sends due messages, and reads the platform's list if this entry is to read it. To be called
    /// every few tens of milliseconds.
    void tick(TimePoint now);

    /// Handles a message of another entry. A malformed message is counted.
    void handleMessage(const std::string &peer, const wire::Frame &frame, TimePoint now);

private:
    Result<bool> dispatch(const std::string &peer, const wire::Frame &frame, TimePoint now);
    void shareList(TimePoint now);
    void handleReadList(const std::vector<deployment::ListedServer> &servers, TimePoint now);
    void logObservation(const ServerObservation &observation) const;
    void logList(const std::string &from) const;
    void sendUpdates(TimePoint now);
    void send(const std::string &to, const char *kind, const std::string &body);

    const std::string m_instance;
    Gateway &m_gateway;
    feed::PeerLinks &m_peerLinks;
    ListSharing m_sharing;
    ServerListReader m_listReader;
    std::vector<std::string> m_peerNames;
    UpdateBudget m_updateBudget;
};

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_PEERMESSAGES_H
