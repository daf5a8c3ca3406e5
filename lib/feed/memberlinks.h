// The links of an entry instance to the control members: performs what the search for a member
// decides.

#ifndef KUMQUATHAVEN_LIB_FEED_MEMBERLINKS_H
#define KUMQUATHAVEN_LIB_FEED_MEMBERLINKS_H

#include "kumquathaven/catalogue/catalogue.h"
#include "kumquathaven/feed/membersearch.h"
#include "kumquathaven/feed/messages.h"
#include "kumquathaven/settings/settings.h"
#include "kumquathaven/wire/hub.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquathaven::feed {

/// A member that is followed from now on.
struct FollowedMember
{
    wire::LinkId link = 0;
    /// Name of the member.
    std::string peer;
};

/// Opens and closes links to control members and sends probes over them. To be used on the client's
/// thread only. Each function returns the member to follow from now on, if it changes.
class MemberLinks
{
public:
    MemberLinks(const settings::Settings &settings, wire::Hub &hub,
                const catalogue::Instance &self);

    /// Adopts the members that the control state lists.
    void setListed(const std::vector<std::string> &listed);

    std::optional<FollowedMember> search(TimePoint now);
    std::optional<FollowedMember> review(TimePoint now);
    std::optional<FollowedMember> opened(wire::LinkId link, const std::string &peer, TimePoint now);
    std::optional<FollowedMember> closed(wire::LinkId link, TimePoint now);
    std::optional<FollowedMember> receive(wire::LinkId link, const Proof &proof, TimePoint now);

    bool isSearching() const { return m_search.isActive; }

    /// Returns whether a link leads to a member that is followed or takes part in the search.
    bool contains(wire::LinkId link) const { return m_members.count(link) > 0; }

private:
    std::optional<FollowedMember> perform(const SearchStep &step, TimePoint now);
    void disconnect(const std::string &member);
    void send(const Probe &probe);

    wire::Hub &m_hub;
    const std::string m_instance;
    const std::uint64_t m_incarnation;
    std::vector<settings::Address> m_configured;
    MemberSearch m_search;
    std::map<std::string, wire::LinkId> m_links;
    /// The members by link, and the names of those whose links are open.
    std::map<wire::LinkId, std::string> m_members;
    std::map<wire::LinkId, std::string> m_peers;
};

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_LIB_FEED_MEMBERLINKS_H
