#include "fieldreader.h"

#include "kumquathaven/ledger/codec.h"
#include "kumquathaven/wire/cbor.h"

namespace kumquathaven::ledger {

FieldReader::FieldReader(const nlohmann::json &value)
    : m_value(value)
    , m_bad(!value.is_object())
{ }

const nlohmann::json &FieldReader::child(const char *field)
{
    static const nlohmann::json none = nullptr;
    const auto it = m_bad ? m_value.end() : m_value.find(field);
    if (m_bad || it == m_value.end()) {
        m_bad = true;
        return none;
    }
    return *it;
}

std::uint64_t FieldReader::number(const char *field)
{
    const nlohmann::json &it = child(field);
    m_bad = m_bad || !it.is_number_unsigned();
    return m_bad ? 0 : it.get<std::uint64_t>();
}

Duration FieldReader::duration(const char *field)
{
    const std::optional<std::int64_t> it = wire::toInteger(child(field));
    m_bad = m_bad || !it;
    return m_bad ? Duration{} : Duration(*it);
}

bool FieldReader::flag(const char *field)
{
    const nlohmann::json &it = child(field);
    m_bad = m_bad || !it.is_boolean();
    return !m_bad && it.get<bool>();
}

std::string FieldReader::name(const char *field)
{
    const nlohmann::json &it = child(field);
    m_bad = m_bad || !it.is_string() || it.get_ref<const std::string &>().size() > maxNameBytes;
    return m_bad ? std::string() : it.get<std::string>();
}

std::string FieldReader::bytes(const char *field)
{
    const nlohmann::json &it = child(field);
    m_bad = m_bad || !it.is_binary();
    if (m_bad)
        return {};
    const nlohmann::json::binary_t &data = it.get_binary();
    return std::string(data.begin(), data.end());
}

template <typename Read>
auto FieldReader::object(const char *field, Read read)
{
    FieldReader reader(child(field));
    auto value = read(reader);
    m_bad = m_bad || reader.isBad();
    return value;
}

Runner FieldReader::runner(const char *field)
{
    return object(field, [](FieldReader &it) {
        return Runner{it.name("instance"), it.number("incarnation")};
    });
}

RequestKey FieldReader::requestKey(const char *field)
{
    return object(field, [](FieldReader &it) {
        return RequestKey{it.name("customer"), it.name("key")};
    });
}

StoredAnswer FieldReader::storedAnswer(const char *field)
{
    return object(field, [](FieldReader &it) {
        StoredAnswer answer;
        answer.status = static_cast<int>(it.number("status") % 1000);
        answer.contentType = it.name("contentType");
        answer.body = it.bytes("body");
        answer.bodyDropped = it.flag("bodyDropped");
        return answer;
    });
}

nlohmann::json toJson(const Runner &runner)
{
    return {{"instance", runner.instance}, {"incarnation", runner.incarnation}};
}

nlohmann::json toJson(const RequestKey &key)
{
    return {{"customer", key.customer}, {"key", key.idempotencyKey}};
}

nlohmann::json toJson(const StoredAnswer &answer)
{
    return {{"status", answer.status},
            {"contentType", answer.contentType},
            {"body", wire::binary(answer.body)},
            {"bodyDropped", answer.bodyDropped}};
}

Error malformed(ErrorCode code, const char *what, const std::string &peer)
{
    return Error{
        code, decodeStep, peer, std::string(what) + " is not well formed", Outcome::Unknown, {}};
}

} // namespace kumquathaven::ledger
