#include "fixture.h"

#include <doctest/doctest.h>

#include <set>

using namespace routingtest;

TEST_CASE("scopes that differ in one field share no block")
{
    const std::vector<PrefixScope> scopes = {
        {"a", "m", "", "1"},    {"b", "m", "", "1"},         {"", "m", "", "1"},
        {"a", "n", "", "1"},    {"a", "m", "x", "1"},        {"a", "m", "", "2"},
        {"am", "", "", "1"},    {"", "am", "", "1"},         {"a", "m", "1", ""},
        {"a", "", "m", "1"},    {"a", "m1", "", ""},         {"m", "a", "", "1"},
        {"open", "m", "", "1"}, {"customer:a", "m", "", "1"}};
    std::set<BlockHash> seen;
    std::size_t blocks = 0;
    for (const PrefixScope &it : scopes) {
        const PrefixChain prompt(it, text(8), blockTokens);
        for (const BlockHash block : prompt.blocks()) {
            seen.insert(block);
            ++blocks;
        }
    }
    CHECK(seen.size() == blocks);
}

TEST_CASE("a block hash covers everything before it")
{
    const PrefixChain shorter = chain(6);
    const PrefixChain longer = chain(9);
    for (std::size_t n = 0; n < 6; ++n)
        CHECK(shorter.blocks()[n] == longer.blocks()[n]);
    std::string changed = text(6);
    changed[0] = 'z';
    const PrefixChain other({"c", "m", {}, "1"}, changed, blockTokens);
    for (std::size_t n = 0; n < 6; ++n)
        CHECK(shorter.blocks()[n] != other.blocks()[n]);
    CHECK(PrefixChain({"c", "m", {}, "1"}, "short", blockTokens).blocks().empty());
    CHECK(PrefixChain({"c", "m", {}, "1"}, "short", blockTokens).promptTokens() == 2);
}

TEST_CASE("the index is bounded in blocks and in holders")
{
    PrefixIndex index(100, 4);
    for (std::uint64_t n = 0; n < 1000; ++n) {
        for (Slot slot = 0; slot < 10; ++slot)
            index.addHolder(BlockHash(n), {slot, 1, 0, true, TimePoint(seconds(slot))});
        CHECK(index.size() <= 100);
        CHECK(index.holders(BlockHash(n)).size() == 4);
    }
    CHECK(index.holders(BlockHash(0)).empty());
    CHECK(index.holders(BlockHash(999)).size() == 4);
}
