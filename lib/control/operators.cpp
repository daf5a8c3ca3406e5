#include "operators.h"

#include "awaitcommand.h"
#include "orderview.h"

#include "kumquathaven/catalogue/json.h"
#include "kumquathaven/wire/cbor.h"

#include <nlohmann/json.hpp>

namespace kumquathaven::control {

namespace {

using nlohmann::json;

/// Maximum wait for the log, which answers with a timeout error of its own before that.
constexpr Duration maxWait = std::chrono::seconds(10);

runtime::HttpReply jsonReply(int status, const json &body)
{
    runtime::HttpReply reply;
    reply.status = status;
    reply.body = body.dump() + "\n";
    return reply;
}

runtime::HttpReply textReply(int status, const std::string &body)
{
    return {status, "text/plain; version=0.0.4", {}, body};
}

/// Returns the address of a member's interface for operators, or an empty string if the settings do
/// not list the member.
std::string operatorsAddress(const settings::Settings &settings, const std::string &instance)
{
    for (const settings::Member &it : settings.members) {
        if (it.name == instance)
            return settings::toString(it.operators);
    }
    return {};
}

Error withLeaderAddress(const settings::Settings &settings, Error error)
{
    if (error.code == ErrorCode::NotLeader)
        error.peer = operatorsAddress(settings, error.peer);
    return error;
}

/// Confirms that this member leads and that its state includes everything accepted so far, unless
/// the request's query is "local", which asks for the state that this member has.
Result<void> confirmNewest(const OperatorsContext &context, const runtime::HttpRequest &request)
{
    if (request.query == "local")
        return {};
    BOOST_LEAF_CHECK(await(maxWait, [&](const CommandDone &done) {
        return context.logs.front()->query({}, done);
    }));
    return {};
}

Result<runtime::HttpReply> showCatalogue(const OperatorsContext &context,
                                         const runtime::HttpRequest &request)
{
    BOOST_LEAF_CHECK(confirmNewest(context, request));
    return jsonReply(200, catalogue::toJson(*context.machine.published().catalogue));
}

Result<runtime::HttpReply> showInstances(const OperatorsContext &context,
                                         const runtime::HttpRequest &request)
{
    BOOST_LEAF_CHECK(confirmNewest(context, request));
    const PublishedState state = context.machine.published();
    json body = catalogue::toJson(*state.instances);
    body["drained"] = state.drained;
    return jsonReply(200, body);
}

Result<runtime::HttpReply> showOrders(const OperatorsContext &context,
                                      const runtime::HttpRequest &request)
{
    BOOST_LEAF_CHECK(confirmNewest(context, request));
    return jsonReply(
        200, ordersJson(context.machine.published(), context.orders.localState(), monotonicNow()));
}

json memberJson(const consensus::MemberId &member, bool isVoter)
{
    return {{"instance", member.instance}, {"identity", member.identity}, {"voter", isVoter}};
}

json groupJson(std::size_t group, const LogStatus &status)
{
    json members = json::array();
    for (const consensus::MemberId &it : status.configuration.voters)
        members.push_back(memberJson(it, true));
    for (const consensus::MemberId &it : status.configuration.learners)
        members.push_back(memberJson(it, false));
    for (json &member : members) {
        for (const consensus::MemberProgress &it : status.progress) {
            if (it.member.identity != member["identity"].get<std::uint64_t>())
                continue;
            member["matchIndex"] = it.matchIndex;
            member["silenceMs"] =
                std::chrono::duration_cast<std::chrono::milliseconds>(it.timeSinceResponse).count();
        }
    }
    return {{"group", group},
            {"role", consensus::roleName(status.raftState.role)},
            {"term", status.raftState.term},
            {"leader", status.raftState.leader ? status.raftState.leader->instance : ""},
            {"identity", status.self.identity},
            {"commitIndex", status.commitIndex},
            {"appliedIndex", status.appliedIndex},
            {"storageDown", status.isStorageDown},
            {"removed", status.isRemoved},
            {"members", members}};
}

runtime::HttpReply showMembers(const OperatorsContext &context)
{
    json groups = json::array();
    for (std::size_t n = 0; n < context.logs.size(); ++n)
        groups.push_back(groupJson(n, context.logs[n]->status()));
    return jsonReply(200, {{"instance", context.settings.instance}, {"groups", groups}});
}

Result<json> parseBody(const runtime::HttpRequest &request)
{
    json body = json::parse(request.body, nullptr, false);
    if (body.is_discarded())
        return fail({ErrorCode::InvalidRequest,
                     "operators.read",
                     request.peer,
                     "the body is not JSON",
                     Outcome::NotRun,
                     {}});
    return Result<json>(std::move(body));
}

Result<runtime::HttpReply> postChange(const OperatorsContext &context,
                                      const runtime::HttpRequest &request)
{
    BOOST_LEAF_AUTO(body, parseBody(request));
    BOOST_LEAF_AUTO(change, catalogue::changeFromJson(body));
    if (change.changeId.empty())
        return fail({ErrorCode::InvalidRequest,
                     "operators.change",
                     request.peer,
                     "change: field \"changeId\" is missing",
                     Outcome::NotRun,
                     {}});
    BOOST_LEAF_AUTO(bytes, await(maxWait, [&](const CommandDone &done) {
                        return context.logs.front()->command(catalogue::encodeChange(change), done);
                    }));
    BOOST_LEAF_AUTO(value, wire::fromCbor(bytes, "operators.change", {}));
    BOOST_LEAF_AUTO(answer, catalogue::answerFromJson(value));
    return jsonReply(answer.accepted ? 200 : httpStatus(answer.code), value);
}

Result<runtime::HttpReply> postMembers(const OperatorsContext &context,
                                       const runtime::HttpRequest &request)
{
    BOOST_LEAF_AUTO(body, parseBody(request));
    const bool isWellFormed = body.is_object() && body.size() == 3 && body.contains("action")
        && body["action"].is_string() && body.contains("instance") && body["instance"].is_string()
        && body.contains("group") && body["group"].is_number_unsigned()
        && body["group"].get<std::uint64_t>() < context.logs.size();
    const std::string action = isWellFormed ? body["action"].get<std::string>() : std::string();
    const bool isAdmission = action == "add" || action == "replace";
    if (!isAdmission && action != "remove")
        return fail({ErrorCode::InvalidRequest,
                     "operators.members",
                     request.peer,
                     R"(the body must have "action", one of add, remove, replace, )"
                     R"("instance", and "group", the number of a log group)",
                     Outcome::NotRun,
                     {}});
    const std::string instance = body["instance"].get<std::string>();
    if (isAdmission && operatorsAddress(context.settings, instance).empty())
        return fail({ErrorCode::NotFound,
                     "operators.members",
                     instance,
                     "the settings do not list this instance as a member",
                     Outcome::NotRun,
                     {}});
    LogDuty *log = context.logs[body["group"].get<std::size_t>()];
    BOOST_LEAF_CHECK(await(maxWait, [&](const CommandDone &done) {
        return isAdmission ? log->admit(instance, done) : log->remove(instance, done);
    }));
    return jsonReply(200, {{"accepted", true}});
}

runtime::HttpReply showReadiness(const OperatorsContext &context)
{
    for (const LogDuty *it : context.logs) {
        if (it->status().isRemoved)
            return textReply(503, "this member was removed from a log group\n");
    }
    const auto age = context.feed.counts().proofAge;
    const bool isReady = age && *age <= context.settings.freshnessBound;
    return isReady ? textReply(200, "ready\n") : textReply(503, "no recent freshness proof\n");
}

runtime::HttpReply showMetrics(const OperatorsContext &context)
{
    telemetry::Metrics &metrics = context.metrics;
    const auto set = [&metrics](const std::string &name, const std::string &help, double value) {
        metrics.gauge("kumquathaven_" + name, help).set(value);
    };
    const FeedCounts feed = context.feed.counts();
    const wire::HubCounters hub = context.hub.counters();
    const LogStatus log = context.logs.front()->status();
    const PublishedState state = context.machine.published();
    set("revision", "newest revision held", static_cast<double>(state.catalogue->revision));
    set("epoch", "newest epoch held", static_cast<double>(state.instances->epoch));
    set("log_applied_index", "log entries applied", static_cast<double>(log.appliedIndex));
    set("log_term", "term of the log", static_cast<double>(log.raftState.term));
    set("log_removed", "1 on a member that was removed", log.isRemoved ? 1.0 : 0.0);
    for (const LogDuty *it : context.logs) {
        const LogStatus status = it->status();
        const telemetry::Labels group{{"group", std::to_string(status.group)}};
        metrics.gauge("kumquathaven_log_disk_bytes", "bytes of a log on disk", group)
            .set(static_cast<double>(status.diskBytes));
        metrics.gauge("kumquathaven_log_memory_bytes", "bytes of log entries in memory", group)
            .set(static_cast<double>(status.entryBytes));
    }
    set("log_leader", "1 on the leader", log.raftState.role == consensus::Role::Leader ? 1.0 : 0.0);
    set("feed_subscribers", "entry instances fed", static_cast<double>(feed.subscribers));
    set("feed_changes_sent", "changes sent", static_cast<double>(feed.changesSent));
    set("feed_redirects_sent", "instances sent to relays for their first state",
        static_cast<double>(feed.redirected));
    set("feed_held_back", "times that a subscriber's link did not keep up with changes",
        static_cast<double>(feed.heldBack));
    set("feed_snapshots_sent", "whole states sent", static_cast<double>(feed.snapshotsSent));
    set("feed_retained_bytes", "bytes of changes retained for subscribers",
        static_cast<double>(feed.retainedBytes));
    set("feed_frames_dropped", "frames dropped", static_cast<double>(feed.framesDropped));
    set("instances_declared_dead", "instances declared dead",
        static_cast<double>(feed.declaredDead));
    set("instances_hinted", "entries that the platform's list calls leaving or gone",
        static_cast<double>(state.instances->hinted.size()));
    set("platform_list_age_seconds", "age of the platform's list, -1 without one",
        feed.platformListAge ? toSeconds(*feed.platformListAge) : -1.0);
    set("proof_age_seconds", "age of the proof of freshness, -1 without one",
        feed.proofAge ? toSeconds(*feed.proofAge) : -1.0);
    const OrderCounts orders = context.orders.localState().counts;
    set("orders_open", "orders that were not seen to end",
        static_cast<double>(state.orders->open.size()));
    set("orders_fence", "fencing number of the holder", static_cast<double>(state.orders->fence));
    set("orders_sent", "orders sent", static_cast<double>(orders.sent));
    set("orders_refused", "orders that upstreams refused", static_cast<double>(orders.refused));
    set("orders_unanswered", "orders without an answer", static_cast<double>(orders.unanswered));
    set("orders_failed", "orders that failed", static_cast<double>(orders.failed));
    set("link_open", "open links", static_cast<double>(hub.openLinks));
    set("link_frames_sent", "frames sent", static_cast<double>(hub.framesSent));
    set("link_pings_sent", "pings sent", static_cast<double>(hub.pingsSent));
    set("link_frames_received", "frames received", static_cast<double>(hub.framesReceived));
    set("link_bytes_sent", "bytes sent", static_cast<double>(hub.bytesSent));
    set("link_bytes_received", "bytes received", static_cast<double>(hub.bytesReceived));
    set("link_accepted_bytes", "bytes queued on links that others opened",
        static_cast<double>(hub.acceptedBytes));
    set("link_sends_refused", "sends refused", static_cast<double>(hub.sendsRefused));
    set("link_peers_refused", "peers refused", static_cast<double>(hub.peersRefused));
    set("link_peers_silent", "links closed for silence", static_cast<double>(hub.peersSilent));
    return textReply(200, metrics.exposition());
}

Result<runtime::HttpReply> answer(const OperatorsContext &context,
                                  const runtime::HttpRequest &request)
{
    const bool isGet = request.method == "GET";
    if (isGet && request.path == "/healthz")
        return textReply(200, "ok\n");
    if (isGet && request.path == "/readyz")
        return showReadiness(context);
    if (isGet && request.path == "/metrics")
        return showMetrics(context);
    if (isGet && request.path == "/v1/catalogue")
        return showCatalogue(context, request);
    if (isGet && request.path == "/v1/instances")
        return showInstances(context, request);
    if (isGet && request.path == "/v1/orders")
        return showOrders(context, request);
    if (isGet && request.path == "/v1/members")
        return showMembers(context);
    if (request.method == "POST" && request.path == "/v1/changes")
        return postChange(context, request);
    if (request.method == "POST" && request.path == "/v1/members")
        return postMembers(context, request);
    return fail({ErrorCode::NotFound,
                 "operators.find",
                 request.peer,
                 "no such path or method",
                 Outcome::NotRun,
                 {}});
}

} // namespace

void handleOperator(const OperatorsContext &context, runtime::HttpExchange &exchange)
{
    exchange.reply(orElse(
        [&] {
            return answer(context, exchange.request());
        },
        [&](const Error &error) {
            return runtime::errorReply(withLeaderAddress(context.settings, error));
        }));
}

} // namespace kumquathaven::control
