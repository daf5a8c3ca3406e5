// Tests the differences between texts.

#include "kumquathaven/catalogue/textpatch.h"
#include "common/foreachseed.h"
#include "kumquathaven/base/random.h"

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::catalogue;

namespace {

/// Returns a text of few or of all characters, so that some texts repeat themselves.
std::string randomText(Random &random, std::size_t maxBytes)
{
    std::string text(random.below(maxBytes + 1), ' ');
    const std::uint64_t alphabet = random.below(3) == 0 ? 2 : 256;
    for (char &it : text)
        it = static_cast<char>(random.below(alphabet));
    return text;
}

std::size_t insertedBytes(const TextPatch &patch)
{
    std::size_t bytes = 0;
    for (const TextPiece &it : patch.pieces)
        bytes += it.inserted.size();
    return bytes;
}

} // namespace

TEST_CASE("a patch makes the new text, and costs as many bytes as were changed")
{
    kumquathaven::testing::forEachSeed(200, [](std::uint64_t seed) {
        CAPTURE(seed);
        Random random(seed);
        const std::string before = randomText(random, 20'000);
        std::string after = before;
        std::size_t changed = 0;
        const std::size_t edits = random.below(5);
        for (std::size_t n = 0; n < edits; ++n) {
            const std::size_t at = random.below(after.size() + 1);
            const std::size_t length =
                random.below(std::min<std::size_t>(200, after.size() - at) + 1);
            const std::string text = randomText(random, 200);
            after.replace(at, length, text);
            changed += text.size();
        }
        const TextPatch patch = difference(before, after);
        CHECK(patched(before, patch, after.size()) == after);
        if (!after.empty())
            CHECK_FALSE(patched(before, patch, after.size() - 1).has_value());
        // An edit may cost a block on each side of it that is not found again.
        CHECK(insertedBytes(patch) <= changed + 64 * edits);
    });
}

TEST_CASE("a patch that names bytes outside of the text is refused")
{
    constexpr std::uint64_t most = ~std::uint64_t{0};
    const std::string before = "abc";
    for (const TextPiece &it :
         {TextPiece{0, 4, {}}, TextPiece{4, 0, {}}, TextPiece{most, 2, {}}, TextPiece{2, most, {}}})
        CHECK_FALSE(patched(before, {{it}}, 100).has_value());
    CHECK_FALSE(patched(before, {{{0, 3, {}}, {0, 3, {}}}}, 5).has_value());
    CHECK(patched(before, {{{3, 0, "d"}, {0, 3, {}}}}, 4) == "dabc");
}
