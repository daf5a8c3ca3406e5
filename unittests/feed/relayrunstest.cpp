// Tests entries that relay to each other in generated runs, in which some entries freeze, restart,
// are cut off or answer under another entry's name.

#include "common/foreachseed.h"
#include "relayfleet.h"

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::feed;

using kumquathaven::testing::forEachSeed;

TEST_CASE("relayed runs: positions never move back, proofs never appear newer, and all recover "
          "from cycles")
{
    forEachSeed(runs, [](std::uint64_t seed) {
        CAPTURE(seed);
        Fleet fleet(seed);
        fleet.hasFaults = true;
        fleet.hasRedirects = seed % 2 == 1;
        fleet.advance(seconds(20));
        fleet.hasFaults = false;
        fleet.advance(seconds(12));
        fleet.hasChanges = false;
        fleet.advance(seconds(3));
        fleet.checkAllHoldTheNewest();
    });
}
