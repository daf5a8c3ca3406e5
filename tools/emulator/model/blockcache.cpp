#include "blockcache.h"

#include "kumquathaven/base/hash.h"

namespace standins {

using kumquathaven::combineHash;
using kumquathaven::stableHash;

std::uint64_t scopeSeed(const Scope &scope)
{
    std::uint64_t seed = stableHash(scope.salt);
    seed = combineHash(seed, stableHash(scope.model));
    seed = combineHash(seed, stableHash(scope.adapter));
    return combineHash(seed, stableHash(scope.version));
}

std::uint32_t tokenCount(std::string_view text)
{
    return static_cast<std::uint32_t>((text.size() + bytesPerToken - 1) / bytesPerToken);
}

std::vector<std::uint64_t> blockHashes(const Scope &scope, std::string_view text,
                                       std::uint32_t blockTokens)
{
    const std::size_t blockBytes = blockTokens * bytesPerToken;
    std::vector<std::uint64_t> chain;
    std::uint64_t hash = scopeSeed(scope);
    for (std::size_t at = 0; at + blockBytes <= text.size(); at += blockBytes) {
        hash = combineHash(hash, stableHash(text.substr(at, blockBytes)));
        chain.push_back(hash);
    }
    return chain;
}

std::size_t BlockCache::match(const std::vector<std::uint64_t> &chain) const
{
    std::size_t n = 0;
    while (n < chain.size() && contains(chain[n]))
        ++n;
    return n;
}

std::size_t BlockCache::use(const std::vector<std::uint64_t> &chain)
{
    const std::size_t n = match(chain);
    // A block is of no use without those before it, so they must be the last to go.
    for (std::size_t i = n; i > 0; --i) {
        const auto it = m_index.find(chain[i - 1]);
        m_order.splice(m_order.begin(), m_order, it->second);
    }
    return n;
}

BlockCache::Change BlockCache::insert(const std::vector<std::uint64_t> &chain)
{
    Change change;
    const std::size_t n = std::min(chain.size(), m_capacity);
    for (std::size_t i = n; i > 0; --i) {
        const std::uint64_t block = chain[i - 1];
        const auto it = m_index.find(block);
        if (it != m_index.end()) {
            m_order.splice(m_order.begin(), m_order, it->second);
            continue;
        }
        m_order.push_front(block);
        m_index[block] = m_order.begin();
        change.stored.insert(change.stored.begin(), block);
    }
    while (m_order.size() > m_capacity) {
        change.removed.push_back(m_order.back());
        m_index.erase(m_order.back());
        m_order.pop_back();
    }
    return change;
}

std::vector<std::uint64_t> BlockCache::clear()
{
    std::vector<std::uint64_t> all(m_order.begin(), m_order.end());
    m_order.clear();
    m_index.clear();
    return all;
}

} // namespace standins
