#include "kumquathaven/ledger/codec.h"

#include "fieldreader.h"
#include "kumquathaven/wire/cbor.h"

namespace kumquathaven::ledger {

namespace {

using nlohmann::json;

json toJson(const RequestKey &key, const Record &record)
{
    return {{"key", toJson(key)},
            {"fingerprint", record.fingerprint},
            {"state", nameOf(recordStateNames, record.state)},
            {"runner", toJson(record.runner)},
            {"attempt", record.attempt},
            {"answer", toJson(record.answer)},
            {"expiresAt", record.expiresAt.count()}};
}

json toJson(const Runner &runner, const RunnerRecord &record)
{
    json abandoned = json::array();
    for (const std::uint64_t it : record.abandoned)
        abandoned.push_back(it);
    return {{"runner", toJson(runner)}, {"floor", record.floor}, {"abandoned", abandoned}};
}

/// Adds a record and updates the counts and indices that are derived from it. Fails if the key is
/// already present.
void addRecord(State &state, const json &value, FieldReader &parent)
{
    FieldReader reader(value);
    const RequestKey key = reader.requestKey("key");
    Record record;
    record.fingerprint = reader.name("fingerprint");
    const auto recordState = valueOf(recordStateNames, reader.name("state"));
    record.runner = reader.runner("runner");
    record.attempt = reader.number("attempt");
    record.answer = reader.storedAnswer("answer");
    record.expiresAt = reader.duration("expiresAt");
    const bool isNew = state.records.count(key) == 0;
    if (reader.hasFailed() || !recordState || !isNew) {
        parent.markFailed();
        return;
    }
    record.state = *recordState;
    state.bytes += record.answer.body.size();
    ++state.recordsPerCustomer[key.customer];
    if (record.state == RecordState::InProgress)
        state.runners[record.runner].running[record.attempt] = key;
    else
        state.expiry.insert({record.expiresAt, key});
    state.records.emplace(key, std::move(record));
}

void addRunner(State &state, const json &value, FieldReader &parent)
{
    FieldReader reader(value);
    RunnerRecord &record = state.runners[reader.runner("runner")];
    record.floor = reader.number("floor");
    const json &abandoned = reader.child("abandoned");
    if (reader.hasFailed() || !abandoned.is_array()) {
        parent.markFailed();
        return;
    }
    for (const json &it : abandoned) {
        if (it.is_number_unsigned())
            record.abandoned.insert(it.get<std::uint64_t>());
        else
            parent.markFailed();
    }
}

} // namespace

std::string encodeState(const State &state)
{
    json records = json::array();
    for (const auto &[key, it] : state.records)
        records.push_back(toJson(key, it));
    json runners = json::array();
    for (const auto &[runner, it] : state.runners)
        runners.push_back(toJson(runner, it));
    json sources = json::array();
    for (const auto &[source, number] : state.lastAdvance)
        sources.push_back({{"source", source}, {"number", number}});
    return wire::toCbor({{"now", state.now.count()},
                         {"records", std::move(records)},
                         {"runners", std::move(runners)},
                         {"sources", std::move(sources)}});
}

Result<State> decodeState(std::string_view bytes, const std::string &peer)
{
    BOOST_LEAF_AUTO(value, wire::fromCbor(bytes, decodeStep, peer));
    FieldReader reader(value);
    State state;
    state.now = reader.duration("now");
    const json &records = reader.child("records");
    const json &runners = reader.child("runners");
    const json &sources = reader.child("sources");
    if (reader.hasFailed() || !records.is_array() || !runners.is_array() || !sources.is_array())
        return fail(malformedError(ErrorCode::Corrupt, "the snapshot", peer));
    for (const json &it : records)
        addRecord(state, it, reader);
    for (const json &it : runners)
        addRunner(state, it, reader);
    for (const json &it : sources) {
        FieldReader source(it);
        const std::uint64_t name = source.number("source");
        state.lastAdvance[name] = source.number("number");
        if (source.hasFailed())
            reader.markFailed();
    }
    if (reader.hasFailed())
        return fail(malformedError(ErrorCode::Corrupt, "the snapshot", peer));
    return state;
}

} // namespace kumquathaven::ledger
