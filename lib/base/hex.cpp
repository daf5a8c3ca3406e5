#include "kumquathaven/base/hex.h"

#include <charconv>
#include <cstdio>

namespace kumquathaven {

std::string toHex(std::uint64_t value)
{
    char buf[17];
    std::snprintf(buf, sizeof buf, "%016llx", static_cast<unsigned long long>(value));
    return buf;
}

std::uint64_t fromHex(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value, 16);
    return value;
}

} // namespace kumquathaven
