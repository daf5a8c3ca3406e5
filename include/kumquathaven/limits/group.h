// Placement of a bucket on entry instances: rendezvous hashing selects its home and its standbys.

#ifndef KUMQUATHAVEN_LIMITS_GROUP_H
#define KUMQUATHAVEN_LIMITS_GROUP_H

#include "kumquathaven/catalogue/instances.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace kumquathaven::limits {

/// The maximum number of instances that keep one bucket. A grant needs a majority of them.
constexpr std::size_t maxGroupSize = 3;

/// One instance of a group. A restarted process is a different member, since it has lost its state.
struct GroupMember
{
    std::string name;
    std::uint64_t incarnation = 0;

    bool operator==(const GroupMember &other) const
    {
        return name == other.name && incarnation == other.incarnation;
    }
};

/// The members that keep a bucket: the home first, then its standbys in the order in which they
/// take over.
struct Group
{
    /// The epoch at which this instance first saw the group.
    std::uint64_t formedEpoch = 0;
    std::vector<GroupMember> members;
};

/// Returns the entries that keep \p bucket: the one with the highest rendezvous rank, and standbys
/// in other failure domains as long as there are any. The result depends only on the set of
/// entries, which an epoch identifies.
std::vector<GroupMember> groupMembers(const catalogue::Instances &instances,
                                      const std::string &bucket);

/// Returns the number of members that form a majority.
inline std::size_t majorityOf(const std::vector<GroupMember> &members)
{
    return members.size() / 2 + 1;
}

} // namespace kumquathaven::limits

#endif // KUMQUATHAVEN_LIMITS_GROUP_H
