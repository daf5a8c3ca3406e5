#include "fields.h"

#include <algorithm>

namespace kumquathaven::catalogue {

namespace {

constexpr std::size_t maxTextBytes = 4096;
constexpr std::size_t maxNameBytes = 128;
constexpr std::size_t maxTexts = 4096;

bool isName(const std::string &text)
{
    const auto isAllowed = [](unsigned char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
            || c == '.' || c == '_' || c == '-';
    };
    return !text.empty() && text.size() <= maxNameBytes
        && std::all_of(text.begin(), text.end(), isAllowed);
}

} // namespace

Fields::Fields(const nlohmann::json &value, std::string subject)
    : m_value(value)
    , m_subject(std::move(subject))
{
    if (!value.is_object())
        m_error = m_subject + ": must be an object";
}

const nlohmann::json *Fields::find(const std::string &field, Presence presence)
{
    m_readFields.insert(field);
    if (!m_value.is_object())
        return nullptr;
    const auto it = m_value.find(field);
    if (it != m_value.end())
        return &*it;
    if (presence == Presence::Required)
        reject(field, "is missing");
    return nullptr;
}

void Fields::reject(const std::string &field, const std::string &what)
{
    if (m_error.empty())
        m_error = m_subject + ": field \"" + field + "\" " + what;
}

void Fields::text(const std::string &field, std::string &out, Presence presence)
{
    const nlohmann::json *value = find(field, presence);
    if (!value)
        return;
    if (value->is_string() && value->get_ref<const std::string &>().size() <= maxTextBytes)
        out = value->get<std::string>();
    else
        reject(field, "must be a string of at most " + std::to_string(maxTextBytes) + " bytes");
}

void Fields::name(const std::string &field, std::string &out, Presence presence)
{
    const nlohmann::json *value = find(field, presence);
    if (!value)
        return;
    if (value->is_string() && isName(value->get_ref<const std::string &>()))
        out = value->get<std::string>();
    else
        reject(field,
               "must be a name of 1 to " + std::to_string(maxNameBytes)
                   + R"( letters, digits, ".", "_" or "-")");
}

void Fields::flag(const std::string &field, bool &out)
{
    const nlohmann::json *value = find(field, Presence::Optional);
    if (!value)
        return;
    if (value->is_boolean())
        out = value->get<bool>();
    else
        reject(field, "must be true or false");
}

void Fields::texts(const std::string &field, std::vector<std::string> &out)
{
    const nlohmann::json *value = find(field, Presence::Optional);
    if (!value)
        return;
    const auto isText = [](const nlohmann::json &it) {
        return it.is_string() && it.get_ref<const std::string &>().size() <= maxTextBytes;
    };
    if (value->is_array() && value->size() <= maxTexts
        && std::all_of(value->begin(), value->end(), isText))
        out = value->get<std::vector<std::string>>();
    else
        reject(field, "must be a list of at most " + std::to_string(maxTexts) + " strings");
}

Result<void> Fields::finish()
{
    if (m_error.empty()) {
        for (const auto &it : m_value.items()) {
            if (m_readFields.count(it.key()) > 0)
                continue;
            std::string known;
            for (const std::string &field : m_readFields)
                known += (known.empty() ? "" : ", ") + field;
            reject(it.key(), "is unknown; allowed fields are " + known);
        }
    }
    return finishKnown();
}

Result<void> Fields::finishKnown() const
{
    if (!m_error.empty())
        return fail(
            {ErrorCode::InvalidRequest, "catalogue.read", {}, m_error, Outcome::NotRun, {}});
    return {};
}

std::string subjectOf(const std::string &kind, const nlohmann::json &value)
{
    if (value.is_object()) {
        const auto it = value.find("name");
        if (it != value.end() && it->is_string())
            return kind + " \"" + it->get<std::string>().substr(0, maxNameBytes) + "\"";
    }
    return kind;
}

} // namespace kumquathaven::catalogue
