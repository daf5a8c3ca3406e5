#include "memberlinks.h"

#include "kumquathaven/feed/feedtimes.h"
#include "kumquathaven/feed/memberaddresses.h"
#include "kumquathaven/telemetry/log.h"

#include <algorithm>

namespace kumquathaven::feed {

namespace {

std::vector<std::string> textsOf(const std::vector<settings::Address> &addresses)
{
    std::vector<std::string> texts;
    texts.reserve(addresses.size());
    for (const settings::Address &it : addresses)
        texts.push_back(settings::toString(it));
    return texts;
}

std::vector<settings::Address> configuredMembers(const settings::Settings &settings)
{
    std::vector<settings::Address> members;
    for (const settings::Member &it : settings.members)
        members.push_back(it.link);
    if (settings.platform) {
        for (const settings::Address &it : settings.platform->seeds)
            members.push_back(settings::linkOfSeed(settings, it));
    }
    return members;
}

} // namespace

MemberLinks::MemberLinks(const settings::Settings &settings, wire::Hub &hub,
                         const catalogue::Instance &self)
    : m_hub(hub)
    , m_instance(self.name)
    , m_incarnation(self.incarnation)
    , m_configured(configuredMembers(settings))
    , m_search{self.name, searchTimes(settings)}
{
    setListed({});
}

void MemberLinks::setListed(const std::vector<std::string> &listed)
{
    setMembers(m_search, textsOf(memberAddresses(listed, {})),
               textsOf(memberAddresses({}, m_configured)));
}

std::optional<FollowedMember> MemberLinks::search(TimePoint now)
{
    return perform(beginSearch(m_search, now), now);
}

std::optional<FollowedMember> MemberLinks::review(TimePoint now)
{
    return perform(reviewSearch(m_search, now), now);
}

std::optional<FollowedMember> MemberLinks::opened(wire::LinkId link, const std::string &peer,
                                                  TimePoint now)
{
    m_peers[link] = peer;
    return perform(recordOpened(m_search, m_members.at(link), now), now);
}

std::optional<FollowedMember> MemberLinks::closed(wire::LinkId link, TimePoint now)
{
    m_peers.erase(link);
    return perform(recordClosed(m_search, m_members.at(link), now), now);
}

std::optional<FollowedMember> MemberLinks::receive(wire::LinkId link, const Proof &proof,
                                                   TimePoint now)
{
    return perform(recordProof(m_search, m_members.at(link), proof.number, proof.age, now), now);
}

std::optional<FollowedMember> MemberLinks::perform(const SearchStep &step, TimePoint now)
{
    for (const std::string &it : step.disconnect)
        disconnect(it);
    for (const std::string &it : step.connect) {
        const wire::LinkId link = m_hub.connect(settings::parseAddress(it));
        m_links[it] = link;
        m_members[link] = it;
        const auto known = m_search.members.find(it);
        const bool isListed = known != m_search.members.end() && known->second;
        telemetry::logLine(telemetry::LogLevel::Info, "feed", "connecting to a control member",
                           {{"member", it}, {"listed", isListed ? "yes" : "no"}});
    }
    for (const Probe &it : step.probes)
        send(it);
    if (step.follow.empty())
        return std::nullopt;
    const FollowedMember followed{m_links.at(step.follow), m_peers[m_links.at(step.follow)]};
    telemetry::logLine(telemetry::LogLevel::Info, "feed", "following another control member",
                       {{"member", step.follow},
                        {"sound", m_search.isActive ? "no" : "yes"},
                        {"searchedMs",
                         std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                                            now - m_search.beganAt)
                                            .count())}});
    return followed;
}

void MemberLinks::disconnect(const std::string &member)
{
    const auto it = m_links.find(member);
    if (it == m_links.end())
        return;
    m_hub.disconnect(it->second);
    m_members.erase(it->second);
    m_peers.erase(it->second);
    m_links.erase(it);
}

void MemberLinks::send(const Probe &probe)
{
    // A probe that cannot be sent is followed by another one.
    orElse(
        [&] {
            return m_hub.send(m_links.at(probe.member),
                              toFrame(ProofRequest{probe.number, m_instance, m_incarnation}));
        },
        [](const Error &) {});
}

} // namespace kumquathaven::feed
