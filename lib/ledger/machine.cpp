#include "kumquathaven/ledger/machine.h"

#include "fieldreader.h"
#include "kumquathaven/ledger/codec.h"
#include "kumquathaven/wire/cbor.h"

namespace kumquathaven::ledger {

namespace {

using nlohmann::json;

json runnersJson(const State &state)
{
    json list = json::array();
    for (const Runner &it : knownRunners(state))
        list.push_back(toJson(it));
    return list;
}

} // namespace

Result<std::set<Runner>> decodeRunners(std::string_view bytes, const std::string &peer)
{
    BOOST_LEAF_AUTO(value, wire::fromCbor(bytes, decodeStep, peer));
    const json wrapped = {{"runners", value}};
    FieldReader reader(wrapped);
    const json &list = reader.child("runners");
    if (!list.is_array())
        return fail(malformedError(ErrorCode::InvalidRequest, "the list of runners", peer));
    std::set<Runner> runners;
    for (const json &it : list) {
        const json item = {{"runner", it}};
        FieldReader itemReader(item);
        runners.insert(itemReader.runner("runner"));
        if (itemReader.hasFailed())
            return fail(malformedError(ErrorCode::InvalidRequest, "a runner", peer));
    }
    return runners;
}

StateMachine makeStateMachine(std::shared_ptr<State> state)
{
    StateMachine machine;
    machine.apply = [state](std::uint64_t, std::string_view command) {
        return orElse(
            [&]() -> Result<std::string> {
                BOOST_LEAF_AUTO(decoded, decodeCommand(command, "log"));
                return encodeAnswer(ledger::apply(*state, decoded));
            },
            [](const Error &) {
                // An empty string is not a valid answer, so the sender does not run the request.
                return std::string();
            });
    };
    machine.read = [state](std::string_view) {
        return wire::toCbor(runnersJson(*state));
    };
    machine.save = [state] {
        return encodeState(*state);
    };
    machine.restore = [state](std::string_view bytes) -> Result<void> {
        BOOST_LEAF_AUTO(restored, decodeState(bytes, "snapshot"));
        restored.bounds = state->bounds;
        *state = std::move(restored);
        return {};
    };
    return machine;
}

} // namespace kumquathaven::ledger
