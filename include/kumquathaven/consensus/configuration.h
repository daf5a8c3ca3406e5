// The members of one log group.

#ifndef KUMQUATHAVEN_CONSENSUS_CONFIGURATION_H
#define KUMQUATHAVEN_CONSENSUS_CONFIGURATION_H

#include "kumquathaven/base/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace kumquathaven::consensus {

/// A member: an instance together with the identity of its storage. An instance that lost its disk
/// comes back as another member.
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

/// The members at one point of the log. Both lists are sorted and have no member in common.
struct Configuration
{
    /// Members whose votes and acknowledgements count.
    std::vector<MemberId> voters;
    /// Members that receive the log and never count.
    std::vector<MemberId> learners;

    /// Whether a member is in one of the lists, by name and storage identity.
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

/// One step of a membership change. Each changes at most one voter, so that the majorities before
/// and after a step always have a member in common.
enum class MembershipStep { AddLearner, Promote, Remove };

/// Returns the name of a step, for example "addLearner".
std::string_view membershipStepName(MembershipStep step);

/// A step and the member it is about.
struct MembershipChange
{
    MembershipStep step = MembershipStep::AddLearner;
    MemberId member;
};

/// Returns the configuration after a change. InvalidRequest if the change doesn't fit, for example
/// promoting a member that is no learner or removing the last voter.
Result<Configuration> applyChange(const Configuration &configuration,
                                  const MembershipChange &change);

/// Encodes a configuration as CBOR.
std::string encode(const Configuration &configuration);

/// Decodes a configuration. InvalidRequest or Corrupt if the bytes are not one.
Result<Configuration> decodeConfiguration(std::string_view bytes);

/// Returns whether the bytes are an encoded configuration.
bool isConfiguration(std::string_view bytes);

} // namespace kumquathaven::consensus

#endif // KUMQUATHAVEN_CONSENSUS_CONFIGURATION_H
