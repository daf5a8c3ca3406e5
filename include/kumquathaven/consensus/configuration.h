// Membership configuration of a log group: its voters and learners, and single-step changes.

#ifndef KUMQUATHAVEN_CONSENSUS_CONFIGURATION_H
#define KUMQUATHAVEN_CONSENSUS_CONFIGURATION_H

#include "kumquathaven/base/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace kumquathaven::consensus {

/// Identifies a member by its instance name and the identity of its storage. An instance that lost
/// its disk rejoins with a new storage identity and is therefore a different member.
struct MemberId
{
    std::string instance;
    std::uint64_t identity = 0;

    friend bool operator==(const MemberId &a, const MemberId &b)
    {
        return a.identity == b.identity && a.instance == b.instance;
    }
    friend bool operator!=(const MemberId &a, const MemberId &b) { return !(a == b); }
    friend bool operator<(const MemberId &a, const MemberId &b)
    {
        return std::tie(a.instance, a.identity) < std::tie(b.instance, b.identity);
    }
};

/// The members as of one log entry. Both lists are sorted and have no member in common.
struct Configuration
{
    /// Members whose votes and acknowledgements count towards a quorum.
    std::vector<MemberId> voters;
    /// Members that receive the log but are not part of any quorum.
    std::vector<MemberId> learners;

    /// Each compares both the instance name and the storage identity.
    bool isVoter(const MemberId &member) const;
    bool isLearner(const MemberId &member) const;
    bool contains(const MemberId &member) const { return isVoter(member) || isLearner(member); }
    bool isEmpty() const { return voters.empty() && learners.empty(); }
};

/// Returns the number of voters that make a majority.
inline std::size_t quorumOf(const Configuration &configuration)
{
    return configuration.voters.size() / 2 + 1;
}

/// One step of a membership change. A step changes at most one voter, so that every majority before
/// the step and every majority after it have a member in common.
enum class MembershipStep { AddLearner, Promote, Remove };

/// Returns the name of a step, for example "addLearner".
std::string_view membershipStepName(MembershipStep step);

/// A membership step and the member that it adds, promotes or removes.
struct MembershipChange
{
    MembershipStep step = MembershipStep::AddLearner;
    MemberId member;
};

/// Returns \p configuration with \p change applied. Fails with InvalidRequest if the change does
/// not apply, for example when it promotes a member that is not a learner or removes the last
/// voter.
Result<Configuration> applyChange(const Configuration &configuration,
                                  const MembershipChange &change);

/// Encodes a configuration as CBOR.
std::string encode(const Configuration &configuration);

/// Decodes a configuration from CBOR. Fails with InvalidRequest or Corrupt if \p bytes are not a
/// valid configuration.
Result<Configuration> decodeConfiguration(std::string_view bytes);

/// Returns whether \p bytes are a valid encoded configuration.
bool isConfiguration(std::string_view bytes);

} // namespace kumquathaven::consensus

#endif // KUMQUATHAVEN_CONSENSUS_CONFIGURATION_H
