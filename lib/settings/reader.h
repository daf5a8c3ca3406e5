// Reads the fields of a YAML mapping one by one and collects everything that is wrong with them.

#ifndef KUMQUATHAVEN_LIB_SETTINGS_READER_H
#define KUMQUATHAVEN_LIB_SETTINGS_READER_H

#include "kumquathaven/base/enumnames.h"
#include "kumquathaven/base/time.h"
#include "kumquathaven/settings/settings.h"

#include <yaml-cpp/yaml.h>

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace kumquathaven::settings {

/// The problems found in one file, each as "file:line: field: what is wrong and what is allowed".
struct Problems
{
    std::string file;
    std::vector<std::string> texts;

    void add(const YAML::Mark &mark, const std::string &field, const std::string &what);
};

/// Reads one mapping. Each field is asked for once; finish() reports the fields nobody asked for.
class MapReader
{
public:
    MapReader(const YAML::Node &node, std::string path, Problems &problems);

    bool has(const std::string &field) const;
    void string(const std::string &field, std::string &value, bool required);
    void integer(const std::string &field, std::uint32_t &value, std::uint32_t min,
                 std::uint32_t max);
    /// Reads a number that may have a fraction.
    void number(const std::string &field, double &value, double min, double max);
    /// Reads "true" or "false".
    void flag(const std::string &field, bool &value);
    /// Reads "200ms", "5s", "2.5s" or "2m".
    void duration(const std::string &field, Duration &value, Duration min, Duration max);
    /// Reads "65536", "64KiB" or "8MiB".
    void bytes(const std::string &field, std::uint32_t &value, std::uint32_t min,
               std::uint32_t max);
    void address(const std::string &field, Address &value, bool required);
    /// Returns the node of a nested mapping or sequence; an undefined node if it is not there.
    YAML::Node child(const std::string &field, YAML::NodeType::value type, bool required);

    template <typename Enum, std::size_t N>
    void enumeration(const std::string &field, const std::array<EnumName<Enum>, N> &table,
                     Enum &value, bool required)
    {
        std::string text;
        string(field, text, required);
        if (text.empty())
            return;
        const auto found = valueOf(table, text);
        if (found) {
            value = *found;
            return;
        }
        std::string allowed;
        for (const auto &it : table)
            allowed += (allowed.empty() ? "" : ", ") + std::string(it.second);
        problem(field, "\"" + text + "\" is not one of " + allowed);
    }

    /// Records a problem with a field of this mapping.
    void problem(const std::string &field, const std::string &what);
    /// Records every field that is not known.
    void finish();

private:
    YAML::Node scalar(const std::string &field, bool required);
    std::string pathOf(const std::string &field) const;

    YAML::Node m_node;
    std::string m_path;
    Problems &m_problems;
    std::set<std::string> m_known;
};

} // namespace kumquathaven::settings

#endif // KUMQUATHAVEN_LIB_SETTINGS_READER_H
