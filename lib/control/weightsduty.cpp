#include "weightsduty.h"

#include "kumquathaven/catalogue/json.h"
#include "kumquathaven/runtime/httpclient.h"
#include "kumquathaven/telemetry/log.h"

#include <functional>

namespace kumquathaven::control {

namespace {

constexpr std::size_t ringCapacity = 4096;
constexpr Duration stepInterval = std::chrono::milliseconds(50);
constexpr Duration idleInterval = std::chrono::milliseconds(250);
/// Time between two reads of the list, while servers are to be brought to new weights and while
/// none is known.
constexpr Duration listInterval = std::chrono::seconds(1);
constexpr Duration idleListInterval = std::chrono::milliseconds(2500);
constexpr Duration callerPoll = std::chrono::seconds(1);
/// Maximum age of the proof of leadership with which orders may be sent.
constexpr Duration maxProofAge = std::chrono::milliseconds(500);
constexpr std::size_t maxAnswerBytes = std::size_t{4} * 1024 * 1024;

runtime::CallTimeouts callTimeouts()
{
    runtime::CallTimeouts timeouts;
    timeouts.connect = std::chrono::milliseconds(300);
    timeouts.silence = std::chrono::milliseconds(700);
    timeouts.total = std::chrono::seconds(2);
    return timeouts;
}

} // namespace

WeightsDuty::WeightsDuty(const settings::Settings &settings, const deployment::Dialect &dialect,
                         LogDuty &log, const CatalogueMachine &machine, ServerList &list)
    : m_settings(settings)
    , m_dialect(dialect)
    , m_log(log)
    , m_machine(machine)
    , m_calls(ringCapacity)
    , m_answers(ringCapacity)
    , m_list(list)
{ }

/// Returns whether this member may send orders. Orders of the former leader may still arrive until
/// its lease has expired, so a new leader waits that long. The wait is not needed if the servers
/// check fencing numbers: they refuse orders with a lower number than the highest that they have
/// seen.
bool WeightsDuty::mayOrder(TimePoint now) const
{
    const settings::Platform &platform = *m_settings.platform;
    const LogStatus status = m_log.status();
    const Duration wait = platform.checksFencing ? Duration(0) : platform.orderLease;
    return status.raftState.role == consensus::Role::Leader && now - status.leaderSince >= wait
        && now - status.proof.provenAt <= maxProofAge;
}

void WeightsDuty::run(const runtime::StopSignal &stop)
{
    while (!stop.requested()) {
        const TimePoint now = monotonicNow();
        const std::shared_ptr<const catalogue::Catalogue> catalogue =
            m_machine.published().catalogue;
        if (catalogue->weights.empty() || !mayOrder(now)) {
            m_rollout = {};
            m_servers.clear();
            m_idleAt = now;
            stop.waitFor(idleInterval);
            continue;
        }
        m_term = m_log.status().raftState.term;
        readList();
        const deployment::RolloutStep step =
            nextStep(m_rollout, m_servers, *catalogue, deployment::RolloutTimes(), now);
        record(step);
        for (const deployment::RolloutCall &it : step.calls)
            m_calls.tryPush({it, m_term});
        std::optional<deployment::RolloutAnswer> answer = m_answers.pop(stepInterval);
        while (answer) {
            handleAnswer(m_rollout, *answer, deployment::RolloutTimes(), monotonicNow());
            answer = m_answers.pop(Duration(0));
        }
    }
    m_calls.close();
}

/// Reads the list of servers. If it can not be read, the former list is kept.
void WeightsDuty::readList()
{
    m_list.refresh(m_rollout.servers.empty() ? idleListInterval : listInterval);
    const auto reading = m_list.newest();
    if (reading && reading->readAt >= m_idleAt)
        m_servers = reading->servers;
}

void WeightsDuty::record(const deployment::RolloutStep &step)
{
    if (step.records.empty() && step.departed.empty())
        return;
    for (const catalogue::ServerWeights &it : step.records)
        telemetry::logLine(telemetry::LogLevel::Info, "weights",
                           it.isLoading ? "server must load weights" : "server serves weights",
                           {{"server", it.server},
                            {"model", it.model},
                            {"version", std::to_string(it.version)},
                            {"fence", std::to_string(m_term)}});
    const catalogue::Change change{
        {}, {}, catalogue::RecordServerWeights{step.records, step.departed}};
    // A record that is lost is made again from the server's next report.
    m_log.command(catalogue::encodeChange(change), [](const CommandResult &) {});
}

void WeightsDuty::call(const runtime::StopSignal &stop)
{
    while (!stop.requested()) {
        const std::optional<Call> next = m_calls.pop(callerPoll);
        if (next)
            m_answers.tryPush(sendCall(*next));
        else if (m_calls.isClosed())
            return;
    }
}

deployment::RolloutAnswer WeightsDuty::sendCall(const Call &call) const
{
    const deployment::RolloutCall &it = call.call;
    deployment::RolloutAnswer answer;
    answer.start = deployment::startIdOf(it.server);
    answer.kind = it.kind;
    return orElse(
        [&]() -> Result<deployment::RolloutAnswer> {
            runtime::HttpRequest request;
            request.method = "GET";
            request.path = m_dialect.servers.reportPath;
            request.headers = {{m_dialect.servers.targetField, it.server.id}};
            std::function<bool()> maySend;
            if (it.kind == deployment::RolloutCall::Kind::Order) {
                // This member may have stopped leading, or may have been paused, while the call
                // waited in the queue and for its connection.
                maySend = [this, &call] {
                    return mayOrder(monotonicNow()) && m_log.status().raftState.term == call.term;
                };
                if (!maySend())
                    return answer;
                request = m_dialect.servers.order(
                    {it.model, it.version, m_settings.instance, call.term, it.expectedOrders},
                    it.server.id);
            }
            BOOST_LEAF_AUTO(reply,
                            runtime::fetch(it.server.address, request.method, request.path,
                                           request.headers, request.body, callTimeouts(),
                                           maxAnswerBytes, maySend));
            if (it.kind == deployment::RolloutCall::Kind::Order) {
                answer.order = m_dialect.servers.readOrderAnswer(reply.status);
                telemetry::logLine(telemetry::LogLevel::Info, "weights", "order answered",
                                   {{"server", it.server.id},
                                    {"model", it.model},
                                    {"version", std::to_string(it.version)},
                                    {"fence", std::to_string(call.term)},
                                    {"status", std::to_string(reply.status)}});
            } else if (reply.status == 200) {
                BOOST_LEAF_ASSIGN(answer.report, m_dialect.servers.readReport(reply.body));
            }
            return answer;
        },
        [&](const Error &error) {
            telemetry::logLine(
                telemetry::LogLevel::Warn, "weights", "call to a server failed",
                {{"server", it.server.id},
                 {"kind", it.kind == deployment::RolloutCall::Kind::Order ? "order" : "report"},
                 {"reason", describe(error)}});
            return answer;
        });
}

} // namespace kumquathaven::control
