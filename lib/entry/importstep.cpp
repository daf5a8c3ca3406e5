#include "importstep.h"

namespace kumquathaven::entry {

namespace {

void writeSpan(Passage &passage, const Choice &choice, const ImportOutcome &outcome,
               std::chrono::system_clock::time_point start)
{
    telemetry::Span span;
    span.context = telemetry::childContext(passage.request.trace);
    span.parentSpanId = passage.request.trace.spanId;
    span.name = "kv.import";
    span.start = start;
    span.end = std::chrono::system_clock::now();
    span.failed = outcome.end != routing::ImportEnd::Whole;
    span.attributes = {
        {"upstream", choice.upstream.head.name},
        {"result", std::string(nameOf(routing::importEndNames, outcome.end))},
        {"joined", choice.import->joins ? "true" : "false"},
        {"imported.tokens", std::to_string(outcome.imported * choice.import->blockTokens)},
    };
    passage.state.spans.write(std::move(span));
}

} // namespace

void importBeforeAttempt(Passage &passage, const Choice &choice, AnswerSink &sink)
{
    if (!choice.import)
        return;
    const routing::ImportPlan &plan = *choice.import;
    const auto start = std::chrono::system_clock::now();
    const ImportOutcome outcome = passage.state.kv.import(plan, choice.upstream, [&] {
        return sink.gone();
    });
    const std::size_t missing = plan.joins ? 0 : plan.blocks.size() - outcome.imported;
    passage.state.router.sendsNow(choice, static_cast<double>(missing) * plan.blockTokens);
    writeSpan(passage, choice, outcome, start);
}

} // namespace kumquathaven::entry
