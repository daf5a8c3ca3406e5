#include "kumquathaven/base/hash.h"

#include <array>

namespace kumquathaven {

namespace {

std::uint64_t mix(std::uint64_t z)
{
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

constexpr std::array<std::uint32_t, 256> crcTable()
{
    constexpr std::uint32_t castagnoli = 0x82f63b78U;
    std::array<std::uint32_t, 256> table{};
    for (std::uint32_t n = 0; n < table.size(); ++n) {
        std::uint32_t value = n;
        for (int bit = 0; bit < 8; ++bit)
            value = (value & 1U) != 0 ? (value >> 1) ^ castagnoli : value >> 1;
        table[n] = value;
    }
    return table;
}

} // namespace

std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed)
{
    constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15ULL;
    std::uint64_t hash = mix(seed + multiplier * (bytes.size() + 1));
    std::uint64_t word = 0;
    unsigned filled = 0;
    for (const char c : bytes) {
        word |= static_cast<std::uint64_t>(static_cast<unsigned char>(c)) << (8 * filled);
        if (++filled == sizeof(word)) {
            hash = mix((hash ^ word) * multiplier);
            word = 0;
            filled = 0;
        }
    }
    return mix((hash ^ word) * multiplier + filled);
}

std::uint64_t combineHash(std::uint64_t first, std::uint64_t second)
{
    return mix(first * 0x9e3779b97f4a7c15ULL + mix(second + 0x632be59bd9b4e019ULL));
}

double hashToUnitInterval(std::uint64_t hash)
{
    // Uses 53 bits, as many as the significand of a double holds.
    return static_cast<double>(hash >> 11) * 0x1.0p-53;
}

std::uint32_t crc32c(std::string_view bytes)
{
    static constexpr auto table = crcTable();
    std::uint32_t crc = 0xffffffffU;
    for (const char c : bytes)
        crc = table[(crc ^ static_cast<unsigned char>(c)) & 0xffU] ^ (crc >> 8);
    return crc ^ 0xffffffffU;
}

std::uint64_t rendezvousRank(std::string_view key, std::string_view candidate)
{
    return combineHash(stableHash(key), stableHash(candidate));
}

} // namespace kumquathaven
