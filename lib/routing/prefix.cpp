#include "kumquathaven/routing/prefix.h"

#include "kumquathaven/base/hash.h"

#include <cassert>
#include <utility>

namespace kumquathaven::routing {

namespace {

constexpr std::size_t bytesPerToken = 4;

std::uint64_t scopeHash(const PrefixScope &scope)
{
    std::uint64_t hash = stableHash(cacheSalt(scope.customer));
    hash = combineHash(hash, stableHash(scope.model));
    hash = combineHash(hash, stableHash(scope.adapter));
    return combineHash(hash, stableHash(scope.weightsVersion));
}

} // namespace

std::string cacheSalt(std::string_view customer)
{
    return customer.empty() ? "open" : "customer:" + std::string(customer);
}

std::uint32_t countTokens(std::string_view text)
{
    return static_cast<std::uint32_t>((text.size() + bytesPerToken - 1) / bytesPerToken);
}

PrefixChain::PrefixChain(const PrefixScope &scope, std::string_view text, std::uint32_t blockTokens)
    : m_promptTokens(countTokens(text))
    , m_blockTokens(blockTokens)
    , m_weightsVersion(scope.weightsVersion)
{
    assert(blockTokens > 0 && "a block needs a token");
    const std::size_t blockBytes = blockTokens * bytesPerToken;
    std::uint64_t hash = scopeHash(scope);
    m_blocks.reserve(text.size() / blockBytes);
    for (std::size_t at = 0; at + blockBytes <= text.size(); at += blockBytes) {
        hash = combineHash(hash, stableHash(text.substr(at, blockBytes)));
        m_blocks.push_back(BlockHash(hash));
    }
}

PrefixChain::PrefixChain(const PrefixScope &scope, const std::vector<NamedPart> &parts,
                         std::uint32_t blockTokens)
    : m_promptTokens(0)
    , m_blockTokens(blockTokens)
    , m_weightsVersion(scope.weightsVersion)
{
    assert(blockTokens > 0 && "a block needs a token");
    std::uint64_t hash = scopeHash(scope);
    for (const NamedPart &it : parts) {
        m_promptTokens += it.tokens;
        hash = combineHash(hash, stableHash(it.name));
        for (std::uint32_t n = 0; n < it.tokens / blockTokens; ++n) {
            hash = combineHash(hash, n);
            m_blocks.push_back(BlockHash(hash));
        }
    }
}

PrefixChain PrefixChain::ofParts(const PrefixScope &scope, const std::vector<NamedPart> &parts,
                                 std::uint32_t uniqueTokens, std::uint32_t blockTokens)
{
    std::vector<BlockHash> blocks;
    std::vector<std::uint32_t> tokens;
    std::uint32_t promptTokens = uniqueTokens;
    std::uint64_t hash = scopeHash(scope);
    for (const NamedPart &it : parts) {
        promptTokens += it.tokens;
        hash = combineHash(combineHash(hash, stableHash(it.name)), it.tokens);
        blocks.push_back(BlockHash(hash));
        tokens.push_back(it.tokens);
    }
    return {std::move(blocks), std::move(tokens), promptTokens, blockTokens, scope.weightsVersion};
}

} // namespace kumquathaven::routing
