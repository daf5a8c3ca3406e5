// Encoding of the complete state as the bytes of a snapshot.

#include "fields.h"

#include "kumquathaven/catalogue/json.h"
#include "kumquathaven/catalogue/state.h"
#include "kumquathaven/wire/cbor.h"

namespace kumquathaven::catalogue {

namespace {

nlohmann::json historyToJson(const AnswerHistory &answerHistory)
{
    nlohmann::json list = nlohmann::json::array();
    for (const std::string &changeId : answerHistory.order) {
        const RecordedAnswer &it = answerHistory.answers.at(changeId);
        list.push_back(
            {{"changeId", changeId}, {"changeHash", it.changeHash}, {"answer", toJson(it.answer)}});
    }
    return list;
}

Result<AnswerHistory> historyFromJson(const nlohmann::json &list)
{
    AnswerHistory answerHistory;
    for (const nlohmann::json &value : list) {
        Fields fields(value, "recorded answer");
        std::string changeId;
        RecordedAnswer recorded;
        fields.text("changeId", changeId, Presence::Required);
        fields.number("changeHash", recorded.changeHash);
        if (const nlohmann::json *answer = fields.find("answer", Presence::Required)) {
            BOOST_LEAF_ASSIGN(recorded.answer, answerFromJson(*answer));
        }
        BOOST_LEAF_CHECK(fields.finish());
        answerHistory.order.push_back(changeId);
        answerHistory.answers[changeId] = recorded;
    }
    return answerHistory;
}

} // namespace

std::string encodeState(const State &state)
{
    return wire::toCbor({{"catalogue", toJson(state.catalogue)},
                         {"instances", toJson(state.instances)},
                         {"drained", state.drained},
                         {"answers", historyToJson(state.answerHistory)}});
}

Result<State> decodeState(std::string_view bytes, const std::string &peer)
{
    BOOST_LEAF_AUTO(value, wire::fromCbor(bytes, "catalogue.decodeState", peer));
    State state;
    Fields fields(value, "state");
    if (const nlohmann::json *it = fields.find("catalogue", Presence::Required)) {
        BOOST_LEAF_ASSIGN(state.catalogue, catalogueFromJson(*it));
    }
    if (const nlohmann::json *it = fields.find("instances", Presence::Required)) {
        BOOST_LEAF_ASSIGN(state.instances, instancesFromJson(*it));
    }
    std::vector<std::string> drained;
    fields.texts("drained", drained);
    state.drained.insert(drained.begin(), drained.end());
    if (const nlohmann::json *it = fields.find("answers", Presence::Required)) {
        BOOST_LEAF_ASSIGN(state.answerHistory, historyFromJson(*it));
    }
    BOOST_LEAF_CHECK(fields.finish());
    return state;
}

} // namespace kumquathaven::catalogue
