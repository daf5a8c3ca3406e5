#include "kumquathaven/feed/place.h"

#include "kumquathaven/base/hash.h"

#include <filesystem>
#include <fstream>

namespace kumquathaven::feed {

LocalNetwork localNetwork()
{
    LocalNetwork network;
    std::ifstream bootId("/proc/sys/kernel/random/boot_id");
    std::getline(bootId, network.bootId);
    std::error_code ec;
    network.networkNamespace = std::filesystem::read_symlink("/proc/self/ns/net", ec).string();
    return network;
}

std::uint64_t placeOf(const LocalNetwork &network, const settings::Address &link)
{
    const bool isExclusive =
        !network.bootId.empty() && !network.networkNamespace.empty() && link.port != 0;
    if (!isExclusive)
        return 0;
    return stableHash(network.bootId + "/" + network.networkNamespace + "/"
                      + settings::toString(link));
}

} // namespace kumquathaven::feed
