#include "kumquathaven/feed/commandframe.h"

#include "kumquathaven/wire/cbor.h"

#include <nlohmann/json.hpp>

namespace kumquathaven::feed {

namespace {

constexpr const char *frameKind = "command";

} // namespace

wire::Frame toFrame(const CommandFrame &command)
{
    return {wire::Channel::Ledger, frameKind,
            wire::toCbor(nlohmann::json::array({command.number, wire::binary(command.bytes)}))};
}

Result<CommandFrame> commandFrame(const wire::Frame &frame, const std::string &peer)
{
    BOOST_LEAF_AUTO(body, wire::fromCbor(frame.body, "feed.command", peer));
    const bool isWellFormed = frame.kind == frameKind && body.is_array() && body.size() == 2
        && body[0].is_number_unsigned() && body[1].is_binary();
    if (!isWellFormed)
        return fail({ErrorCode::InvalidRequest,
                     "feed.command",
                     peer,
                     "malformed command frame",
                     Outcome::NotRun,
                     {}});
    const auto &bytes = body[1].get_binary();
    return CommandFrame{body[0].get<std::uint64_t>(), std::string(bytes.begin(), bytes.end())};
}

} // namespace kumquathaven::feed
