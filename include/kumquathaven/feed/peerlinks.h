// The outgoing links of an entry to the other entries.

#ifndef KUMQUATHAVEN_FEED_PEERLINKS_H
#define KUMQUATHAVEN_FEED_PEERLINKS_H

#include "kumquathaven/catalogue/instances.h"
#include "kumquathaven/wire/hub.h"

#include <map>
#include <mutex>
#include <string>

namespace kumquathaven::feed {

/// Maintains one outgoing link to each other entry. All functions are thread-safe.
class PeerLinks
{
public:
    PeerLinks(std::string ownName, wire::Hub &hub)
        : m_name(std::move(ownName))
        , m_hub(hub)
    { }

    /// Connects to entries that are new or whose address changed, and disconnects from entries that
    /// have departed.
    void keep(const catalogue::Instances &instances);

    /// Queues a frame for the entry named \p to. Returns false if no open link to it has room for
    /// the frame.
    bool send(const std::string &to, const wire::Frame &frame);

private:
    struct PeerLink
    {
        std::string address;
        wire::LinkId link = 0;
    };

    const std::string m_name;
    wire::Hub &m_hub;
    std::mutex m_mutex;
    std::map<std::string, PeerLink> m_peerLinks;
};

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_FEED_PEERLINKS_H
