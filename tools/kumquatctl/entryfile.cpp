#include "entryfile.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iostream>
#include <sstream>

namespace kumquathaven::ctl {

namespace {

constexpr int maxDepth = 16;

Error fileError(const std::string &file, const std::string &message)
{
    return {ErrorCode::InvalidRequest, "file.read", file, message, Outcome::NotRun, {}};
}

nlohmann::json scalarToJson(const YAML::Node &node)
{
    const std::string &text = node.Scalar();
    // Quoted text has this tag and stays text.
    if (node.Tag() == "!")
        return text;
    if (text == "true" || text == "false")
        return text == "true";
    std::uint64_t number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec == std::errc() && end == text.data() + text.size())
        return number;
    return text;
}

nlohmann::json toJson(const YAML::Node &node, int depth)
{
    if (depth > maxDepth)
        throw std::runtime_error("nested too deeply");
    if (node.IsScalar())
        return scalarToJson(node);
    if (node.IsSequence()) {
        nlohmann::json list = nlohmann::json::array();
        for (const YAML::Node &it : node)
            list.push_back(toJson(it, depth + 1));
        return list;
    }
    if (node.IsMap()) {
        nlohmann::json object = nlohmann::json::object();
        for (const auto &it : node) {
            const std::string field = it.first.Scalar();
            if (object.contains(field))
                throw std::runtime_error("field \"" + field + "\" appears twice");
            object[field] = toJson(it.second, depth + 1);
        }
        return object;
    }
    return nullptr;
}

} // namespace

Result<nlohmann::json> readEntryFile(const std::string &file)
{
    std::stringstream text;
    if (file == "-") {
        text << std::cin.rdbuf();
    } else {
        std::ifstream in(file);
        if (!in)
            return fail(fileError(file, "cannot be read"));
        text << in.rdbuf();
    }
    try {
        return toJson(YAML::Load(text.str()), 0);
    } catch (const YAML::Exception &e) {
        return fail(fileError(file, "line " + std::to_string(e.mark.line + 1) + ": " + e.msg));
    } catch (const std::exception &e) {
        return fail(fileError(file, e.what()));
    }
}

} // namespace kumquathaven::ctl
