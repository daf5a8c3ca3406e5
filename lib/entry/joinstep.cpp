#include "joinstep.h"

#include "fleetjoin.h"
#include "joinedanswer.h"
#include "keyindex.h"
#include "kumquathaven/base/hash.h"
#include "oncestep.h"

namespace kumquathaven::entry {

namespace {

// How often a reader looks whether its caller has gone.
constexpr Duration readerCheckInterval = std::chrono::milliseconds(100);

admission::RetryHints signsOf(const CallerRequest &request, const std::string &fingerprint)
{
    admission::RetryHints retryHints;
    retryHints.customer = request.customer;
    retryHints.idempotencyKey = request.idempotencyKey;
    retryHints.earlierAttempts = request.attempt;
    retryHints.bodyFingerprint = stableHash(fingerprint);
    return retryHints;
}

/// Reads an answer that another request runs, or that was kept, from its beginning.
AttemptReport readJoined(Passage &passage, const Part &part, AnswerSink &sink)
{
    JoinTable &table = passage.state.joins;
    AttemptReport report;
    JoinedAnswer joined(passage.request, sink);
    while (true) {
        const auto result = table.read(part, readerCheckInterval);
        if (!result)
            return failedJoin(passage.request,
                              {ErrorCode::Timeout,
                               "entry.join",
                               {},
                               "the caller reads too slowly",
                               Outcome::Unknown,
                               {}},
                              sink.hasBegun());
        if (!result->chunks.empty() && !report.firstPartAt)
            report.firstPartAt = monotonicNow();
        if (sink.gone() || !joined.handOver(*result))
            return callerGone();
        if (result->state == answers::AnswerState::Failed)
            return failedJoin(passage.request, *result->error, sink.hasBegun());
        if (result->state == answers::AnswerState::Complete)
            break;
    }
    report.end = AttemptEnd::Complete;
    return report;
}

/// Runs the work so that retries can join it, and keeps the answer if it is whole and good.
AttemptReport runShared(Passage &passage, const Work &work, const Part &part, AnswerSink &sink)
{
    JoinTable &table = passage.state.joins;
    SharingSink shared(sink, table, part);
    AttemptReport report;
    try {
        auto fetched = serveFromFleet(passage, work, part, shared);
        report = fetched ? std::move(*fetched) : serveOnce(passage, shared);
    } catch (...) {
        if (!shared.isComplete())
            table.fail(part, Error{});
        throw;
    }
    if (shared.isComplete())
        return report;
    if (report.end == AttemptEnd::Complete)
        table.complete(part, true);
    else
        table.fail(part, *report.error);
    return report;
}

Work workOf(const CallerRequest &request, const std::string &fingerprint)
{
    const bool hasKey = !request.idempotencyKey.empty();
    // Other entries learn a digest of the caller's key, of one size however long the key is.
    const std::string name = sha256Hex(request.customer + "\n" + request.idempotencyKey);
    return {
        {request.customer, hasKey ? answers::workOfKey(name) : answers::workOfBody(fingerprint)},
        fingerprint};
}

/// Returns whether answers of a request may be shared between its attempts. What may not be
/// repeated is the ledger's, and callers of open routes cannot be told apart.
bool mayShare(const CallerRequest &request)
{
    return request.route->repeatable && !request.customer.empty();
}

} // namespace

AttemptReport serveJoined(Passage &passage, AnswerSink &sink)
{
    CallerRequest &request = passage.request;
    JoinTable &table = passage.state.joins;
    const std::string fingerprint =
        sha256Hex(request.method + "\n" + request.target + "\n" + request.body);
    const admission::RetryHints retryHints = signsOf(request, fingerprint);
    // The same body alone puts a request among the retries, but two callers that ask the same thing
    // are each owed an answer of their own: only what a caller says itself lets answers be shared.
    const bool callerSaysRetry = !request.idempotencyKey.empty() || request.attempt > 0;
    const bool isRetry = table.classify(retryHints) == admission::AttemptKind::Retry;
    if (isRetry && request.attempt == 0)
        request.attempt = 1;
    AttemptReport report;
    if (!mayShare(request)) {
        report = serveOnce(passage, sink);
    } else {
        const Work work = workOf(request, fingerprint);
        const Part part = table.enter(work.key, fingerprint, callerSaysRetry);
        if (part.kind == JoinKind::OtherBody)
            return otherBody(request);
        if (part.kind == JoinKind::Joins) {
            report = readJoined(passage, part, sink);
            table.detach(part);
            passage.state.metrics
                .counter("kumquathaven_joined_total", "requests served from an earlier attempt")
                .add();
        } else {
            report = runShared(passage, work, part, sink);
        }
    }
    if (report.end != AttemptEnd::Complete)
        table.recordFailure(retryHints);
    return report;
}

} // namespace kumquathaven::entry
