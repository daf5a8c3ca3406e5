#include "upstreamstep.h"

#include "fleetquarantine.h"
#include "importstep.h"
#include "relaysink.h"

#include <set>

namespace kumquathaven::entry {

namespace {

constexpr std::size_t maxAttempts = 3;
constexpr Duration noUpstreamRetryAfter = std::chrono::seconds(1);

runtime::HeaderFields answerHeaders(const CallerRequest &request, const Choice &choice)
{
    return {
        {"x-request-id", request.requestId},
        {"x-kumquathaven-upstream", choice.upstream.head.name},
        {"x-kumquathaven-choice", choice.reason},
    };
}

void writeAttemptSpan(Passage &passage, const Choice &choice, const AttemptReport &report,
                      const telemetry::TraceContext &context,
                      std::chrono::system_clock::time_point start)
{
    telemetry::Span span;
    span.context = context;
    span.parentSpanId = passage.request.trace.spanId;
    span.name = "upstream.attempt";
    span.start = start;
    span.end = std::chrono::system_clock::now();
    span.failed = report.end != AttemptEnd::Complete;
    span.attributes = {{"upstream", choice.upstream.head.name}, {"choice", choice.reason}};
    if (report.usage) {
        span.attributes.emplace_back("prompt.tokens", std::to_string(report.usage->prompt));
        span.attributes.emplace_back("cached.tokens", std::to_string(report.usage->cached));
    }
    if (report.error)
        span.attributes.emplace_back("error", describe(*report.error));
    passage.state.spans.write(std::move(span));
}

void countAttempt(Passage &passage, const AttemptReport &report)
{
    auto &metrics = passage.state.metrics;
    const std::string result =
        report.error ? std::string(errorCodeName(report.error->code)) : "complete";
    metrics.counter("kumquathaven_attempts_total", "attempts by result", {{"result", result}})
        .add();
    if (report.usage) {
        metrics.counter("kumquathaven_prompt_tokens_total", "prompt tokens")
            .add(report.usage->prompt);
        metrics.counter("kumquathaven_cached_tokens_total", "prompt tokens that an engine reused")
            .add(report.usage->cached);
        metrics.counter("kumquathaven_completion_tokens_total", "tokens generated")
            .add(report.usage->completion);
    }
    if (report.madeWay)
        metrics.counter("kumquathaven_attempts_moved_total", "attempts ended to be tried elsewhere")
            .add();
    if (report.firstPartAt)
        metrics.histogram("kumquathaven_first_token_seconds", "arrival to first part of the answer")
            .observe(toSeconds(*report.firstPartAt - passage.request.arrivedAt));
}

/// What an attempt asks for besides the request.
struct AttemptPlan
{
    Choice choice;
    /// Number of the attempt; each has a request id of its own.
    std::size_t number = 0;
    /// Whether the caller has a part of the stream.
    bool isContinued = false;
    answers::Recovery recovery;
    std::string weightsVersion;
};

/// Returns the id that an attempt's upstream echoes. Late events of an earlier attempt have
/// another.
std::string attemptId(const CallerRequest &request, std::size_t number)
{
    return number == 0 ? request.requestId : request.requestId + "." + std::to_string(number);
}

/// Returns what ends an attempt whose answer does not begin. A stream that is continued has begun.
FirstPartWatch watchFor(Passage &passage, const AttemptPlan &plan,
                        const std::set<std::string> &tried)
{
    Router &router = passage.state.router;
    const CallerRequest &request = passage.request;
    const Choice &choice = plan.choice;
    FirstPartWatch watch;
    watch.arrived = [&](TimePoint at) {
        router.firstToken(choice, request, at);
    };
    watch.withdrawal = [&] {
        return passage.state.quarantine->withdrawal(passage.subjects, passage.admittedAt,
                                                    monotonicNow());
    };
    if (plan.isContinued || choice.ticket == 0 || !request.route->repeatable)
        return watch;
    watch.giveUpAt = choice.giveUpAt;
    if (plan.number + 1 < maxAttempts) {
        watch.makesWay = [&] {
            return router.makesWay(choice, *passage.snapshot.catalogue, request, tried);
        };
    }
    return watch;
}

// Runs one attempt with a span of its own, which the upstream sees as its parent.
AttemptReport attempt(Passage &passage, const AttemptPlan &plan, const std::set<std::string> &tried,
                      AnswerSink &sink)
{
    const Choice &choice = plan.choice;
    const auto start = std::chrono::system_clock::now();
    CallerRequest request = passage.request;
    request.trace = telemetry::childContext(passage.request.trace);
    request.body = engineBody(passage.request);
    const auto headers = answerHeaders(request, choice);
    request.requestId = attemptId(request, plan.number);
    request.resumeFrom = plan.recovery.resumeFrom;
    request.resumeVersion = plan.weightsVersion;
    AttemptReport report;
    try {
        importBeforeAttempt(passage, choice, sink);
        report = runAttempt(request, choice.upstream, passage.state.settings.bounds, headers, sink,
                            watchFor(passage, plan, tried));
    } catch (...) {
        // An attempt that is never ended would show an ever longer wait.
        passage.state.router.finished(choice, {});
        throw;
    }
    writeAttemptSpan(passage, choice, report, request.trace, start);
    countAttempt(passage, report);
    return report;
}

bool mayTryAgain(const CallerRequest &request, const AttemptReport &report)
{
    const bool isGivenUp = report.error && report.error->code == ErrorCode::DeadlineExceeded;
    return report.end == AttemptEnd::Failed && !isGivenUp && !report.isWithdrawn
        && (report.error->outcome == Outcome::NotRun || request.route->repeatable);
}

/// Returns whether an attempt that begins now cannot be in time.
bool isTooLate(const CallerRequest &request, TimePoint now)
{
    return request.deadline && request.route->repeatable && now >= *request.deadline;
}

Error noUpstream(const CallerRequest &request)
{
    return {ErrorCode::NoUpstream,    "entry.choose",
            request.route->head.name, "no upstream can serve the request now",
            Outcome::NotRun,          noUpstreamRetryAfter};
}

/// Takes the end of an attempt whose caller has a part of a stream: sets the report to what the
/// relay knows.
void settleStream(RelaySink &relay, AttemptReport &report)
{
    answers::Relay &state = relay.relay();
    // The attempt also ends so when the relay would take no more of a faulty stream.
    if (report.end == AttemptEnd::CallerGone && state.fault == answers::StreamFault::None)
        return;
    const bool isComplete = answers::endAttempt(state) == answers::StreamFault::None;
    if (isComplete || state.complete) {
        report.end = AttemptEnd::Complete;
        report.error.reset();
        return;
    }
    report.end = AttemptEnd::Cut;
    report.error = Error{ErrorCode::UpstreamFailed,
                         "upstream.read",
                         report.error ? report.error->peer : std::string(),
                         "the stream failed: " + std::string(answers::streamFaultName(state.fault)),
                         Outcome::Unknown,
                         {}};
}

/// Returns the upstream for the next attempt: another one, or the same again if there is no other
/// and a stream is to be continued.
std::optional<Choice> chooseNext(Passage &passage, std::set<std::string> &tried,
                                 const AttemptReport &last)
{
    const auto &catalogue = *passage.snapshot.catalogue;
    const bool isContinued = last.end == AttemptEnd::Cut;
    auto choice = passage.state.router.choose(catalogue, passage.request, tried, last.madeWay);
    if (!choice && isContinued)
        choice = passage.state.router.choose(catalogue, passage.request, {});
    if (choice)
        tried.insert(choice->upstream.head.name);
    return choice;
}

/// Decides after a stream was cut whether the chosen upstream continues it. Returns false with the
/// report set to how the answer ends.
bool continueStream(const Passage &passage, RelaySink &relay, AttemptPlan &plan,
                    AttemptReport &report)
{
    const catalogue::Upstream &upstream = plan.choice.upstream;
    answers::Relay &state = relay.relay();
    plan.recovery = answers::recover(state, passage.request.route->repeatable,
                                     {{upstream.head.name, upstream.weightsVersion, true}});
    if (plan.recovery.kind == answers::RecoveryKind::Complete) {
        relay.hand(plan.recovery.events);
        report.end = AttemptEnd::Complete;
        report.error.reset();
        return false;
    }
    if (plan.recovery.kind == answers::RecoveryKind::End) {
        report.error = plan.recovery.error;
        return false;
    }
    plan.weightsVersion = state.weightsVersion;
    relay.nextAttempt(plan.recovery, {}, upstream.weightsVersion);
    return true;
}

/// Tells the quarantine how an attempt ended. Returns whether the request may crash the next
/// upstream as well.
bool reportToQuarantine(const Passage &passage, const catalogue::Upstream &upstream,
                        const AttemptReport &report)
{
    FleetQuarantine &quarantine = *passage.state.quarantine;
    const TimePoint now = monotonicNow();
    if (showsSoundRequest(report))
        quarantine.recordAnswer(passage.request.route->head.name, upstream, passage.subjects, now);
    else if (mayHaveCrashed(report))
        return !quarantine.checkUpstream(passage.request.route->head.name, upstream,
                                         passage.subjects, now);
    return false;
}

} // namespace

AttemptReport serveByUpstreams(Passage &passage, AnswerSink &sink)
{
    RelaySink relay(sink, passage.request.requestId, !passage.request.route->model.empty());
    AttemptReport report;
    report.error = noUpstream(passage.request);
    std::set<std::string> tried;
    Outcome worst = Outcome::NotRun;
    for (std::size_t number = 0; number < maxAttempts; ++number) {
        const bool isContinued = report.end == AttemptEnd::Cut;
        if (number > 0 && !isContinued && isTooLate(passage.request, monotonicNow()))
            break;
        const auto choice = chooseNext(passage, tried, report);
        if (!choice)
            break;
        AttemptPlan plan{*choice, number, isContinued, {}, {}};
        if (isContinued && !continueStream(passage, relay, plan, report)) {
            passage.state.router.finished(*choice, {});
            break;
        }
        if (!isContinued)
            relay.relay().weightsVersion = choice->upstream.weightsVersion;
        report = attempt(passage, plan, tried, relay);
        passage.state.router.finished(*choice, report);
        if (relay.streams()) {
            if (!report.weightsVersion.empty() && !isContinued)
                relay.relay().weightsVersion = report.weightsVersion;
            settleStream(relay, report);
        }
        if (report.error && report.error->outcome != Outcome::NotRun)
            worst = Outcome::Unknown;
        const bool isOver = report.end == AttemptEnd::Cut ? !relay.canContinue()
                                                          : !mayTryAgain(passage.request, report);
        const bool isSuspect = reportToQuarantine(passage, choice->upstream, report);
        if (isOver || isSuspect)
            break;
    }
    // A later attempt that did not run says nothing about an earlier one that may have.
    if (report.error && report.error->outcome == Outcome::NotRun)
        report.error->outcome = worst;
    return report;
}

} // namespace kumquathaven::entry
