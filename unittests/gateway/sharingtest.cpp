#include "enginesimulation.h"

#include <doctest/doctest.h>

using namespace gatewaytest;

TEST_CASE("with many servers and instances, fresh knowledge of each other reduces late answers")
{
    SimulationConfig config;
    config.instances = 57;
    config.engines = 89;
    config.load = 0.4;
    config.variesLengths = true;
    const std::vector<double> speeds = {0.6, 1.0, 1.6};
    const LateCounts fresh = Simulation(config, speeds, 1).run();
    // The age where each instance sends 150 messages a second to the others directly.
    config.updateInterval = milliseconds(375);
    const LateCounts old = Simulation(config, speeds, 1).run();
    MESSAGE("late long: ", fresh.lateLong, " of ", fresh.totalLong, ", old ", old.lateLong,
            "; late short: ", fresh.lateShort, " of ", fresh.totalShort, ", old ", old.lateShort);
    CHECK(fresh.lateLong < old.lateLong);
    CHECK(fresh.lateShort < old.lateShort);
}
