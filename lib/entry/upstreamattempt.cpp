#include "upstreamattempt.h"

#include "kumquathaven/runtime/httpclient.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace kumquathaven::entry {

namespace {

using runtime::ReadPart;
using runtime::ReadState;

// How often a waiting thread looks whether its caller has gone.
constexpr Duration callerCheckInterval = std::chrono::milliseconds(100);
constexpr Duration shortestWait = std::chrono::milliseconds(1);
/// An upstream that neither accepts nor refuses a connection for this long is not known to have
/// ended.
constexpr Duration endCheckTimeout = std::chrono::milliseconds(300);
constexpr std::size_t maxEventBytes = 1048576;
constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view doneEvent = "data: [DONE]";

// The state of one attempt while it runs.
struct Attempt
{
    const CallerRequest &request;
    const catalogue::Upstream &upstream;
    const settings::Bounds &bounds;
    const runtime::HeaderFields &headers;
    AnswerSink &sink;
    const FirstPartWatch &watch;
    runtime::HttpCall call;
    AttemptReport report;
};

Error attemptError(const Attempt &attempt, ErrorCode code, const std::string &step,
                   const std::string &message, Outcome outcome)
{
    return {code, step, attempt.upstream.head.name, message, outcome, {}};
}

void end(Attempt &attempt, AttemptEnd how, Error error)
{
    attempt.report.end = how;
    attempt.report.error = std::move(error);
}

void endGone(Attempt &attempt)
{
    end(attempt, AttemptEnd::CallerGone,
        attemptError(attempt, ErrorCode::Cancelled, "entry.relay", "the caller has gone",
                     Outcome::Unknown));
}

runtime::HeaderFields upstreamHeaders(const Attempt &attempt)
{
    runtime::HeaderFields headers{
        {"X-Request-Id", attempt.request.requestId},
        {"traceparent", telemetry::formatTraceparent(attempt.request.trace)},
    };
    if (attempt.request.resumeFrom > 0) {
        headers.emplace_back("X-Resume-From", std::to_string(attempt.request.resumeFrom));
        headers.emplace_back("X-Weights-Version", attempt.request.resumeVersion);
    }
    if (!attempt.request.contentType.empty())
        headers.emplace_back("Content-Type", attempt.request.contentType);
    if (!attempt.upstream.credential.empty())
        headers.emplace_back("Authorization", "Bearer " + attempt.upstream.credential);
    return headers;
}

/// Returns how long one wait for more of the answer may be.
Duration waitLength(const Attempt &attempt)
{
    const auto &giveUpAt = attempt.watch.giveUpAt;
    if (attempt.report.firstPartAt || !giveUpAt)
        return callerCheckInterval;
    const Duration left = *giveUpAt - monotonicNow();
    return std::clamp(left, shortestWait, callerCheckInterval);
}

/// Returns the longest waits of an attempt: none is longer than it may take to begin.
runtime::CallTimeouts timeoutsFor(const settings::Bounds &bounds, const FirstPartWatch &watch)
{
    runtime::CallTimeouts timeouts{bounds.upstreamConnect, bounds.upstreamSilence};
    if (!watch.giveUpAt)
        return timeouts;
    const Duration left = std::max(*watch.giveUpAt - monotonicNow(), shortestWait);
    timeouts.connect = std::min(timeouts.connect, left);
    timeouts.send = std::min(timeouts.silence, left);
    return timeouts;
}

/// Fails if an attempt without a part of its answer must not wait any longer.
Result<void> mayWaitOn(Attempt &attempt)
{
    if (attempt.report.firstPartAt)
        return {};
    const FirstPartWatch &watch = attempt.watch;
    if (watch.giveUpAt && monotonicNow() >= *watch.giveUpAt)
        return fail(attemptError(attempt, ErrorCode::DeadlineExceeded, "upstream.wait",
                                 "the upstream did not begin to answer before the deadline",
                                 Outcome::Unknown));
    if (const auto withdrawal = watch.withdrawal ? watch.withdrawal() : std::nullopt) {
        attempt.report.isWithdrawn = true;
        return fail(attemptError(attempt, withdrawal->code, "upstream.wait", withdrawal->message,
                                 Outcome::Unknown));
    }
    if (!watch.makesWay || !watch.makesWay())
        return {};
    attempt.report.madeWay = true;
    return fail(attemptError(attempt, ErrorCode::Timeout, "upstream.wait",
                             "the upstream did not begin to answer in time to wait for it",
                             Outcome::Unknown));
}

/// Takes note of the first part of a stream.
void noteFirstPart(Attempt &attempt)
{
    if (attempt.report.firstPartAt)
        return;
    attempt.report.firstPartAt = monotonicNow();
    if (attempt.watch.arrived)
        attempt.watch.arrived(*attempt.report.firstPartAt);
}

// Waits for the first byte of the answer. Returns false after ending the attempt.
Result<bool> awaitHead(Attempt &attempt)
{
    const TimePoint silentUntil = monotonicNow() + attempt.bounds.upstreamSilence;
    while (true) {
        BOOST_LEAF_AUTO(isReady, attempt.call.waitForHead(waitLength(attempt)));
        if (isReady)
            break;
        if (attempt.sink.gone()) {
            endGone(attempt);
            return false;
        }
        BOOST_LEAF_CHECK(mayWaitOn(attempt));
        if (monotonicNow() > silentUntil)
            return fail(attemptError(attempt, ErrorCode::Timeout, "upstream.wait",
                                     "no answer in time", Outcome::Unknown));
    }
    BOOST_LEAF_CHECK(attempt.call.readHead());
    return true;
}

// Reads more of the answer. Returns nothing after ending the attempt because the caller has gone.
Result<std::optional<ReadPart>> readMore(Attempt &attempt)
{
    const TimePoint silentUntil = monotonicNow() + attempt.bounds.upstreamSilence;
    while (true) {
        BOOST_LEAF_AUTO(part, attempt.call.read(waitLength(attempt)));
        if (part.state != ReadState::Timeout)
            return std::optional<ReadPart>(std::move(part));
        if (attempt.sink.gone()) {
            endGone(attempt);
            return std::optional<ReadPart>();
        }
        BOOST_LEAF_CHECK(mayWaitOn(attempt));
        if (monotonicNow() > silentUntil)
            return fail(attemptError(attempt, ErrorCode::Timeout, "upstream.read",
                                     "the answer stopped", Outcome::Unknown));
    }
}

// Looks into the events that were taken: the usage, and whether the stream is at its end.
bool inspectEvents(const std::string &events, AttemptReport &report)
{
    bool isDone = false;
    std::size_t begin = 0;
    while (begin < events.size()) {
        const std::size_t finish = events.find(eventEnd, begin);
        const std::string event = events.substr(begin, finish - begin);
        begin = finish + eventEnd.size();
        ++report.events;
        isDone = isDone || event == doneEvent;
        if (event.find("\"usage\"") == std::string::npos || event.compare(0, 6, "data: ") != 0)
            continue;
        if (const auto usage = usageOf(event.substr(6)))
            report.usage = usage;
    }
    return isDone;
}

Error cutError(const Attempt &attempt)
{
    return attemptError(attempt, ErrorCode::UpstreamFailed, "upstream.read",
                        "the stream ended before it was complete", Outcome::Unknown);
}

Result<void> relayStream(Attempt &attempt)
{
    std::string pending;
    // Length of the beginning of pending that was searched for the end of an event.
    std::size_t searched = 0;
    bool isDone = false;
    while (true) {
        BOOST_LEAF_AUTO(part, readMore(attempt));
        if (!part)
            return {};
        if (part->state == ReadState::End)
            break;
        pending += part->data;
        if (pending.size() > maxEventBytes)
            return fail(attemptError(attempt, ErrorCode::TooLarge, "upstream.read",
                                     "an event is too large", Outcome::Unknown));
        const std::size_t found = std::string_view(pending).substr(searched).rfind(eventEnd);
        if (found == std::string_view::npos) {
            // The end may be divided between two parts.
            searched = std::max(pending.size(), eventEnd.size() - 1) - (eventEnd.size() - 1);
            continue;
        }
        const std::string events = pending.substr(0, searched + found + eventEnd.size());
        pending.erase(0, events.size());
        searched = 0;
        noteFirstPart(attempt);
        if (!attempt.sink.hasBegun() && !attempt.sink.begin("text/event-stream", attempt.headers)) {
            endGone(attempt);
            return {};
        }
        isDone = inspectEvents(events, attempt.report) || isDone;
        if (!attempt.sink.events(events)) {
            endGone(attempt);
            return {};
        }
    }
    if (!isDone)
        return fail(cutError(attempt));
    attempt.report.end = AttemptEnd::Complete;
    return {};
}

/// Returns whether only the end of the connection marks the end of an answer.
bool endsWithConnection(const runtime::HeaderFields &headers)
{
    return runtime::headerValue(headers, "Content-Length").empty()
        && runtime::headerValue(headers, "Transfer-Encoding").empty();
}

bool hasWholeBody(const Attempt &attempt, const std::string &body)
{
    const std::string length = runtime::headerValue(attempt.call.headers(), "Content-Length");
    return length.empty() || length == std::to_string(body.size());
}

Result<void> relayWhole(Attempt &attempt)
{
    std::string body;
    while (true) {
        BOOST_LEAF_AUTO(part, readMore(attempt));
        if (!part)
            return {};
        if (part->state == ReadState::End)
            break;
        if (!attempt.report.firstPartAt)
            attempt.report.firstPartAt = monotonicNow();
        body += part->data;
        if (body.size() > attempt.bounds.maxBodyBytes)
            return fail(attemptError(attempt, ErrorCode::TooLarge, "upstream.read",
                                     "the answer is too large", Outcome::Ran));
    }
    const bool isEngine = !attempt.request.route->model.empty();
    // An upstream that crashes closes its connections in order, too.
    const bool isUnproven = !isEngine && endsWithConnection(attempt.call.headers());
    if (!hasWholeBody(attempt, body) || (isEngine && !nlohmann::json::accept(body))
        || (isUnproven && hasEnded(attempt.upstream)))
        return fail(cutError(attempt));
    attempt.report.usage = usageOf(body);
    runtime::HttpReply reply{attempt.call.status(),
                             runtime::headerValue(attempt.call.headers(), "Content-Type"),
                             attempt.headers, body};
    if (!attempt.sink.whole(reply)) {
        endGone(attempt);
        return {};
    }
    attempt.report.end = AttemptEnd::Complete;
    return {};
}

// An engine that says it has no room, or that it is not ready, did not run the request.
bool refusedByUpstream(const Attempt &attempt)
{
    const int status = attempt.call.status();
    return !attempt.request.route->model.empty() && (status == 429 || status == 503);
}

Result<void> exchangeWith(Attempt &attempt)
{
    BOOST_LEAF_CHECK(attempt.call.connect());
    BOOST_LEAF_CHECK(attempt.call.send(attempt.request.method, attempt.request.target,
                                       upstreamHeaders(attempt), attempt.request.body));
    BOOST_LEAF_AUTO(isReady, awaitHead(attempt));
    if (!isReady)
        return {};
    attempt.report.status = attempt.call.status();
    const std::string echoed = runtime::headerValue(attempt.call.headers(), "X-Request-Id");
    if (!echoed.empty() && echoed != attempt.request.requestId)
        return fail(attemptError(attempt, ErrorCode::UpstreamFailed, "upstream.match",
                                 "the answer belongs to another request", Outcome::Unknown));
    attempt.sink.expectId(echoed);
    if (refusedByUpstream(attempt))
        return fail(attemptError(attempt, ErrorCode::Overloaded, "upstream.refused",
                                 "the upstream has no room", Outcome::NotRun));
    attempt.report.weightsVersion =
        runtime::headerValue(attempt.call.headers(), "X-Weights-Version");
    const std::string type = runtime::headerValue(attempt.call.headers(), "Content-Type");
    const bool isStream = type.compare(0, 17, "text/event-stream") == 0;
    return isStream ? relayStream(attempt) : relayWhole(attempt);
}

} // namespace

