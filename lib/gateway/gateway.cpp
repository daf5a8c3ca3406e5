#include "gateway.h"

#include "kumquathaven/runtime/processbudget.h"

namespace kumquathaven::gateway {

namespace {

KindTimes timesOfKind(telemetry::Metrics &metrics, deployment::RequestKind kind)
{
    const telemetry::Labels labels = {
        {"kind", std::string(nameOf(deployment::requestKindNames, kind))}};
    return {metrics.histogram("kumquathaven_first_byte_seconds",
                              "time from a whole request to the first byte of its answer", labels),
            metrics.histogram("kumquathaven_stream_pause_seconds",
                              "time between two pieces of a stream that were passed on", labels),
            metrics.histogram("kumquathaven_answer_seconds",
                              "time from a whole request to the end of its answer", labels)};
}

} // namespace

RequestCounters::RequestCounters(telemetry::Metrics &metrics)
    : accepted(metrics.counter("kumquathaven_requests_total", "requests read whole"))
    , answered(metrics.counter("kumquathaven_answers_total", "answers of servers passed on whole"))
    , callersDisconnected(metrics.counter("kumquathaven_callers_gone_total",
                                          "callers that left before their answer was whole"))
    , resumed(metrics.counter("kumquathaven_streams_resumed_total",
                              "streams that another server went on with"))
    , retried(metrics.counter("kumquathaven_repeats_total", "sends of requests beyond their first"))
    , cut(metrics.counter("kumquathaven_answers_cut_total",
                          "answers that were begun and could not be finished"))
    , malformed(metrics.counter("kumquathaven_requests_malformed_total",
                                "requests that were not understood"))
    , malformedFrames(metrics.counter("kumquathaven_entry_frames_malformed_total",
                                      "frames of other entries that were not understood",
                                      {{"channel", "slices"}}))
    , times{timesOfKind(metrics, deployment::RequestKind::Idempotent),
            timesOfKind(metrics, deployment::RequestKind::NonIdempotent),
            timesOfKind(metrics, deployment::RequestKind::Streaming)}
{ }

StateGauges::StateGauges(telemetry::Metrics &metrics)
    : configuration(
        metrics.gauge("kumquathaven_configuration_version", "version of the plan in force"))
    , controlAge(metrics.gauge("kumquathaven_control_age_seconds",
                               "age of the newest proof that what control told is up to date"))
    , listAge(metrics.gauge("kumquathaven_list_age_seconds",
                            "time since the list of servers was read from the platform"))
    , serversKnown(metrics.gauge("kumquathaven_servers_known", "servers on the list"))
    , serversEjected(metrics.gauge("kumquathaven_servers_ejected",
                                   "servers that get no work but trials, for what requests saw"))
    , serversPaced(metrics.gauge("kumquathaven_servers_paced",
                                 "servers that have just started or recovered and get work only as "
                                 "fast as they answer"))
    , heldBack(metrics.gauge("kumquathaven_servers_paced_held_back",
                             "requests that went to other servers than paced ones since the start"))
    , requestsRunning(
          metrics.gauge("kumquathaven_requests_running", "requests that are not answered yet"))
    , logLinesDropped(metrics.gauge("kumquathaven_log_lines_dropped",
                                    "log lines beyond the rate since the start"))
{ }

Gateway::Gateway(const settings::Settings &s, const deployment::Dialect &d, telemetry::Metrics &m,
                 TokenLimits &l)
    : settings(s)
    , dialect(d)
    , metrics(m)
    , limits(l)
    , budget(runtime::processBudget(s))
    , quarantine(m)
    , endedServers(loop, m,
                   [this](const std::string &start, TimePoint at,
                          const std::vector<std::vector<std::string>> &requests) {
                       const auto server = servers.known.find(start);
                       const bool isKnown = server != servers.known.end();
                       quarantine.recordCrash(isKnown ? server->second.listed.service : "", start,
                                              requests, at);
                   })
    , counters(m)
    , gauges(m)
{
    const settings::Platform &platform = *s.platform;
    servers.weightsTime = platform.weightsTime;
    servers.pacesServers = platform.pacesServers;
    servers.releases.policy = {platform.exposureShare, platform.exposureSlack,
                               platform.rollbackTime};
    retryRules.ratio = platform.retryRatio;
    retryRules.slack = platform.retrySlack;
    retryRules.window = platform.retryWindow;
}

void noticeStop(Gateway &gateway)
{
    if (gateway.leaving || gateway.stopRequest == nullptr)
        return;
    if (const auto requestedAt = gateway.stopRequest->requestedAt())
        gateway.leaving = leavingFrom(gateway.settings.platform->stopGrace, *requestedAt);
}

} // namespace kumquathaven::gateway
