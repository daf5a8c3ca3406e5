// Hexadecimal notation of the 64-bit numbers that processes exchange as text: block hashes,
// incarnations and ids.

#ifndef KUMQUATHAVEN_BASE_HEX_H
#define KUMQUATHAVEN_BASE_HEX_H

#include <cstdint>
#include <string>
#include <string_view>

namespace kumquathaven {

/// Returns a number as 16 lower-case hexadecimal digits.
std::string toHex(std::uint64_t value);

/// Returns the value of the leading hexadecimal digits, or 0 if there are none or if the value does
/// not fit in 64 bits.
std::uint64_t fromHex(std::string_view text);

} // namespace kumquathaven

#endif // KUMQUATHAVEN_BASE_HEX_H
