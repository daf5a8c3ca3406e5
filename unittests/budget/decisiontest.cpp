#include "kumquathaven/budget/peerbudget.h"

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::budget;

namespace {

constexpr std::size_t kb = 1024;
constexpr std::size_t mb = 1024 * kb;

TimePoint at(int ms)
{
    return TimePoint(std::chrono::milliseconds(ms));
}

PeerAccount peer(std::uint64_t id, std::size_t bytes, int progressMs,
                 PeerStage stage = PeerStage::Waiting)
{
    return {id, bytes, stage, at(progressMs), at(progressMs)};
}

using Ids = std::vector<std::uint64_t>;

} // namespace

TEST_CASE("peers that fit stay")
{
    CHECK(peersToEnd({peer(1, 3 * mb, 0), peer(2, 4 * kb, 0)}, 8 * mb).empty());
    CHECK(peersToEnd({}, mb).empty());
}

TEST_CASE("the largest ends first, and of those alike the one without progress for longest")
{
    CHECK(peersToEnd({peer(1, 3 * mb, 50), peer(2, 3 * mb + 5, 10), peer(3, mb, 0)}, 8 * mb)
          == Ids{2});
    CHECK(peersToEnd({peer(1, 3 * mb, 50), peer(2, 5 * mb, 90), peer(3, mb, 0)}, 8 * mb) == Ids{2});
}

TEST_CASE("a request that is being served is not ended")
{
    CHECK(peersToEnd({peer(1, 7 * mb, 0, PeerStage::Served), peer(2, mb, 0)}, 8 * mb) == Ids{2});
    CHECK(peersToEnd({peer(1, 9 * mb, 0, PeerStage::Served)}, 8 * mb).empty());
}

TEST_CASE("small peers keep the reserve that large ones do not get")
{
    const PeerAccount served = peer(1, 7 * mb, 0, PeerStage::Served);
    CHECK(peersToEnd({served, peer(2, 64 * kb, 0)}, 8 * mb).empty());
    CHECK(peersToEnd({served, peer(2, 64 * kb, 0), peer(3, 65 * kb, 9)}, 8 * mb) == Ids{3});
}

TEST_CASE("a further connection takes the place of the one that has waited longest")
{
    CHECK(peerToReplace({peer(1, 9, 5), peer(2, 9, 3), peer(3, 9, 1, PeerStage::Served)}) == 2);
    CHECK_FALSE(peerToReplace({peer(3, 9, 1, PeerStage::Served)}).has_value());
}

TEST_CASE("accounts end once, and their bytes count until they are closed")
{
    const auto budget = std::make_shared<PeerBudget>(8 * mb);
    int ended = 0;
    Account first = budget->open(
        budget.get(),
        [&] {
            ++ended;
        },
        at(0));
    Account second = budget->open(
        budget.get(), [] {}, at(0));
    first.set(5 * mb, at(1));
    second.set(mb, at(2));
    CHECK(ended == 0);
    second.set(2 * mb, at(3));
    second.set(2 * mb + 1, at(4));
    CHECK(ended == 1);
    CHECK(budget->heldBytes() == 7 * mb + 1);
    CHECK(budget->endedForMemory() >= 1);
    first = {};
    CHECK(budget->heldBytes() == 2 * mb + 1);
    second = {};
    CHECK(budget->heldBytes() == 0);
    CHECK_FALSE(budget->replaceOne(budget.get()));
}
