// Tables that map the values of an enumeration to their names in settings, messages and logs.

#ifndef KUMQUATHAVEN_BASE_ENUMNAMES_H
#define KUMQUATHAVEN_BASE_ENUMNAMES_H

#include <array>
#include <cassert>
#include <optional>
#include <string_view>
#include <utility>

namespace kumquathaven {

/// One row of a name table: an enumeration value and its name.
template <typename Enum>
using EnumName = std::pair<Enum, std::string_view>;

/// Returns the name of a value. The table must have a row for every value of the enumeration.
template <typename Enum, std::size_t N>
constexpr std::string_view nameOf(const std::array<EnumName<Enum>, N> &table, Enum value)
{
    for (const auto &it : table) {
        if (it.first == value)
            return it.second;
    }
    assert(false && "enumeration value without a name");
    return "invalid";
}

/// Returns the value with the given name, or nothing if no row has that name.
template <typename Enum, std::size_t N>
constexpr std::optional<Enum> valueOf(const std::array<EnumName<Enum>, N> &table,
                                      std::string_view name)
{
    for (const auto &it : table) {
        if (it.second == name)
            return it.first;
    }
    return std::nullopt;
}

} // namespace kumquathaven

#endif // KUMQUATHAVEN_BASE_ENUMNAMES_H
