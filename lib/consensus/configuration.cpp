#include "kumquathaven/consensus/configuration.h"

#include "cborvalues.h"
#include "kumquathaven/wire/cbor.h"

#include <algorithm>

namespace kumquathaven::consensus {

namespace {

constexpr std::size_t maxMembers = 64;
constexpr std::size_t maxInstanceBytes = 255;

bool holds(const std::vector<MemberId> &members, const MemberId &member)
{
    return std::binary_search(members.begin(), members.end(), member);
}

void insert(std::vector<MemberId> &members, const MemberId &member)
{
    members.insert(std::upper_bound(members.begin(), members.end(), member), member);
}

void erase(std::vector<MemberId> &members, const MemberId &member)
{
    members.erase(std::remove(members.begin(), members.end(), member), members.end());
}

boost::leaf::error_id failStep(const MemberId &member, std::string message)
{
    return fail({ErrorCode::InvalidRequest,
                 "consensus.changeMembers",
                 member.instance,
                 std::move(message),
                 Outcome::NotRun,
                 {}});
}

nlohmann::json membersToJson(const std::vector<MemberId> &members)
{
    nlohmann::json value = nlohmann::json::array();
    for (const MemberId &it : members)
        value.push_back(toJson(it));
    return value;
}

std::vector<MemberId> membersFrom(ValueReader &reader, const char *field)
{
    std::vector<MemberId> members;
    for (const nlohmann::json &it : reader.array(field, maxMembers))
        members.push_back(reader.memberFrom(it, maxInstanceBytes));
    reader.require(std::is_sorted(members.begin(), members.end()));
    return members;
}

} // namespace

bool Configuration::isVoter(const MemberId &member) const
{
    return holds(voters, member);
}

bool Configuration::isLearner(const MemberId &member) const
{
    return holds(learners, member);
}

Result<Configuration> applyChange(const Configuration &configuration,
                                  const MembershipChange &change)
{
    Configuration after = configuration;
    const MemberId &member = change.member;
    switch (change.step) {
    case MembershipStep::AddLearner:
        if (member.identity == 0 || member.instance.empty())
            return failStep(member, "the member lacks an instance name or a storage identity");
        if (configuration.contains(member))
            return failStep(member, "the member is already in the group");
        insert(after.learners, member);
        return after;
    case MembershipStep::Promote:
        if (!configuration.isLearner(member))
            return failStep(member, "only a learner can be promoted");
        erase(after.learners, member);
        insert(after.voters, member);
        return after;
    case MembershipStep::Remove:
        if (!configuration.contains(member))
            return failStep(member, "the member is not in the group");
        erase(after.learners, member);
        erase(after.voters, member);
        if (after.voters.empty())
            return failStep(member, "the last voter can't be removed");
        return after;
    }
    return failStep(member, "unknown membership step");
}

std::string encode(const Configuration &configuration)
{
    const nlohmann::json value = {{"voters", membersToJson(configuration.voters)},
                                  {"learners", membersToJson(configuration.learners)}};
    return wire::toCbor(value);
}

Result<Configuration> decodeConfiguration(std::string_view bytes)
{
    BOOST_LEAF_AUTO(value, wire::fromCbor(bytes, "consensus.decodeConfiguration", {}));
    ValueReader reader(value);
    Configuration configuration;
    configuration.voters = membersFrom(reader, "voters");
    configuration.learners = membersFrom(reader, "learners");
    if (!reader.isValid() || configuration.voters.empty()) {
        return fail({ErrorCode::Corrupt,
                     "consensus.decodeConfiguration",
                     {},
                     "the bytes are not a valid configuration",
                     Outcome::NotRun,
                     {}});
    }
    return configuration;
}

bool isConfiguration(std::string_view bytes)
{
    return orElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(decodeConfiguration(bytes));
            return true;
        },
        [](const Error &) {
            return false;
        });
}

} // namespace kumquathaven::consensus
