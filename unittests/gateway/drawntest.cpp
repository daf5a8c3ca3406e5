#include "shortplay.h"

using namespace gatewaytest::shortplay;

TEST_CASE("a draw among engines keeps instances with old knowledge from choosing the same one")
{
    PlayConfig config;
    PlayResult drawn = Play(config).run();
    config.drawnUpstreams = 0;
    PlayResult all = Play(config).run();
    show("drawn", drawn);
    show("all", all);
    CHECK(drawn.shareInTime() > all.shareInTime());
    CHECK(drawn.worstSecond() > all.worstSecond());
    CHECK(drawn.longInTime * all.longTotal >= all.longInTime * drawn.longTotal);
}

TEST_CASE("a draw among engines helps also while an instance gets no reports or an engine leaves")
{
    for (const bool losesEngine : {false, true}) {
        CAPTURE(losesEngine);
        PlayConfig config;
        config.losesReports = !losesEngine;
        config.losesEngine = losesEngine;
        PlayResult drawn = Play(config).run();
        config.drawnUpstreams = 0;
        PlayResult all = Play(config).run();
        show("drawn", drawn);
        show("all", all);
        CHECK(drawn.shareInTime() > all.shareInTime());
    }
}
