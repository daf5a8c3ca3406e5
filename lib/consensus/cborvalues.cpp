#include "cborvalues.h"

#include <vector>

namespace kumquathaven::consensus {

namespace {

/// Returns the value that find() yields for a missing field.
const nlohmann::json &nullValue()
{
    static const nlohmann::json value;
    return value;
}

const nlohmann::json &emptyArray()
{
    static const nlohmann::json value = nlohmann::json::array();
    return value;
}

} // namespace

nlohmann::json toJson(const MemberId &member)
{
    return nlohmann::json::array({member.instance, member.identity});
}

ValueReader::ValueReader(const nlohmann::json &value)
    : m_value(value)
    , m_valid(value.is_object())
{ }

const nlohmann::json &ValueReader::find(const char *field)
{
    if (!m_valid)
        return nullValue();
    const auto it = m_value.find(field);
    m_valid = it != m_value.end();
    return m_valid ? *it : nullValue();
}

std::uint64_t ValueReader::number(const char *field)
{
    const nlohmann::json &value = find(field);
    require(value.is_number_unsigned());
    return m_valid ? value.get<std::uint64_t>() : 0;
}

bool ValueReader::flag(const char *field)
{
    const nlohmann::json &value = find(field);
    require(value.is_boolean());
    return m_valid && value.get<bool>();
}

bool ValueReader::flagOr(const char *field, bool otherwise)
{
    const bool isMissing = m_valid && m_value.find(field) == m_value.end();
    return isMissing ? otherwise : flag(field);
}

std::string ValueReader::text(const char *field, std::size_t maxBytes)
{
    const nlohmann::json &value = find(field);
    require(value.is_string());
    if (!m_valid)
        return {};
    const auto &found = value.get_ref<const std::string &>();
    requireBound(found.size() <= maxBytes);
    return m_valid ? found : std::string();
}

std::string ValueReader::bytes(const char *field, std::size_t maxBytes)
{
    const nlohmann::json &value = find(field);
    require(value.is_binary());
    if (!m_valid)
        return {};
    const auto &found = value.get_binary();
    requireBound(found.size() <= maxBytes);
    return m_valid ? std::string(found.begin(), found.end()) : std::string();
}

const nlohmann::json &ValueReader::array(const char *field, std::size_t maxItems)
{
    const nlohmann::json &value = find(field);
    require(value.is_array());
    requireBound(value.size() <= maxItems);
    return m_valid ? value : emptyArray();
}

MemberId ValueReader::member(const char *field, std::size_t maxInstanceBytes)
{
    return memberFrom(find(field), maxInstanceBytes);
}

MemberId ValueReader::memberFrom(const nlohmann::json &value, std::size_t maxInstanceBytes)
{
    require(value.is_array() && value.size() == 2 && value[0].is_string()
            && value[1].is_number_unsigned());
    if (!m_valid)
        return {};
    const auto &instance = value[0].get_ref<const std::string &>();
    requireBound(instance.size() <= maxInstanceBytes);
    return {instance, value[1].get<std::uint64_t>()};
}

void ValueReader::requireBound(bool condition)
{
    m_tooLarge = m_tooLarge || !condition;
    require(condition);
}

} // namespace kumquathaven::consensus
