#include "membermessages.h"

#include "kumquathaven/base/enumnames.h"
#include "kumquathaven/wire/cbor.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace kumquathaven::control {

namespace {

using nlohmann::json;

/// Ages of heartbeats are clamped to this value, which is longer than any lease.
constexpr Duration maxAge = std::chrono::minutes(10);

/// The alternatives of MemberMessage, in the same order.
enum class Kind {
    Ask,
    Proof,
    Forward,
    MembershipQuery,
    MembershipReply,
    Log,
    Relay,
    Report,
    WeightsAges
};

constexpr std::array<EnumName<Kind>, 9> kindNames{{
    {Kind::Ask, "ask"},
    {Kind::Proof, "proof"},
    {Kind::Forward, "forward"},
    {Kind::MembershipQuery, "askBelonging"},
    {Kind::MembershipReply, "tellBelonging"},
    {Kind::Log, "log"},
    {Kind::Relay, "relay"},
    {Kind::Report, "rollout"},
    {Kind::WeightsAges, "weightsAges"},
}};

struct BodyWriter
{
    std::string operator()(const MemberProofRequest &it) const
    {
        json heartbeats = json::array();
        for (const InstanceHeartbeat &each : it.heartbeats)
            heartbeats.push_back(json::array({each.name, each.incarnation, each.age.count()}));
        return wire::toCbor(json::array({it.number, heartbeats}));
    }
    std::string operator()(const MemberProof &it) const
    {
        return wire::toCbor(json::array({it.number, it.index, it.age.count()}));
    }
    std::string operator()(const ForwardChange &it) const { return it.change; }
    std::string operator()(const MembershipQuery &it) const
    {
        return wire::toCbor(json::array({it.group}));
    }
    std::string operator()(const MembershipReply &it) const
    {
        return wire::toCbor(json::array({it.group, it.belongs ? 1U : 0U}));
    }
    // The bytes of a log message are already CBOR.
    std::string operator()(const LogMessage &it) const { return it.bytes; }
    std::string operator()(const ForwardReport &it) const { return it.body; }
    std::string operator()(const feed::WeightsAges &it) const { return feed::toFrame(it).body; }
    std::string operator()(const RelayedCommand &it) const
    {
        return wire::toCbor(json::array(
            {it.isAnswer ? 1U : 0U, it.origin, it.link, it.number, wire::binary(it.bytes)}));
    }
};

bool areNumbers(const json &body, std::size_t count)
{
    const auto isNumber = [](const json &it) {
        return it.is_number_unsigned();
    };
    return body.is_array() && body.size() == count
        && std::all_of(body.begin(), body.end(), isNumber);
}

std::optional<MemberMessage> readProofRequest(const json &body)
{
    const bool isWellFormed =
        body.is_array() && body.size() == 2 && body[0].is_number_unsigned() && body[1].is_array();
    if (!isWellFormed)
        return std::nullopt;
    MemberProofRequest ask;
    ask.number = body[0].get<std::uint64_t>();
    for (const json &it : body[1]) {
        const bool isHeartbeat = it.is_array() && it.size() == 3 && it[0].is_string()
            && it[1].is_number_unsigned() && it[2].is_number_unsigned();
        if (!isHeartbeat)
            return std::nullopt;
        const auto age = std::min<std::uint64_t>(it[2].get<std::uint64_t>(), maxAge.count());
        ask.heartbeats.push_back(
            {it[0].get<std::string>(), it[1].get<std::uint64_t>(), Duration(age)});
    }
    return ask;
}

std::optional<MemberMessage> readRelay(const json &body)
{
    constexpr std::size_t numberCount = 4;
    if (!body.is_array() || body.size() != numberCount + 1 || !body[numberCount].is_binary())
        return std::nullopt;
    for (std::size_t n = 0; n < numberCount; ++n) {
        if (!body[n].is_number_unsigned())
            return std::nullopt;
    }
    const auto &bytes = body[numberCount].get_binary();
    return RelayedCommand{body[0].get<std::uint64_t>() != 0, body[1].get<std::uint64_t>(),
                          body[2].get<std::uint64_t>(), body[3].get<std::uint64_t>(),
                          std::string(bytes.begin(), bytes.end())};
}

std::optional<MemberMessage> readNumbers(Kind kind, const json &body)
{
    const auto at = [&body](std::size_t n) {
        return body[n].get<std::uint64_t>();
    };
    constexpr std::uint64_t maxDuration = std::numeric_limits<Duration::rep>::max();
    constexpr std::uint64_t maxGroup = std::numeric_limits<std::uint32_t>::max();
    if (kind == Kind::Proof && areNumbers(body, 3) && at(2) <= maxDuration)
        return MemberProof{at(0), at(1), Duration(at(2))};
    if (kind == Kind::MembershipQuery && areNumbers(body, 1) && at(0) <= maxGroup)
        return MembershipQuery{static_cast<std::uint32_t>(at(0))};
    if (kind == Kind::MembershipReply && areNumbers(body, 2) && at(0) <= maxGroup)
        return MembershipReply{static_cast<std::uint32_t>(at(0)), at(1) != 0};
    return std::nullopt;
}

} // namespace

wire::Frame toFrame(const MemberMessage &message)
{
    const auto kind = static_cast<Kind>(message.index());
    return {wire::Channel::Consensus, std::string(nameOf(kindNames, kind)),
            std::visit(BodyWriter(), message)};
}

Result<MemberMessage> memberMessage(const wire::Frame &frame, const std::string &peer)
{
    const auto kind = valueOf(kindNames, frame.kind);
    if (kind == Kind::Log)
        return MemberMessage(LogMessage{frame.body});
    if (kind == Kind::Forward)
        return MemberMessage(ForwardChange{frame.body});
    if (kind == Kind::Report)
        return MemberMessage(ForwardReport{frame.body});
    if (kind == Kind::WeightsAges) {
        // The message has the name and the body that it has on the feed.
        BOOST_LEAF_AUTO(ages, feed::fromFrame(frame, peer));
        return MemberMessage(std::get<feed::WeightsAges>(std::move(ages)));
    }
    BOOST_LEAF_AUTO(body, wire::fromCbor(frame.body, "control.member", peer));
    std::optional<MemberMessage> message;
    if (kind == Kind::Ask)
        message = readProofRequest(body);
    else if (kind == Kind::Relay)
        message = readRelay(body);
    else if (kind)
        message = readNumbers(*kind, body);
    if (!message)
        return fail({ErrorCode::InvalidRequest,
                     "control.member",
                     peer,
                     "malformed message of kind \"" + frame.kind + "\"",
                     Outcome::NotRun,
                     {}});
    return Result<MemberMessage>(std::move(*message));
}

} // namespace kumquathaven::control
