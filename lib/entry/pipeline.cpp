#include "pipeline.h"

#include "authenticate.h"
#include "fleetquarantine.h"
#include "joinstep.h"
#include "keyedsink.h"
#include "passage.h"

namespace kumquathaven::entry {

namespace {

constexpr Duration overloadRetryAfter = std::chrono::seconds(1);

void endWithError(Passage &passage, const AttemptReport &report)
{
    if (report.end == AttemptEnd::CallerGone)
        return;
    if (report.end == AttemptEnd::Cut) {
        passage.exchange.write(errorEvent(*report.error, passage.request.requestId));
        passage.exchange.abandon();
        return;
    }
    passage.exchange.reply(runtime::errorReply(*report.error, passage.request.requestId));
}

// Turns the report of an answer that was ended because of its key into the error its caller gets.
void reportCut(AttemptReport &report, bool hasBegun)
{
    report.end = hasBegun ? AttemptEnd::Cut : AttemptEnd::Failed;
    report.error = Error{ErrorCode::Unauthenticated,
                         "entry.relay",
                         {},
                         "the key was withdrawn while the request ran",
                         Outcome::Unknown,
                         {}};
}

void finish(Passage &passage, const std::string &result)
{
    const std::string route =
        passage.request.route == nullptr ? "" : passage.request.route->head.name;
    passage.state.metrics
        .counter("kumquathaven_requests_total", "requests by route and result",
                 {{"route", route}, {"result", result}})
        .add();
    telemetry::Span span;
    span.context = passage.request.trace;
    span.parentSpanId = passage.request.parentSpanId;
    span.name = "entry.request";
    span.start = passage.startedAt;
    span.end = std::chrono::system_clock::now();
    span.failed = result != "complete";
    span.attributes = {
        {"route", route}, {"customer", passage.request.customer}, {"result", result}};
    passage.state.spans.write(std::move(span));
}

// Counts a stream for as long as it lives.
class StreamSlot
{
public:
    explicit StreamSlot(EntryState &state)
        : m_state(state)
        , m_count(++state.streams)
    { }
    ~StreamSlot() { --m_state.streams; }
    StreamSlot(const StreamSlot &) = delete;
    StreamSlot &operator=(const StreamSlot &) = delete;

    bool isOverBound() const { return m_count > m_state.settings.bounds.maxStreams; }

private:
    EntryState &m_state;
    std::uint32_t m_count;
};

// Reads and authenticates. The passage is complete afterwards.
Result<void> prepare(Passage &passage)
{
    const TimePoint now = monotonicNow();
    const auto &http = passage.exchange.request();
    passage.snapshot = passage.state.view.current();
    BOOST_LEAF_ASSIGN(passage.request, readCallerRequest(http, *passage.snapshot.catalogue, now));
    const std::string shown = shownKey(http);
    const catalogue::Key *key = shown.empty()
        ? nullptr
        : passage.state.keys.find(passage.snapshot.catalogue, sha256Hex(shown));
    BOOST_LEAF_CHECK(authenticate(passage.request, key, passage.snapshot, now,
                                  passage.state.settings.freshnessBound));
    // Before the steps that reserve tokens or wait for a turn.
    passage.subjects = subjectsOf(passage.request);
    passage.admittedAt = now;
    return passage.state.quarantine->admit(passage.subjects, now);
}

} // namespace

void serveRequest(EntryState &state, runtime::HttpExchange &exchange)
{
    Passage passage{state, exchange, {}, {}, {}, std::chrono::system_clock::now()};
    const StreamSlot slot(state);
    const auto refuse = [&](const Error &error) {
        exchange.reply(runtime::errorReply(error, passage.request.requestId));
        finish(passage, std::string(errorCodeName(error.code)));
        return false;
    };
    if (slot.isOverBound()) {
        refuse({ErrorCode::Overloaded,
                "entry.accept",
                {},
                "the instance serves as many requests as it can",
                Outcome::NotRun,
                overloadRetryAfter});
        return;
    }
    const bool isReady = orElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(prepare(passage));
            return true;
        },
        refuse);
    if (!isReady)
        return;
    CallerSink caller(exchange);
    KeyedSink sink(caller, state.view, passage.request.keyName);
    AttemptReport report = serveJoined(passage, sink);
    if (sink.wasCut() && report.end == AttemptEnd::CallerGone)
        reportCut(report, sink.hasBegun());
    if (report.error)
        endWithError(passage, report);
    finish(passage, report.error ? std::string(errorCodeName(report.error->code)) : "complete");
}

} // namespace kumquathaven::entry
