// The bounded prefix cache of the engine stand-in: least recently used blocks go first.

#ifndef KUMQUATHAVEN_STANDINS_MODEL_BLOCKCACHE_H
#define KUMQUATHAVEN_STANDINS_MODEL_BLOCKCACHE_H

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace standins {

/// What a cached block belongs to. Two scopes that differ anywhere share no block hash.
struct Scope
{
    std::string salt;
    std::string model;
    std::string adapter;
    std::string version;
};

/// Bytes of text that make one token.
constexpr std::size_t bytesPerToken = 4;

/// Returns the hash that the chain of block hashes starts from.
std::uint64_t scopeSeed(const Scope &scope);

/// Returns the number of tokens in a text.
std::uint32_t tokenCount(std::string_view text);

/// Returns the chained hashes of the whole blocks of a text.
std::vector<std::uint64_t> blockHashes(const Scope &scope, std::string_view text,
                                       std::uint32_t blockTokens);

/// Block hashes with their order of use.
class BlockCache
{
public:
    explicit BlockCache(std::size_t capacity)
        : m_capacity(capacity)
    { }

    /// Returns how many leading blocks of a chain are held, without using them.
    std::size_t match(const std::vector<std::uint64_t> &chain) const;

    /// Marks the leading blocks of a chain as used, and returns how many are held.
    std::size_t use(const std::vector<std::uint64_t> &chain);

    /// What an insertion changed.
    struct Change
    {
        std::vector<std::uint64_t> stored;
        std::vector<std::uint64_t> removed;
    };

    /// Adds the blocks of a chain, dropping the least recently used ones beyond the capacity.
    Change insert(const std::vector<std::uint64_t> &chain);

    /// Drops everything and returns what was held.
    std::vector<std::uint64_t> clear();

    bool contains(std::uint64_t block) const { return m_index.count(block) > 0; }
    std::size_t size() const { return m_index.size(); }

private:
    std::size_t m_capacity;
    /// Most recently used first.
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_index;
};

} // namespace standins

#endif // KUMQUATHAVEN_STANDINS_MODEL_BLOCKCACHE_H
