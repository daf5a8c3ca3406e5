// The identity of prompt prefixes: chained block hashes that start from the scope they belong to.

#ifndef KUMQUATHAVEN_ROUTING_PREFIX_H
#define KUMQUATHAVEN_ROUTING_PREFIX_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kumquathaven::routing {

/// The hash of one block and of everything before it. A type of its own, so that no other number
/// can stand for a block.
enum class BlockHash : std::uint64_t {};

/// Whose prompt it is and which weights read it. Every field is part of every block hash, so two
/// scopes that differ anywhere have no block in common.
struct PrefixScope
{
    /// The customer's name; empty for callers without a key.
    std::string customer;
    std::string model;
    /// Empty for the model without an adapter.
    std::string adapter;
    std::string weightsVersion;
};

/// Returns the value of the field cache_salt that keeps a customer's blocks on engines apart.
std::string cacheSalt(std::string_view customer);

/// Returns the number of tokens in a text by the rule that engines and this system share.
std::uint32_t countTokens(std::string_view text);

/// A part of a prompt whose text is not known but whose name is: equal names mean equal text.
struct NamedPart
{
    std::string_view name;
    std::uint32_t tokens = 0;
};

/// The whole blocks of one prompt in one scope. It can be made from a scope and what the prompt
/// says only.
class PrefixChain
{
public:
    /// Cuts \p text into blocks of \p blockTokens tokens; a rest that fills no block has no hash.
    PrefixChain(const PrefixScope &scope, std::string_view text, std::uint32_t blockTokens);

    /// Cuts each part into blocks by itself; a rest of a part that fills no block has no hash.
    PrefixChain(const PrefixScope &scope, const std::vector<NamedPart> &parts,
                std::uint32_t blockTokens);

    /// Hashes of the whole blocks, from the beginning of the prompt.
    const std::vector<BlockHash> &blocks() const { return m_blocks; }
    /// Tokens of the whole prompt, the rest included.
    std::uint32_t promptTokens() const { return m_promptTokens; }
    std::uint32_t blockTokens() const { return m_blockTokens; }
    const std::string &weightsVersion() const { return m_weightsVersion; }

private:
    std::vector<BlockHash> m_blocks;
    std::uint32_t m_promptTokens;
    std::uint32_t m_blockTokens;
    std::string m_weightsVersion;
};

} // namespace kumquathaven::routing

#endif // KUMQUATHAVEN_ROUTING_PREFIX_H
