#include "kumquathaven/ledger/codec.h"

#include "fieldreader.h"
#include "kumquathaven/wire/cbor.h"

namespace kumquathaven::ledger {

namespace {

using nlohmann::json;

json attemptJson(const char *kind, const RequestKey &key, const Runner &runner,
                 std::uint64_t attempt)
{
    return {{"kind", kind}, {"key", toJson(key)}, {"runner", toJson(runner)}, {"attempt", attempt}};
}

class Encoder
{
public:
    json operator()(const Begin &command) const
    {
        json value = attemptJson("begin", command.key, command.runner, command.attempt);
        value["fingerprint"] = command.fingerprint;
        value["floor"] = command.floor;
        return value;
    }

    json operator()(const Complete &command) const
    {
        json value = attemptJson("complete", command.key, command.runner, command.attempt);
        value["answer"] = toJson(command.answer);
        return value;
    }

    json operator()(const Lose &command) const
    {
        return attemptJson("lose", command.key, command.runner, command.attempt);
    }

    json operator()(const Abandon &command) const
    {
        json value = attemptJson("abandon", command.key, command.runner, command.attempt);
        value["floor"] = command.floor;
        return value;
    }

    json operator()(const Depart &command) const
    {
        return {{"kind", "depart"}, {"runner", toJson(command.runner)}};
    }

    json operator()(const Advance &command) const
    {
        return {{"kind", "advance"},
                {"source", command.source},
                {"number", command.number},
                {"elapsed", command.elapsed.count()}};
    }
};

Command readCommand(FieldReader &reader)
{
    const std::string kind = reader.name("kind");
    if (kind == "advance")
        return Advance{reader.number("source"), reader.number("number"),
                       reader.duration("elapsed")};
    const Runner runner = reader.runner("runner");
    if (kind == "depart")
        return Depart{runner};
    const RequestKey key = reader.requestKey("key");
    const std::uint64_t attempt = reader.number("attempt");
    if (kind == "begin")
        return Begin{key, reader.name("fingerprint"), runner, attempt, reader.number("floor")};
    if (kind == "complete")
        return Complete{key, runner, attempt, reader.storedAnswer("answer")};
    if (kind == "lose")
        return Lose{key, runner, attempt};
    if (kind == "abandon")
        return Abandon{key, runner, attempt, reader.number("floor")};
    reader.markFailed();
    return Depart{};
}

} // namespace

std::string encodeCommand(const Command &command)
{
    return wire::toCbor(std::visit(Encoder(), command));
}

Result<Command> decodeCommand(std::string_view bytes, const std::string &peer)
{
    BOOST_LEAF_AUTO(value, wire::fromCbor(bytes, decodeStep, peer));
    FieldReader reader(value);
    Command command = readCommand(reader);
    if (reader.hasFailed())
        return fail(malformedError(ErrorCode::InvalidRequest, "the command", peer));
    return command;
}

std::string encodeAnswer(const Answer &answer)
{
    return wire::toCbor({{"kind", nameOf(answerKindNames, answer.kind)},
                         {"stored", toJson(answer.stored)},
                         {"runner", toJson(answer.runner)}});
}

Result<Answer> decodeAnswer(std::string_view bytes, const std::string &peer)
{
    BOOST_LEAF_AUTO(value, wire::fromCbor(bytes, decodeStep, peer));
    FieldReader reader(value);
    const auto kind = valueOf(answerKindNames, reader.name("kind"));
    Answer answer;
    answer.stored = reader.storedAnswer("stored");
    answer.runner = reader.runner("runner");
    if (reader.hasFailed() || !kind)
        return fail(malformedError(ErrorCode::InvalidRequest, "the answer", peer));
    answer.kind = *kind;
    return answer;
}

} // namespace kumquathaven::ledger
