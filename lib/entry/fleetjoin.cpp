#include "fleetjoin.h"

#include "fleetanswers.h"
#include "joinedanswer.h"

#include <algorithm>

namespace kumquathaven::entry {

namespace {

// How often a reader looks whether its caller has gone.
constexpr Duration readerCheckInterval = std::chrono::milliseconds(100);

/// Ends a fetch at the end of its life.
class FetchGuard
{
public:
    FetchGuard(FleetAnswers &fleet, const FoundWork &found)
        : m_fleet(fleet)
        , m_found(found)
    { }
    ~FetchGuard() { m_fleet.end(m_found); }
    FetchGuard(const FetchGuard &) = delete;
    FetchGuard &operator=(const FetchGuard &) = delete;

private:
    FleetAnswers &m_fleet;
    const FoundWork &m_found;
};

/// Reads a found answer to its end.
AttemptReport relay(Passage &passage, const FoundWork &found, AnswerSink &sink)
{
    const FetchGuard guard(*passage.state.answers, found);
    JoinedAnswer joined(passage.request, sink);
    AttemptReport report;
    while (true) {
        const auto result = passage.state.answers->read(found.fetch, readerCheckInterval);
        if (!result.chunks.empty() && !report.firstPartAt)
            report.firstPartAt = monotonicNow();
        if (sink.gone() || !joined.handOver(result))
            return callerGone();
        if (result.state == answers::AnswerState::Failed)
            return failedJoin(passage.request, *result.error, sink.hasBegun());
        if (result.state == answers::AnswerState::Complete)
            break;
    }
    report.end = AttemptEnd::Complete;
    return report;
}

} // namespace

std::optional<AttemptReport> serveFromFleet(Passage &passage, const Work &work, const Part &part,
                                            AnswerSink &sink)
{
    CallerRequest &request = passage.request;
    FleetAnswers *fleet = passage.state.answers;
    JoinTable &table = passage.state.joins;
    if (!fleet || request.idempotencyKey.empty() || !part.isFound)
        return std::nullopt;
    const FoundWork found = fleet->find(work.key, work.fingerprint);
    if (found.kind == FoundWork::Kind::OtherBody)
        return otherBody(request);
    if (found.kind == FoundWork::Kind::Answer) {
        table.setSource(part, answers::AnswerSource::OtherInstance);
        AttemptReport report = relay(passage, found, sink);
        if (report.end != AttemptEnd::Failed) {
            passage.state.metrics
                .counter("kumquathaven_answers_fetched_total",
                         "requests served from the answer of another entry")
                .add();
            return report;
        }
        fleet->runInsteadOf(work.key, found.holder);
    }
    if (found.wasHeld)
        request.attempt = std::max<std::uint32_t>(request.attempt, 1);
    table.setSource(part, answers::AnswerSource::OwnRun);
    return std::nullopt;
}

} // namespace kumquathaven::entry
