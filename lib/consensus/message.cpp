#include "kumquathaven/consensus/message.h"

#include "cborvalues.h"
#include "kumquathaven/wire/cbor.h"

#include <array>

namespace kumquathaven::consensus {

namespace {

/// Names of the message types on the wire, indexed by the alternatives of MessageBody.
constexpr std::array<std::string_view, std::variant_size_v<MessageBody>> typeNames{
    "vote", "voted", "append", "appended", "snapshot", "snapshotted", "transfer", "join"};

nlohmann::json toJson(const Entry &entry)
{
    return {{"index", entry.index},
            {"term", entry.term},
            {"kind", static_cast<std::uint8_t>(entry.kind)},
            {"data", wire::binary(entry.data)}};
}

nlohmann::json toJson(const VoteRequest &body)
{
    return {{"preVote", body.preVote},
            {"transfer", body.transfer},
            {"lastIndex", body.lastIndex},
            {"lastTerm", body.lastTerm}};
}

nlohmann::json toJson(const VoteResponse &body)
{
    return {{"preVote", body.preVote},
            {"granted", body.granted},
            {"removedAt", body.removalIndex},
            {"removedTerm", body.removalTerm}};
}

nlohmann::json toJson(const AppendRequest &body)
{
    nlohmann::json entries = nlohmann::json::array();
    for (const Entry &it : body.entries)
        entries.push_back(toJson(it));
    return {{"previousIndex", body.previousIndex},
            {"previousTerm", body.previousTerm},
            {"commitIndex", body.commitIndex},
            {"round", body.round},
            {"entries", std::move(entries)}};
}

nlohmann::json toJson(const AppendResponse &body)
{
    nlohmann::json value = {
        {"accepted", body.accepted}, {"index", body.index}, {"round", body.round}};
    if (body.leaving)
        value["leaving"] = true;
    return value;
}

nlohmann::json toJson(const SnapshotRequest &body)
{
    return {{"index", body.index},
            {"term", body.term},
            {"configuration", wire::binary(body.configuration)},
            {"totalBytes", body.totalBytes},
            {"offset", body.offset},
            {"round", body.round},
            {"piece", wire::binary(body.chunk)}};
}

nlohmann::json toJson(const SnapshotResponse &body)
{
    return {{"index", body.index}, {"nextOffset", body.nextOffset}, {"round", body.round}};
}

nlohmann::json toJson(const TransferRequest &)
{
    return nlohmann::json::object();
}

nlohmann::json toJson(const JoinRequest &)
{
    return nlohmann::json::object();
}

Entry entryFrom(ValueReader &reader, const MessageLimits &limits)
{
    Entry entry;
    entry.index = reader.number("index");
    entry.term = reader.number("term");
    const std::uint64_t kind = reader.number("kind");
    reader.require(kind <= static_cast<std::uint64_t>(EntryKind::Configuration));
    entry.kind = reader.isValid() ? static_cast<EntryKind>(kind) : EntryKind::Noop;
    entry.data = reader.bytes("data", limits.maxBytes);
    return entry;
}

void read(ValueReader &reader, VoteRequest &body, const MessageLimits &)
{
    body.preVote = reader.flag("preVote");
    body.transfer = reader.flag("transfer");
    body.lastIndex = reader.number("lastIndex");
    body.lastTerm = reader.number("lastTerm");
}

void read(ValueReader &reader, VoteResponse &body, const MessageLimits &)
{
    body.preVote = reader.flag("preVote");
    body.granted = reader.flag("granted");
    body.removalIndex = reader.number("removedAt");
    body.removalTerm = reader.number("removedTerm");
}

void read(ValueReader &reader, AppendRequest &body, const MessageLimits &limits)
{
    body.previousIndex = reader.number("previousIndex");
    body.previousTerm = reader.number("previousTerm");
    body.commitIndex = reader.number("commitIndex");
    body.round = reader.number("round");
    for (const nlohmann::json &it : reader.array("entries", limits.maxEntries)) {
        ValueReader item(it);
        body.entries.push_back(entryFrom(item, limits));
        reader.requireBound(!item.isTooLarge());
        reader.require(item.isValid());
    }
}

void read(ValueReader &reader, AppendResponse &body, const MessageLimits &)
{
    body.accepted = reader.flag("accepted");
    body.index = reader.number("index");
    body.round = reader.number("round");
    body.leaving = reader.flagOr("leaving", false);
}

void read(ValueReader &reader, SnapshotRequest &body, const MessageLimits &limits)
{
    body.index = reader.number("index");
    body.term = reader.number("term");
    body.configuration = reader.bytes("configuration", limits.maxBytes);
    body.totalBytes = reader.number("totalBytes");
    body.offset = reader.number("offset");
    body.round = reader.number("round");
    body.chunk = reader.bytes("piece", limits.maxBytes);
}

void read(ValueReader &reader, SnapshotResponse &body, const MessageLimits &)
{
    body.index = reader.number("index");
    body.nextOffset = reader.number("nextOffset");
    body.round = reader.number("round");
}

void read(ValueReader &, TransferRequest &, const MessageLimits &) { }

void read(ValueReader &, JoinRequest &, const MessageLimits &) { }

template <typename Body>
MessageBody readBody(ValueReader &reader, const MessageLimits &limits)
{
    Body body;
    read(reader, body, limits);
    return body;
}

/// Readers of the message bodies, indexed by the alternatives of MessageBody.
constexpr std::array<MessageBody (*)(ValueReader &, const MessageLimits &),
                     std::variant_size_v<MessageBody>>
    bodyReaders{readBody<VoteRequest>,     readBody<VoteResponse>,    readBody<AppendRequest>,
                readBody<AppendResponse>,  readBody<SnapshotRequest>, readBody<SnapshotResponse>,
                readBody<TransferRequest>, readBody<JoinRequest>};

MessageBody bodyFrom(ValueReader &reader, const MessageLimits &limits)
{
    const std::string name = reader.text("type", limits.maxNameBytes);
    for (std::size_t n = 0; n < typeNames.size(); ++n) {
        if (typeNames[n] == name)
            return bodyReaders[n](reader, limits);
    }
    reader.require(false);
    return JoinRequest{};
}

boost::leaf::error_id failDecode(ErrorCode code, const char *message)
{
    return fail({code, "consensus.decodeMessage", {}, message, Outcome::NotRun, {}});
}

} // namespace

nlohmann::json toJson(const Message &message)
{
    nlohmann::json value = std::visit(
        [](const auto &body) {
            return toJson(body);
        },
        message.body);
    value["type"] = typeNames[message.body.index()];
    value["group"] = message.group;
    value["messageTerm"] = message.term;
    value["from"] = toJson(message.from);
    value["to"] = toJson(message.to);
    return value;
}

Result<Message> messageFromJson(const nlohmann::json &value, const MessageLimits &limits)
{
    ValueReader reader(value);
    Message message;
    const std::uint64_t group = reader.number("group");
    reader.require(group <= UINT32_MAX);
    message.group = static_cast<std::uint32_t>(group);
    message.term = reader.number("messageTerm");
    message.from = reader.member("from", limits.maxNameBytes);
    message.to = reader.member("to", limits.maxNameBytes);
    message.body = bodyFrom(reader, limits);
    if (reader.isTooLarge())
        return failDecode(ErrorCode::TooLarge, "a field of the message exceeds its limit");
    if (!reader.isValid())
        return failDecode(ErrorCode::InvalidRequest,
                          "a field of the message is missing or invalid");
    return message;
}

std::size_t contentBytes(const Message &message)
{
    if (const auto *snapshot = std::get_if<SnapshotRequest>(&message.body))
        return snapshot->chunk.size();
    std::size_t bytes = 0;
    if (const auto *append = std::get_if<AppendRequest>(&message.body)) {
        for (const Entry &it : append->entries)
            bytes += it.data.size();
    }
    return bytes;
}

std::string encode(const Message &message)
{
    return wire::toCbor(toJson(message));
}

Result<Message> decodeMessage(std::string_view bytes, const MessageLimits &limits)
{
    if (bytes.size() > limits.maxBytes)
        return failDecode(ErrorCode::TooLarge, "the message exceeds the size limit");
    BOOST_LEAF_AUTO(value, wire::fromCbor(bytes, "consensus.decodeMessage", {}));
    return messageFromJson(value, limits);
}

} // namespace kumquathaven::consensus
