#include "limit.h"

#include <array>
#include <charconv>
#include <string_view>
#include <utility>

namespace kumquathaven::ctl {

std::optional<std::uint64_t> parseLimitMs(const std::string &text)
{
    constexpr std::uint64_t maxMs = 7ULL * 24 * 3600 * 1000;
    constexpr std::array<std::pair<std::string_view, std::uint64_t>, 4> units{
        {{"ms", 1}, {"s", 1000}, {"m", 60'000}, {"h", 3'600'000}}};
    std::uint64_t number = 0;
    const char *const end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, number);
    if (read.ec != std::errc() || number == 0 || number > maxMs)
        return std::nullopt;
    const std::string_view unit(read.ptr, static_cast<std::size_t>(end - read.ptr));
    for (const auto &it : units) {
        if (it.first == unit && number <= maxMs / it.second)
            return number * it.second;
    }
    return std::nullopt;
}

} // namespace kumquathaven::ctl
