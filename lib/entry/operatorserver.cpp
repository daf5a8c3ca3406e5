#include "operatorserver.h"

#include "fleetquarantine.h"

#include <nlohmann/json.hpp>

namespace kumquathaven::entry {

namespace {

bool isFresh(const EntryState &state, const catalogue::Snapshot &snapshot)
{
    return catalogue::isFresh(snapshot, monotonicNow(), state.settings.freshnessBound);
}

runtime::HttpReply readiness(const EntryState &state)
{
    const auto snapshot = state.view.current();
    if (snapshot.replaced)
        return {503, "text/plain", {}, "another process took this instance's name\n"};
    return isFresh(state, snapshot)
        ? runtime::HttpReply{200, "text/plain", {}, "ready\n"}
        : runtime::HttpReply{503, "text/plain", {}, "no fresh configuration\n"};
}

std::string statusBody(const EntryState &state)
{
    const auto snapshot = state.view.current();
    const feed::ClientStatus feed = state.feed->status();
    const KvStatus kv = state.kv.status();
    nlohmann::json body = {
        {"instance", state.settings.instance},
        {"revision", snapshot.catalogue->revision},
        {"epoch", snapshot.instances->epoch},
        {"fresh", isFresh(state, snapshot)},
        {"replaced", snapshot.replaced},
        {"draining", state.drainRequested.load()},
        {"streams", state.streams.load()},
        {"runningByUpstream", state.upstreams.running()},
        {"kvStore",
         {{"name", kv.store},
          {"state", nameOf(routing::healthStateNames, kv.state)},
          {"blocks", kv.blocks}}},
        {"feed",
         {{"member", feed.member},
          {"relay", feed.relay},
          {"children", feed.children},
          {"relayFailures", feed.relayFailures}}},
    };
    return body.dump();
}

// Sets the gauges that are read only when somebody asks.
void takeCounts(EntryState &state)
{
    auto &metrics = state.metrics;
    metrics.gauge("kumquathaven_streams", "requests being served").set(state.streams);
    metrics.gauge("kumquathaven_replaced", "1 if another process took this name")
        .set(state.view.current().replaced ? 1 : 0);
    if (state.hub == nullptr)
        return;
    const wire::HubCounters counters = state.hub->counters();
    metrics.gauge("kumquathaven_link_bytes_sent", "bytes sent on links")
        .set(static_cast<double>(counters.bytesSent));
    metrics.gauge("kumquathaven_link_bytes_received", "bytes received on links")
        .set(static_cast<double>(counters.bytesReceived));
}

} // namespace

void handleOperator(EntryState &state, runtime::HttpExchange &exchange)
{
    const auto &request = exchange.request();
    const auto answer = [&](int status, const std::string &type, const std::string &body) {
        exchange.reply({status, type, {}, body});
    };
    if (request.path == "/healthz")
        return answer(200, "text/plain", "ok\n");
    if (request.path == "/readyz")
        return static_cast<void>(exchange.reply(readiness(state)));
    if (request.path == "/metrics") {
        takeCounts(state);
        return answer(200, "text/plain; version=0.0.4", state.metrics.exposition());
    }
    if (request.path == "/v1/status")
        return answer(200, "application/json", statusBody(state));
    if (request.path == "/v1/quarantine" && request.method == "GET")
        return answer(200, "application/json", state.quarantine->describe(monotonicNow()));
    if (request.path == "/v1/quarantine" && request.method == "POST") {
        const auto body = nlohmann::json::parse(request.body, nullptr, false);
        const std::string part = body.is_object() ? body.value("lift", std::string()) : "";
        const bool isLifted = state.quarantine->lift(part, monotonicNow());
        return answer(isLifted ? 200 : 404, "application/json",
                      nlohmann::json({{"lifted", isLifted}}).dump());
    }
    if (request.path == "/v1/drain" && request.method == "POST") {
        state.drainRequested = true;
        return answer(202, "application/json", "{\"draining\":true}");
    }
    exchange.reply(runtime::errorReply({ErrorCode::NotFound,
                                        "operators.find",
                                        {},
                                        "no such path or method",
                                        Outcome::NotRun,
                                        {}}));
}

} // namespace kumquathaven::entry
