#include "gateway.h"

namespace kumquathaven::gateway {

RequestCounters::RequestCounters(telemetry::Metrics &metrics)
    : accepted(metrics.counter("kumquathaven_requests_total", "requests read whole"))
    , answered(metrics.counter("kumquathaven_answers_total", "answers of servers passed on whole"))
    , callersGone(metrics.counter("kumquathaven_callers_gone_total",
                                  "callers that left before their answer was whole"))
    , resumed(metrics.counter("kumquathaven_streams_resumed_total",
                              "streams that another server went on with"))
    , repeated(
          metrics.counter("kumquathaven_repeats_total", "sends of requests beyond their first"))
    , cut(metrics.counter("kumquathaven_answers_cut_total",
                          "answers that were begun and could not be finished"))
    , malformed(metrics.counter("kumquathaven_requests_malformed_total",
                                "requests that were not understood"))
    , firstByte(metrics.histogram("kumquathaven_first_byte_seconds",
                                  "time from a whole request to the first byte of its answer"))
    , wholeAnswer(metrics.histogram("kumquathaven_answer_seconds",
                                    "time from a whole request to the end of its answer"))
{ }

Gateway::Gateway(const settings::Settings &s, const deployment::Dialect &d, telemetry::Metrics &m,
                 TokenLimits &l)
    : settings(s)
    , dialect(d)
    , metrics(m)
    , limits(l)
    , counters(m)
{
    const settings::Platform &platform = *s.platform;
    servers.weightsTime = platform.weightsTime;
    retryRules.ratio = platform.retryRatio;
    retryRules.slack = platform.retrySlack;
    retryRules.window = platform.retryWindow;
}

} // namespace kumquathaven::gateway
