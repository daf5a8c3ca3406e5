// Identifies prompt prefixes by chained block hashes that are seeded with the scope of the prompt.

#ifndef KUMQUATHAVEN_ROUTING_PREFIX_H
#define KUMQUATHAVEN_ROUTING_PREFIX_H

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace kumquathaven::routing {

/// The hash of one block and of everything before it. It has its own type so that no other number
/// can be passed as a block.
enum class BlockHash : std::uint64_t {};

/// The customer that a prompt belongs to and the weights that process it. Every field is part of
/// every block hash, so scopes that differ in any field have no block in common.
struct PrefixScope
{
    /// The customer's name; empty for callers without a key.
    std::string customer;
    std::string model;
    /// Empty for the model without an adapter.
    std::string adapter;
    std::string weightsVersion;
};

/// Returns the value of the request field cache_salt, which separates the cached blocks of
/// different customers on engines.
std::string cacheSalt(std::string_view customer);

/// Returns the number of tokens in a text, by the rule that the engines use too.
std::uint32_t countTokens(std::string_view text);

/// A part of a prompt that is known only by its name and length. Equal names mean equal text.
struct NamedPart
{
    std::string_view name;
    std::uint32_t tokens = 0;
};

/// The complete blocks of one prompt in one scope. It is constructed from the scope and the
/// contents of the prompt alone.
class PrefixChain
{
public:
    /// Splits \p text into blocks of \p blockTokens tokens. A remainder that fills no block has no
    /// hash.
    PrefixChain(const PrefixScope &scope, std::string_view text, std::uint32_t blockTokens);

    /// Splits each part into blocks of \p blockTokens tokens separately. The remainder of a part
    /// that fills no block has no hash.
    PrefixChain(const PrefixScope &scope, const std::vector<NamedPart> &parts,
                std::uint32_t blockTokens);

    /// Makes each part one block, for engines that keep or drop a part as a whole. The prompt has
    /// \p uniqueTokens more after the parts, which no other prompt has. \p blockTokens is the
    /// number of tokens that matter little.
    static PrefixChain ofParts(const PrefixScope &scope, const std::vector<NamedPart> &parts,
                               std::uint32_t uniqueTokens, std::uint32_t blockTokens);

    /// Returns the hashes of the complete blocks, from the beginning of the prompt.
    const std::vector<BlockHash> &blocks() const { return m_blocks; }
    /// Returns the number of tokens in the prompt, including those in no complete block.
    std::uint32_t promptTokens() const { return m_promptTokens; }
    std::uint32_t blockTokens() const { return m_blockTokens; }
    /// Returns the number of tokens in a block.
    std::uint32_t tokensOf(std::size_t block) const
    {
        return m_partTokens.empty() ? m_blockTokens : m_partTokens[block];
    }
    const std::string &weightsVersion() const { return m_weightsVersion; }

private:
    PrefixChain(std::vector<BlockHash> blocks, std::vector<std::uint32_t> partTokens,
                std::uint32_t promptTokens, std::uint32_t blockTokens, std::string weightsVersion)
        : m_blocks(std::move(blocks))
        , m_partTokens(std::move(partTokens))
        , m_promptTokens(promptTokens)
        , m_blockTokens(blockTokens)
        , m_weightsVersion(std::move(weightsVersion))
    { }

    std::vector<BlockHash> m_blocks;
    /// The numbers of tokens in the blocks if each block is a part.
    std::vector<std::uint32_t> m_partTokens;
    std::uint32_t m_promptTokens = 0;
    std::uint32_t m_blockTokens = 0;
    std::string m_weightsVersion;
};

} // namespace kumquathaven::routing

#endif // KUMQUATHAVEN_ROUTING_PREFIX_H
