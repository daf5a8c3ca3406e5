#include "kumquathaven/catalogue/textpatch.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace kumquathaven::catalogue {

namespace {

/// Length of the blocks of the old text that are looked for in the new one. Shorter common parts
/// are inserted anew.
constexpr std::size_t blockBytes = 32;
/// Factor of the rolling hash.
constexpr std::uint64_t factor = 0x9E3779B97F4A7C15U;

/// A polynomial hash of blockBytes bytes that moves along a text.
class RollingHash
{
public:
    explicit RollingHash(std::string_view block)
    {
        for (const char it : block)
            m_value = m_value * factor + static_cast<unsigned char>(it);
    }

    void roll(char leaving, char entering)
    {
        m_value -= static_cast<unsigned char>(leaving) * leavingFactor();
        m_value = m_value * factor + static_cast<unsigned char>(entering);
    }

    std::uint64_t value() const { return m_value; }

private:
    static std::uint64_t leavingFactor()
    {
        static const std::uint64_t power = [] {
            std::uint64_t value = 1;
            for (std::size_t n = 1; n < blockBytes; ++n)
                value *= factor;
            return value;
        }();
        return power;
    }

    std::uint64_t m_value = 0;
};

/// Appends bytes to what is inserted at the present end of a patch.
void insert(TextPatch &patch, std::string_view bytes)
{
    if (bytes.empty())
        return;
    if (patch.pieces.empty())
        patch.pieces.emplace_back();
    patch.pieces.back().inserted += bytes;
}

std::size_t commonPrefix(std::string_view a, std::string_view b)
{
    const auto end = std::mismatch(a.begin(), a.end(), b.begin(), b.end()).first;
    return static_cast<std::size_t>(end - a.begin());
}

std::size_t commonSuffix(std::string_view a, std::string_view b)
{
    const auto end = std::mismatch(a.rbegin(), a.rend(), b.rbegin(), b.rend()).first;
    return static_cast<std::size_t>(end - a.rbegin());
}

/// Appends the pieces that make \p after, with copies of whole blocks of \p before and of what is
/// the same next to them. \p base is the offset of \p before in the whole text.
void appendDifference(TextPatch &patch, std::string_view before, std::size_t base,
                      std::string_view after)
{
    std::unordered_map<std::uint64_t, std::size_t> blocks;
    for (std::size_t n = 0; n + blockBytes <= before.size(); n += blockBytes)
        blocks.emplace(RollingHash(before.substr(n, blockBytes)).value(), n);
    std::size_t done = 0;
    std::size_t at = 0;
    while (!blocks.empty() && at + blockBytes <= after.size()) {
        RollingHash hash(after.substr(at, blockBytes));
        auto it = blocks.find(hash.value());
        while (it == blocks.end() && at + blockBytes < after.size()) {
            hash.roll(after[at], after[at + blockBytes]);
            ++at;
            it = blocks.find(hash.value());
        }
        if (it == blocks.end())
            break;
        const std::size_t length = commonPrefix(before.substr(it->second), after.substr(at));
        if (length < blockBytes) {
            ++at;
            continue;
        }
        const std::size_t earlier =
            commonSuffix(before.substr(0, it->second), after.substr(done, at - done));
        insert(patch, after.substr(done, at - earlier - done));
        patch.pieces.push_back({base + it->second - earlier, length + earlier, {}});
        at += length;
        done = at;
    }
    insert(patch, after.substr(done));
}

} // namespace

TextPatch difference(const std::string &before, const std::string &after)
{
    TextPatch patch;
    std::string_view old(before);
    std::string_view next(after);
    const std::size_t prefix = commonPrefix(old, next);
    old.remove_prefix(prefix);
    next.remove_prefix(prefix);
    const std::size_t suffix = commonSuffix(old, next);
    old.remove_suffix(suffix);
    next.remove_suffix(suffix);
    if (prefix > 0)
        patch.pieces.push_back({0, prefix, {}});
    appendDifference(patch, old, prefix, next);
    if (suffix > 0)
        patch.pieces.push_back({before.size() - suffix, suffix, {}});
    return patch;
}

std::optional<std::string> patched(const std::string &before, const TextPatch &patch,
                                   std::size_t maxBytes)
{
    std::size_t bytes = 0;
    for (const TextPiece &it : patch.pieces) {
        const bool isInside = it.offset <= before.size() && it.length <= before.size() - it.offset;
        if (!isInside || it.length > maxBytes || it.inserted.size() > maxBytes)
            return std::nullopt;
        bytes += it.length + it.inserted.size();
        if (bytes > maxBytes)
            return std::nullopt;
    }
    std::string text;
    text.reserve(bytes);
    for (const TextPiece &it : patch.pieces) {
        text.append(before, it.offset, it.length);
        text += it.inserted;
    }
    return text;
}

} // namespace kumquathaven::catalogue
