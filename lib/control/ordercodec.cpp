#include "ordercodec.h"

#include "kumquathaven/wire/cbor.h"

#include <nlohmann/json.hpp>

#include <limits>

namespace kumquathaven::control {

namespace {

using nlohmann::json;
using routing::CloseOrder;
using routing::OpenOrder;
using routing::OrderCommand;
using routing::OrderState;
using routing::SendOrder;
using routing::TakeOver;

/// The alternatives of OrderCommand, in the same order.
enum class CommandKind { TakeOver, Send, Close };

constexpr std::array<EnumName<CommandKind>, 3> commandKindNames{{
    {CommandKind::TakeOver, "takeOver"},
    {CommandKind::Send, "sendOrder"},
    {CommandKind::Close, "closeOrder"},
}};

struct BodyWriter
{
    json operator()(const TakeOver &it) const
    {
        return {{"holder", it.holder}, {"source", it.source}};
    }
    json operator()(const SendOrder &it) const { return toJson(it.open); }
    json operator()(const CloseOrder &it) const
    {
        return {{"fence", it.fence},
                {"upstream", it.upstream},
                {"id", it.id},
                {"end", nameOf(routing::orderEndNames, it.end)}};
    }
};

/// Parses the name of an enumerator. An unknown name throws an exception type of the JSON library,
/// so that all malformed fields are handled in one place.
template <typename Enum, std::size_t N>
Enum enumOf(const std::array<EnumName<Enum>, N> &names, const json &value)
{
    const auto found = valueOf(names, value.get<std::string>());
    if (!found)
        throw json::other_error::create(501, "unknown enumerator name", nullptr);
    return *found;
}

/// Parses a non-negative integer. Without the check the JSON library would silently convert
/// negative and fractional numbers.
std::uint64_t numberOf(const json &value)
{
    if (!value.is_number_unsigned())
        throw json::other_error::create(501, "not a whole number", nullptr);
    return value.get<std::uint64_t>();
}

std::map<std::string, std::uint32_t> failuresOf(const json &value)
{
    std::map<std::string, std::uint32_t> failures;
    for (const auto &[upstream, counted] : value.get_ref<const json::object_t &>()) {
        const std::uint64_t count = numberOf(counted);
        if (count > std::numeric_limits<std::uint32_t>::max())
            throw json::other_error::create(501, "failure count is too large", nullptr);
        failures[upstream] = static_cast<std::uint32_t>(count);
    }
    return failures;
}

OpenOrder openOrderOf(const json &value)
{
    OpenOrder open;
    open.incarnation = numberOf(value.at("incarnation"));
    routing::Order &order = open.order;
    order.id = value.at("id").get<std::string>();
    order.fence = numberOf(value.at("fence"));
    order.upstream = value.at("upstream").get<std::string>();
    order.kind = enumOf(routing::orderKindNames, value.at("kind"));
    order.weightsVersion = value.at("weightsVersion").get<std::string>();
    order.adapters = value.at("adapters").get<std::vector<std::string>>();
    order.role = value.at("role").get<std::string>();
    return open;
}

OrderCommand commandOf(const json &value)
{
    const json &body = value.at(1);
    switch (enumOf(commandKindNames, value.at(0))) {
    case CommandKind::TakeOver:
        return TakeOver{body.at("holder").get<std::string>(), numberOf(body.at("source"))};
    case CommandKind::Send:
        return SendOrder{openOrderOf(body)};
    case CommandKind::Close:
        break;
    }
    return CloseOrder{numberOf(body.at("fence")), body.at("upstream").get<std::string>(),
                      body.at("id").get<std::string>(),
                      enumOf(routing::orderEndNames, body.at("end"))};
}

OrderState stateOf(const json &value)
{
    OrderState state;
    state.fence = numberOf(value.at("fence"));
    state.holder = value.at("holder").get<std::string>();
    state.source = numberOf(value.at("source"));
    for (const json &it : value.at("open")) {
        OpenOrder open = openOrderOf(it);
        state.open[open.order.upstream] = std::move(open);
    }
    state.failures = failuresOf(value.at("failures"));
    return state;
}

/// Calls \p read and converts exceptions of the JSON library to an error.
template <typename Read>
auto readOr(ErrorCode code, const std::string &step, Read read) -> Result<decltype(read())>
{
    try {
        return read();
    } catch (const json::exception &e) {
        return fail({code, step, {}, e.what(), Outcome::NotRun, {}});
    }
}

} // namespace

std::string encodeOrderCommand(const OrderCommand &command)
{
    const auto kind = static_cast<CommandKind>(command.index());
    return wire::toCbor(
        json::array({nameOf(commandKindNames, kind), std::visit(BodyWriter{}, command)}));
}

Result<OrderCommand> orderCommandFromJson(const json &value)
{
    return readOr(ErrorCode::InvalidRequest, "orders.readCommand", [&] {
        return commandOf(value);
    });
}

json toJson(const OpenOrder &open)
{
    const routing::Order &order = open.order;
    return {{"incarnation", open.incarnation},
            {"id", order.id},
            {"fence", order.fence},
            {"upstream", order.upstream},
            {"kind", nameOf(routing::orderKindNames, order.kind)},
            {"weightsVersion", order.weightsVersion},
            {"adapters", order.adapters},
            {"role", order.role}};
}

json toJson(const OrderState &state)
{
    json open = json::array();
    for (const auto &it : state.open)
        open.push_back(toJson(it.second));
    return {{"fence", state.fence},
            {"holder", state.holder},
            {"source", state.source},
            {"open", open},
            {"failures", state.failures}};
}

Result<OrderState> orderStateFromJson(const json &value)
{
    return readOr(ErrorCode::Corrupt, "orders.readState", [&] {
        return stateOf(value);
    });
}

} // namespace kumquathaven::control
