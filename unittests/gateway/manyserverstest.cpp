// Plays of many instances before many servers. They take most of the time of this program's cases.

#include "enginesimulation.h"

#include <doctest/doctest.h>

using namespace gatewaytest;

TEST_CASE("with many servers, sharing chunk pauses between instances reduces late answers")
{
    // Each instance gets so few answers of each server that it hardly learns any speed by itself.
    const std::vector<double> speeds = {0.6, 1.0, 1.6};
    SimulationConfig config;
    config.instances = 57;
    config.engines = 89;
    config.load = 1.0;
    // Where news are old, instances that know the fast engines all choose these at once.
    config.updateInterval = milliseconds(50);
    const LateCounts withReports = Simulation(config, speeds, 1).run();
    config.sharesPauses = false;
    const LateCounts withoutReports = Simulation(config, speeds, 1).run();
    MESSAGE("late long: ", withReports.lateLong, " of ", withReports.totalLong, ", untold ",
            withoutReports.lateLong, "; late short: ", withReports.lateShort, " of ",
            withReports.totalShort, ", untold ", withoutReports.lateShort);
    CHECK(withReports.lateLong < withoutReports.lateLong);
    CHECK(withReports.lateLong + withReports.lateShort
          < withoutReports.lateLong + withoutReports.lateShort);
}
