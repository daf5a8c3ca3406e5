#include "kumquathaven/wire/frame.h"

#include "kumquathaven/base/enumnames.h"
#include "kumquathaven/wire/cbor.h"

#include <nlohmann/json.hpp>

namespace kumquathaven::wire {

namespace {

constexpr std::array<EnumName<Channel>, channelCount> channelNames{{
    {Channel::Consensus, "consensus"},
    {Channel::Feed, "feed"},
    {Channel::Ledger, "ledger"},
    {Channel::Slices, "slices"},
    {Channel::Answers, "answers"},
    {Channel::Quarantine, "quarantine"},
}};

} // namespace

std::string_view channelName(Channel channel)
{
    return nameOf(channelNames, channel);
}

std::string encodeFrame(const Frame &frame)
{
    return toCbor(
        nlohmann::json::array({static_cast<int>(frame.channel), frame.kind, binary(frame.body)}));
}

Result<Frame> decodeFrame(std::string_view bytes, const std::string &peer)
{
    const auto malformed = [&peer] {
        return fail({ErrorCode::InvalidRequest,
                     "wire.decode",
                     peer,
                     "not a valid frame",
                     Outcome::NotRun,
                     {}});
    };
    BOOST_LEAF_AUTO(value, fromCbor(bytes, "wire.decode", peer));
    if (!value.is_array() || value.size() != 3)
        return malformed();
    if (!value[0].is_number_unsigned() || !value[1].is_string() || !value[2].is_binary())
        return malformed();
    const auto channel = value[0].get<std::uint64_t>();
    if (channel >= channelCount)
        return malformed();
    const auto &body = value[2].get_binary();
    return Frame{static_cast<Channel>(channel), value[1].get<std::string>(),
                 std::string(body.begin(), body.end())};
}

} // namespace kumquathaven::wire
