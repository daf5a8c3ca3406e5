// Differences between two texts, so that a small change of a large declaration costs few bytes on a
// link.

#ifndef KUMQUATHAVEN_CATALOGUE_TEXTPATCH_H
#define KUMQUATHAVEN_CATALOGUE_TEXTPATCH_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kumquathaven::catalogue {

/// A part of the new text: bytes of the old text, followed by bytes that are inserted.
struct TextPiece
{
    std::uint64_t offset = 0;
    std::uint64_t length = 0;
    std::string inserted;
};

/// The new text as pieces, in order.
struct TextPatch
{
    std::vector<TextPiece> pieces;
};

/// Returns a patch that turns \p before into \p after. Its size follows from the bytes that differ;
/// the time is linear in the size of both texts.
TextPatch difference(const std::string &before, const std::string &after);

/// Returns the text that \p patch makes of \p before. Without a value the patch names bytes that \p
/// before does not have, or the text would exceed \p maxBytes.
std::optional<std::string> patched(const std::string &before, const TextPatch &patch,
                                   std::size_t maxBytes);

} // namespace kumquathaven::catalogue

#endif // KUMQUATHAVEN_CATALOGUE_TEXTPATCH_H
