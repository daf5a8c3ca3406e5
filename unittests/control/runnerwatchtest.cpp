// Tests when a runner counts as departed.

#include "runnerwatch.h"

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::control;

TEST_CASE("a runner is departed once it has been missing for longer than a lease")
{
    const Duration lease = std::chrono::seconds(8);
    const TimePoint start(std::chrono::seconds(50));
    catalogue::Instances instances;
    instances.entries["a"].incarnation = 1;
    const std::set<ledger::Runner> busy{{"a", 1}, {"a", 2}, {"b", 1}};
    RunnerWatch watch;
    const auto departedAfter = [&](Duration after) {
        return watch.departed(busy, instances, lease, start + after).size();
    };
    CHECK(departedAfter(Duration(0)) == 0);
    CHECK(departedAfter(lease) == 0);
    // Being listed in between restarts a runner's lease.
    instances.entries["b"].incarnation = 1;
    CHECK(departedAfter(lease + Duration(1)) == 1);
    instances.entries.erase("b");
    CHECK(departedAfter(2 * lease) == 1);
    CHECK(departedAfter(4 * lease) == 2);
    watch.clear();
    CHECK(departedAfter(9 * lease) == 0);
}
