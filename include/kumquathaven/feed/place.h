// Derives an identifier of a resource that only one process at a time can hold: the listening
// socket for links.

#ifndef KUMQUATHAVEN_FEED_PLACE_H
#define KUMQUATHAVEN_FEED_PLACE_H

#include "kumquathaven/settings/settings.h"

#include <cstdint>
#include <string>

namespace kumquathaven::feed {

/// The scope within which two sockets cannot listen at the same address.
struct LocalNetwork
{
    /// Identifier of the machine's boot; it changes with each boot.
    std::string bootId;
    /// Network namespace of this process.
    std::string networkNamespace;
};

/// Reads the network of this process from the kernel. A value that cannot be read is left empty.
LocalNetwork localNetwork();

/// Returns the place of a process that listens at \p link, or zero if it cannot be proven that only
/// one process can listen there.
std::uint64_t placeOf(const LocalNetwork &network, const settings::Address &link);

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_FEED_PLACE_H
