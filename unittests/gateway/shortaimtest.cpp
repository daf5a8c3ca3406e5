// The 99th percentile of short requests beside long ones, against the objective of the former.

#include "shortplay.h"

using namespace gatewaytest::shortplay;
using namespace kumquathaven;

TEST_CASE("with a draw among engines, short requests stay in time beside long ones")
{
    for (const bool losesEngine : {false, true}) {
        CAPTURE(losesEngine);
        PlayConfig config;
        config.losesEngine = losesEngine;
        PlayResult drawn = Play(config).run();
        config.drawnUpstreams = 0;
        PlayResult all = Play(config).run();
        CHECK(drawn.percentile99() <= all.percentile99());
        CHECK(drawn.percentile99() <= toSeconds(shortObjective));
    }
}
