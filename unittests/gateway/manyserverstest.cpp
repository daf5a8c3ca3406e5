// Simulations of many instances and many servers. They take most of the run time of this test
// program.

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
    // With old knowledge, instances that know the fast engines all choose these at the same time.
    config.updateInterval = milliseconds(50);
    const LateCounts withReports = Simulation(config, speeds, 1).run();
    config.sharesPauses = false;
    const LateCounts withoutReports = Simulation(config, speeds, 1).run();
    MESSAGE("late long: ", withReports.lateLong, " of ", withReports.totalLong,
            ", without reports ", withoutReports.lateLong, "; late short: ", withReports.lateShort,
            " of ", withReports.totalShort, ", without reports ", withoutReports.lateShort);
    CHECK(withReports.lateLong < withoutReports.lateLong);
    CHECK(withReports.lateLong + withReports.lateShort
          < withoutReports.lateLong + withoutReports.lateShort);
}
