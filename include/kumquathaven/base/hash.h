// Fast hashes that are the same in every process, for placement, and the CRC-32C checksum. None of
// them protects against forgery.

#ifndef KUMQUATHAVEN_BASE_HASH_H
#define KUMQUATHAVEN_BASE_HASH_H

#include <cstdint>
#include <string>
#include <string_view>

namespace kumquathaven {

/// Returns a 64-bit hash of the bytes that is the same in every process and version.
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

/// Combines two hashes into one. The order of the arguments matters.
std::uint64_t combineHash(std::uint64_t first, std::uint64_t second);

/// Maps a hash to a number from 0 up to but not including 1.
double hashToUnitInterval(std::uint64_t hash);

/// Returns the CRC-32C checksum of the bytes.
std::uint32_t crc32c(std::string_view bytes);

/// Returns the rank of \p candidate for \p key in rendezvous hashing. The key is assigned to the
/// candidate with the largest rank; when a candidate leaves, only its own keys move.
std::uint64_t rendezvousRank(std::string_view key, std::string_view candidate);

} // namespace kumquathaven

#endif // KUMQUATHAVEN_BASE_HASH_H
