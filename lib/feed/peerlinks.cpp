#include "kumquathaven/feed/peerlinks.h"

#include "kumquathaven/settings/settings.h"

#include <iterator>

namespace kumquathaven::feed {

void PeerLinks::keep(const catalogue::Instances &instances)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (auto it = m_peerLinks.begin(); it != m_peerLinks.end();) {
        const auto entry = instances.entries.find(it->first);
        const bool stays =
            entry != instances.entries.end() && entry->second.link == it->second.address;
        if (!stays)
            m_hub.disconnect(it->second.link);
        it = stays ? std::next(it) : m_peerLinks.erase(it);
    }
    for (const auto &[name, it] : instances.entries) {
        const settings::Address address = settings::parseAddress(it.link);
        if (name == m_name || address.port == 0 || m_peerLinks.count(name) != 0)
            continue;
        m_peerLinks[name] = {it.link, m_hub.connect(address)};
    }
}

bool PeerLinks::send(const std::string &to, const wire::Frame &frame)
{
    wire::LinkId link = 0;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto it = m_peerLinks.find(to);
        if (it == m_peerLinks.end())
            return false;
        link = it->second.link;
    }
    return orElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(m_hub.send(link, frame));
            return true;
        },
        [](const Error &) {
            return false;
        });
}

} // namespace kumquathaven::feed
