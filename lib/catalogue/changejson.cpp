// Conversion of changes and answers to and from JSON and CBOR.

#include "entries.h"
#include "fields.h"
#include "rollouts.h"

#include "kumquathaven/catalogue/json.h"
#include "kumquathaven/wire/cbor.h"

namespace kumquathaven::catalogue {

namespace {

using nlohmann::json;

constexpr std::size_t maxChangeIdBytes = 128;

/// The kinds of changes, in the order of the alternatives of ChangeBody.
enum class ChangeKind {
    Put,
    Remove,
    GrantKey,
    WithdrawKey,
    Drain,
    Announce,
    Depart,
    Hint,
    Declare,
    SetWeightsVersion,
    RecordServerWeights,
    RecordControlLinks,
    StartRollout,
    RecordRolloutStep,
};

constexpr std::array<EnumName<ChangeKind>, 14> changeKindNames{{
    {ChangeKind::Put, "put"},
    {ChangeKind::Remove, "remove"},
    {ChangeKind::GrantKey, "grantKey"},
    {ChangeKind::WithdrawKey, "withdrawKey"},
    {ChangeKind::Drain, "drain"},
    {ChangeKind::Announce, "announce"},
    {ChangeKind::Depart, "depart"},
    {ChangeKind::Hint, "hint"},
    {ChangeKind::Declare, "declare"},
    {ChangeKind::SetWeightsVersion, "nameWeights"},
    {ChangeKind::RecordServerWeights, "noteServerWeights"},
    {ChangeKind::RecordControlLinks, "noteControlLinks"},
    {ChangeKind::StartRollout, "startRollout"},
    {ChangeKind::RecordRolloutStep, "recordRolloutStep"},
}};

/// Writes the fields of a change's body into a JSON object.
struct BodyWriter
{
    json &value;

