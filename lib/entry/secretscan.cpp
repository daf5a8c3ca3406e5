#include "secretscan.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>
#include <nlohmann/json.hpp>

namespace kumquathaven::entry {

namespace {

std::string percentDecoded(const std::string &text)
{
    std::string decoded;
    try {
        Poco::URI::decode(text, decoded, true);
    } catch (const Poco::Exception &) {
        return text;
    }
    return decoded;
}

bool has(const std::string &text, const std::string &secret)
{
    return text.find(secret) != std::string::npos;
}

} // namespace

bool jsonContains(const nlohmann::json &value, const std::string &secret)
{
    if (value.is_string())
        return has(value.get_ref<const std::string &>(), secret);
    for (const auto &it : value.items()) {
        if (value.is_object() && has(it.key(), secret))
            return true;
        if ((it.value().is_structured() || it.value().is_string())
            && jsonContains(it.value(), secret))
            return true;
    }
    return false;
}

bool textContains(const std::string &text, const std::string &secret)
{
    if (secret.empty())
        return false;
    if (has(text, secret) || has(percentDecoded(text), secret))
        return true;
    const auto value = nlohmann::json::parse(text, nullptr, false);
    return !value.is_discarded() && jsonContains(value, secret);
}

} // namespace kumquathaven::entry
