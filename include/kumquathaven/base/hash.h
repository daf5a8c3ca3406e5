// Hashes: a fast stable one for placement, and SHA-256 for what must not be forged.

#ifndef KUMQUATHAVEN_BASE_HASH_H
#define KUMQUATHAVEN_BASE_HASH_H

#include <cstdint>
#include <string>
#include <string_view>

namespace kumquathaven {

/// Returns a 64-bit hash that is the same in every process and version.
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

/// Combines two hashes into one. The order of the arguments matters.
std::uint64_t combineHash(std::uint64_t first, std::uint64_t second);

/// Returns a hash as a number from 0 to below 1.
double hashToUnitInterval(std::uint64_t hash);

/// Returns the CRC-32C checksum of bytes.
std::uint32_t crc32c(std::string_view bytes);

/// Returns the rank of \p candidate for \p key in rendezvous hashing: the candidate with the
/// largest rank is the key's place, and only that candidate's keys move when it leaves.
std::uint64_t rendezvousRank(std::string_view key, std::string_view candidate);

} // namespace kumquathaven

#endif // KUMQUATHAVEN_BASE_HASH_H