AttemptReport runAttempt(const CallerRequest &request, const catalogue::Upstream &upstream,
                         const settings::Bounds &bounds, const runtime::HeaderFields &headers,
                         AnswerSink &sink, const FirstPartWatch &watch)
{
    Attempt attempt{
        request,
        upstream,
        bounds,
        headers,
        sink,
        watch,
        runtime::HttpCall(settings::parseAddress(upstream.address), timeoutsFor(bounds, watch)),
        {}};
    orElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(exchangeWith(attempt));
            return true;
        },
        [&](Error error) {
            error.peer = upstream.head.name;
            const auto how = sink.hasBegun() ? AttemptEnd::Cut : AttemptEnd::Failed;
            end(attempt, how, std::move(error));
            return false;
        });
    return std::move(attempt.report);
}

bool hasEnded(const catalogue::Upstream &upstream)
{
    return upstream.state == catalogue::UpstreamState::Serving
        && runtime::refusesConnections(settings::parseAddress(upstream.address), endCheckTimeout);
}

std::optional<TokenUsage> usageOf(const std::string &text)
{
    const auto value = nlohmann::json::parse(text, nullptr, false);
    if (!value.is_object() || !value.contains("usage") || !value["usage"].is_object())
        return std::nullopt;
    const auto number = [](const nlohmann::json &object, const char *field) -> std::uint32_t {
        const auto found = object.find(field);
        return found != object.end() && found->is_number_unsigned() ? found->get<std::uint32_t>()
                                                                    : 0;
    };
    const auto &usage = value["usage"];
    TokenUsage out;
    out.prompt = number(usage, "prompt_tokens");
    out.completion = number(usage, "completion_tokens");
    if (usage.contains("prompt_tokens_details") && usage["prompt_tokens_details"].is_object())
        out.cached = number(usage["prompt_tokens_details"], "cached_tokens");
    return out;
}

std::string errorEvent(const Error &error, const std::string &requestId)
{
    return "data: " + runtime::errorReply(error, requestId).body + "\n\n";
}

} // namespace kumquathaven::entry