    void operator()(const PutEntries &body) const
    {
        value["entries"] = toJson(body.entries);
        value["replace"] = body.replace;
    }
    void operator()(const RemoveEntry &body) const
    {
        value["entryKind"] = nameOf(entryKindNames, body.kind);
        value["name"] = body.name;
    }
    void operator()(const GrantKey &body) const { value["key"] = toJson(body.key); }
    void operator()(const WithdrawKey &body) const
    {
        value["name"] = body.name;
        value["cutsStreams"] = body.cutsStreams;
    }
    void operator()(const DrainInstance &body) const
    {
        value["name"] = body.name;
        value["drained"] = body.drained;
    }
    void operator()(const AnnounceInstance &body) const
    {
        value["instance"] = toJson(body.instance);
        if (body.replaces)
            value["replaces"] = *body.replaces;
        value["endedDepartures"] = body.endedDepartures;
    }
    void operator()(const DepartInstance &body) const
    {
        value["name"] = body.name;
        value["incarnation"] = body.incarnation;
    }
    void operator()(const HintInstance &body) const
    {
        value["name"] = body.name;
        value["incarnation"] = body.incarnation;
        value["leaving"] = body.leaving;
    }
    void operator()(const Declare &body) const { value["declaration"] = toJson(body.declaration); }
    void operator()(const SetWeightsVersion &body) const
    {
        value["model"] = body.model;
        value["version"] = body.version;
    }
    void operator()(const RecordServerWeights &body) const
    {
        value["servers"] = toJson(body.servers);
        value["gone"] = body.departedServers;
    }
    void operator()(const RecordControlLinks &body) const { value["links"] = body.links; }
    void operator()(const StartRollout &body) const { writeOrder(body, value); }
    void operator()(const RecordRolloutStep &body) const { writeStep(body, value); }
};

Result<ChangeBody> readPut(Fields &fields)
{
    PutEntries body;
    fields.flag("replace", body.replace);
    if (const json *entries = fields.find("entries", Presence::Required)) {
        BOOST_LEAF_ASSIGN(body.entries, catalogueFromJson(*entries));
    }
    return ChangeBody(body);
}

Result<ChangeBody> readGrant(Fields &fields)
{
    GrantKey body;
    if (const json *key = fields.find("key", Presence::Required)) {
        BOOST_LEAF_ASSIGN(body.key, keyFromJson(*key));
    }
    return ChangeBody(body);
}

Result<ChangeBody> readAnnounce(Fields &fields)
{
    AnnounceInstance body;
    if (const json *instance = fields.find("instance", Presence::Required)) {
        BOOST_LEAF_ASSIGN(body.instance, instanceFromJson(*instance));
    }
    if (fields.find("replaces", Presence::Optional)) {
        body.replaces = 0;
        fields.number("replaces", *body.replaces);
    }
    fields.number("endedDepartures", body.endedDepartures);
    return ChangeBody(body);
}

ChangeBody readRemove(Fields &fields)
{
    RemoveEntry body;
    fields.choice("entryKind", body.kind, entryKindNames, Presence::Required);
    fields.name("name", body.name);
    return body;
}

ChangeBody readWithdraw(Fields &fields)
{
    WithdrawKey body;
    fields.name("name", body.name);
    fields.flag("cutsStreams", body.cutsStreams);
    return body;
}

ChangeBody readDrain(Fields &fields)
{
    DrainInstance body;
    fields.name("name", body.name);
    fields.flag("drained", body.drained);
    return body;
}

ChangeBody readDepart(Fields &fields)
{
    DepartInstance body;
    fields.name("name", body.name);
    fields.number("incarnation", body.incarnation);
    return body;
}

ChangeBody readHint(Fields &fields)
{
    HintInstance body;
    fields.name("name", body.name);
    fields.number("incarnation", body.incarnation);
    fields.flag("leaving", body.leaving);
    return body;
}

Result<ChangeBody> readDeclare(Fields &fields)
{
    Declare body;
    if (const json *it = fields.find("declaration", Presence::Required)) {
        BOOST_LEAF_ASSIGN(body.declaration, declarationFromJson(*it));
    }
    return ChangeBody(body);
}

ChangeBody readSetWeightsVersion(Fields &fields)
{
    SetWeightsVersion body;
    fields.text("model", body.model, Presence::Required);
    fields.number("version", body.version, std::uint64_t{1});
    return body;
}

Result<ChangeBody> readRecordServerWeights(Fields &fields)
{
    RecordServerWeights body;
    if (const json *it = fields.find("servers", Presence::Required)) {
        BOOST_LEAF_ASSIGN(body.servers, serverWeightsFromJson(*it));
    }
    fields.texts("gone", body.departedServers);
    return ChangeBody(body);
}

ChangeBody readRecordControlLinks(Fields &fields)
{
    RecordControlLinks body;
    fields.texts("links", body.links);
    return body;
}

Result<ChangeBody> readBody(ChangeKind kind, Fields &fields)
{
    switch (kind) {
    case ChangeKind::Put:
        return readPut(fields);
    case ChangeKind::Remove:
        return readRemove(fields);
    case ChangeKind::GrantKey:
        return readGrant(fields);
    case ChangeKind::WithdrawKey:
        return readWithdraw(fields);
    case ChangeKind::Drain:
        return readDrain(fields);
    case ChangeKind::Announce:
        return readAnnounce(fields);
    case ChangeKind::Depart:
        return readDepart(fields);
    case ChangeKind::Hint:
        return readHint(fields);
    case ChangeKind::Declare:
        return readDeclare(fields);
    case ChangeKind::SetWeightsVersion:
        return readSetWeightsVersion(fields);
    case ChangeKind::RecordServerWeights:
        return readRecordServerWeights(fields);
    case ChangeKind::RecordControlLinks:
        return readRecordControlLinks(fields);
    case ChangeKind::StartRollout:
        return ChangeBody(readOrder(fields));
    case ChangeKind::RecordRolloutStep:
        return ChangeBody(readStep(fields));
    }
    return fail(
        {ErrorCode::Internal, "catalogue.read", {}, "unknown kind of change", Outcome::NotRun, {}});
}

} // namespace

json toJson(const Change &change)
{
    json value{{"kind", nameOf(changeKindNames, static_cast<ChangeKind>(change.body.index()))}};
    if (!change.changeId.empty())
        value["changeId"] = change.changeId;
    if (change.expectedRevision)
        value["expectedRevision"] = *change.expectedRevision;
    std::visit(BodyWriter{value}, change.body);
    return value;
}

Result<Change> changeFromJson(const json &value)
{
    Change change;
    auto kind = ChangeKind::Put;
    Fields fields(value, "change");
    fields.text("changeId", change.changeId);
    if (change.changeId.size() > maxChangeIdBytes)
        fields.reject("changeId",
                      "must have at most " + std::to_string(maxChangeIdBytes) + " bytes");
    if (fields.find("expectedRevision", Presence::Optional)) {
        change.expectedRevision = 0;
        fields.number("expectedRevision", *change.expectedRevision);
    }
    fields.choice("kind", kind, changeKindNames, Presence::Required);
    BOOST_LEAF_ASSIGN(change.body, readBody(kind, fields));
    BOOST_LEAF_CHECK(fields.finish());
    return change;
}

json toJson(const Answer &answer)
{
    json value{
        {"accepted", answer.accepted}, {"revision", answer.revision}, {"epoch", answer.epoch}};
    if (!answer.accepted) {
        value["code"] = errorCodeName(answer.code);
        value["message"] = answer.message;
    }
    return value;
}

Result<Answer> answerFromJson(const json &value)
{
    Answer answer;
    Fields fields(value, "answer");
    fields.flag("accepted", answer.accepted);
    fields.number("revision", answer.revision);
    fields.number("epoch", answer.epoch);
    std::string code;
    fields.text("code", code);
    fields.text("message", answer.message);
    for (int n = 0; n <= static_cast<int>(ErrorCode::Internal); ++n) {
        if (errorCodeName(static_cast<ErrorCode>(n)) == code)
            answer.code = static_cast<ErrorCode>(n);
    }
    BOOST_LEAF_CHECK(fields.finish());
    return answer;
}

std::string encodeChange(const Change &change)
{
    return wire::toCbor(toJson(change));
}

Result<Change> decodeChange(std::string_view bytes, const std::string &peer)
{
    BOOST_LEAF_AUTO(value, wire::fromCbor(bytes, "catalogue.decodeChange", peer));
    return changeFromJson(value);
}

} // namespace kumquathaven::catalogue
