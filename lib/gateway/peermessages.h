// What entries send each other: the list of servers, where shared prompts went, and the use of
// customers' limits.

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

/// Returns the message that carries the use of customers' limits.
wire::Frame limitsFrame(const std::string &body);

/// Used on the loop's thread only.
class PeerMessages
{
public:
    /// \p instance is the name of this entry.
    PeerMessages(std::string instance, Gateway &gateway, feed::PeerLinks &peerLinks);

    /// Takes the instances that live.
    void keep(const catalogue::Instances &instances, TimePoint now);

    /// Sends what is due, and reads the platform's list where that is this entry's part. To be
    /// called every few tens of milliseconds.
    void tick(TimePoint now);

    /// Takes a message of another entry. One that is not understood is counted.
    void receive(const std::string &peer, const wire::Frame &frame, TimePoint now);

private:
    Result<bool> understand(const std::string &peer, const wire::Frame &frame, TimePoint now);
    void shareList(TimePoint now);
    void takeReadList(const std::vector<deployment::ListedServer> &servers, TimePoint now);
    void logFinding(const ServerFinding &finding) const;
    void logList(const std::string &from) const;
    void tellNews(TimePoint now);
    void send(const std::string &to, const char *kind, const std::string &body);

    const std::string m_instance;
    Gateway &m_gateway;
    feed::PeerLinks &m_peerLinks;
    ListSharing m_sharing;
    ServerListReader m_list;
    std::vector<std::string> m_others;
    NewsBudget m_newsBudget;
};

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_PEERMESSAGES_H
