#include "reader.h"

#include <charconv>
#include <cmath>
#include <optional>

namespace kumquathaven::settings {

namespace {

struct Unit
{
    std::string_view name;
    std::uint64_t factor;
};

constexpr std::array<Unit, 3> durationUnits{{{"ms", 1000}, {"s", 1000000}, {"m", 60000000}}};
constexpr std::array<Unit, 3> byteUnits{{{"", 1}, {"KiB", 1024}, {"MiB", 1048576}}};

// Reads a whole number followed by one of the units; returns it in the unit with factor one.
template <std::size_t N>
std::optional<std::uint64_t> withUnit(const std::string &text, const std::array<Unit, N> &units)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc())
        return std::nullopt;
    const std::string_view unit(parsed.ptr, static_cast<std::size_t>(end - parsed.ptr));
    for (const auto &it : units) {
        if (it.name == unit && number <= UINT64_MAX / it.factor)
            return number * it.factor;
    }
    return std::nullopt;
}

// Reads a duration in microseconds. It may have a fraction, as in "2.5s".
std::optional<std::uint64_t> microseconds(const std::string &text)
{
    if (const auto whole = withUnit(text, durationUnits))
        return whole;
    double number = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || !(number >= 0))
        return std::nullopt;
    const std::string_view unit(parsed.ptr, static_cast<std::size_t>(end - parsed.ptr));
    for (const auto &it : durationUnits) {
        const double product = number * static_cast<double>(it.factor);
        if (it.name == unit && product < static_cast<double>(Duration::max().count()))
            return static_cast<std::uint64_t>(product);
    }
    return std::nullopt;
}

// Reads a whole number, which may be written as "4100", "4100.0" or "4.1e3".
std::optional<std::uint64_t> wholeNumber(const std::string &text)
{
    if (const auto whole = withUnit(text, std::array<Unit, 1>{{{"", 1}}}))
        return whole;
    double number = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    const bool isWhole = parsed.ec == std::errc() && parsed.ptr == end && number >= 0
        && number <= UINT32_MAX && number == std::floor(number);
    return isWhole ? std::make_optional(static_cast<std::uint64_t>(number)) : std::nullopt;
}

std::string durationText(Duration d)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(d).count()) + "ms";
}

} // namespace

void Problems::add(const YAML::Mark &mark, const std::string &field, const std::string &what)
{
    texts.push_back(file + ":" + std::to_string(mark.line + 1) + ": " + field + ": " + what);
}

MapReader::MapReader(const YAML::Node &node, std::string path, Problems &problems)
    : m_node(node)
    , m_path(std::move(path))
    , m_problems(problems)
{ }

bool MapReader::has(const std::string &field) const
{
    return m_node[field].IsDefined();
}

std::string MapReader::pathOf(const std::string &field) const
{
    return m_path.empty() ? field : m_path + "." + field;
}

void MapReader::problem(const std::string &field, const std::string &what)
{
    const YAML::Node node = m_node[field];
    m_problems.add(node.IsDefined() ? node.Mark() : m_node.Mark(), pathOf(field), what);
}

YAML::Node MapReader::scalar(const std::string &field, bool required)
{
    return child(field, YAML::NodeType::Scalar, required);
}

YAML::Node MapReader::child(const std::string &field, YAML::NodeType::value type, bool required)
{
    m_known.insert(field);
    const YAML::Node node = m_node[field];
    // A template leaves a field without a value where it has none to fill in.
    if (!node.IsDefined() || node.IsNull()) {
        if (required)
            problem(field, "is missing");
        return YAML::Node(YAML::NodeType::Undefined);
    }
    if (node.Type() == type)
        return node;
    const char *expected = type == YAML::NodeType::Scalar ? "a single value"
        : type == YAML::NodeType::Map                     ? "a mapping"
                                                          : "a sequence";
    problem(field, std::string("must be ") + expected);
    return YAML::Node(YAML::NodeType::Undefined);
}

void MapReader::string(const std::string &field, std::string &value, bool required)
{
    const YAML::Node node = scalar(field, required);
    if (!node.IsDefined())
        return;
    value = node.Scalar();
    if (value.empty() && required)
        problem(field, "must not be empty");
}

void MapReader::integer(const std::string &field, std::uint32_t &value, std::uint32_t min,
                        std::uint32_t max)
{
    const YAML::Node node = scalar(field, false);
    if (!node.IsDefined())
        return;
    const auto number = wholeNumber(node.Scalar());
    if (!number || *number < min || *number > max) {
        problem(field,
                "\"" + node.Scalar() + "\" is not a whole number from " + std::to_string(min)
                    + " to " + std::to_string(max));
        return;
    }
    value = static_cast<std::uint32_t>(*number);
}

void MapReader::number(const std::string &field, double &value, double min, double max)
{
    const YAML::Node node = scalar(field, false);
    if (!node.IsDefined())
        return;
    const std::string &text = node.Scalar();
    double number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isNumber = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    if (!isNumber || !(number >= min && number <= max)) {
        problem(field,
                "\"" + text + "\" is not a number from " + std::to_string(min) + " to "
                    + std::to_string(max));
        return;
    }
    value = number;
}

void MapReader::flag(const std::string &field, bool &value)
{
    const YAML::Node node = scalar(field, false);
    if (!node.IsDefined())
        return;
    if (node.Scalar() == "true" || node.Scalar() == "false")
        value = node.Scalar() == "true";
    else
        problem(field, "must be true or false");
}

void MapReader::duration(const std::string &field, Duration &value, Duration min, Duration max)
{
    const YAML::Node node = scalar(field, false);
    if (!node.IsDefined())
        return;
    const auto number = microseconds(node.Scalar());
    const auto asDuration = number && *number < static_cast<std::uint64_t>(Duration::max().count())
        ? Duration(static_cast<Duration::rep>(*number))
        : Duration(-1);
    if (asDuration < min || asDuration > max) {
        problem(field,
                "\"" + node.Scalar() + "\" is not a duration with a unit (ms, s, m) from "
                    + durationText(min) + " to " + durationText(max));
        return;
    }
    value = asDuration;
}

void MapReader::bytes(const std::string &field, std::uint32_t &value, std::uint32_t min,
                      std::uint32_t max)
{
    const YAML::Node node = scalar(field, false);
    if (!node.IsDefined())
        return;
    const auto number = withUnit(node.Scalar(), byteUnits);
    if (!number || *number < min || *number > max) {
        problem(field,
                "\"" + node.Scalar() + "\" is not a size (bytes, KiB, MiB) from "
                    + std::to_string(min) + " to " + std::to_string(max) + " bytes");
        return;
    }
    value = static_cast<std::uint32_t>(*number);
}

void MapReader::address(const std::string &field, Address &value, bool required)
{
    std::string text;
    string(field, text, required);
    if (text.empty())
        return;
    value = parseAddress(text);
    if (value.port == 0)
        problem(field, "\"" + text + "\" is not an IP address and a port, as in 127.0.0.1:8080");
}

void MapReader::finish()
{
    for (const auto &it : m_node) {
        const std::string field = it.first.IsScalar() ? it.first.Scalar() : "?";
        if (m_known.count(field) > 0)
            continue;
        std::string allowed;
        for (const auto &known : m_known)
            allowed += (allowed.empty() ? "" : ", ") + known;
        m_problems.add(it.first.Mark(), pathOf(field), "unknown field; allowed are " + allowed);
    }
}

} // namespace kumquathaven::settings
