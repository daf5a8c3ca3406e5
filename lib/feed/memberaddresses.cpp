#include "kumquathaven/feed/memberaddresses.h"

#include <algorithm>

namespace kumquathaven::feed {

std::vector<settings::Address> memberAddresses(const std::vector<std::string> &listed,
                                               const std::vector<settings::Address> &configured)
{
    std::vector<settings::Address> members;
    const auto add = [&members](const settings::Address &address) {
        const bool isKnown =
            std::any_of(members.begin(), members.end(), [&](const settings::Address &it) {
                return it.host == address.host && it.port == address.port;
            });
        if (address.port != 0 && !isKnown)
            members.push_back(address);
    };
    for (const std::string &it : listed)
        add(settings::parseAddress(it));
    for (const settings::Address &it : configured)
        add(it);
    return members;
}

} // namespace kumquathaven::feed
