// One attempt to have a request served by one upstream.

#ifndef KUMQUATHAVEN_LIB_ENTRY_UPSTREAMATTEMPT_H
#define KUMQUATHAVEN_LIB_ENTRY_UPSTREAMATTEMPT_H

#include "answersink.h"
#include "callerrequest.h"
#include "kumquathaven/settings/settings.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace kumquathaven::entry {

/// How an attempt ended.
enum class AttemptEnd {
    /// The sink has the whole answer.
    Complete,
    /// The sink has nothing yet: another attempt may serve the request if its outcome allows it.
    Failed,
    /// The sink has a part of the answer, ending with a whole event.
    Cut,
    /// Nobody waits for the answer any more; the upstream was cancelled.
    CallerGone,
};

/// What the engine counted, as far as it said so.
struct TokenUsage
{
    std::uint32_t prompt = 0;
    std::uint32_t completion = 0;
    std::uint32_t cached = 0;
};

/// What is known after an attempt.
struct AttemptReport
{
    AttemptEnd end = AttemptEnd::Failed;
    /// HTTP status of the answer; zero if there was none.
    int status = 0;
    /// Set unless the attempt is complete.
    std::optional<Error> error;
    std::optional<TokenUsage> usage;
    /// The weights version that the engine said it answers with. Empty if it said none.
    std::string weightsVersion;
    /// When the first part of the answer arrived.
    std::optional<TimePoint> firstPartAt;
    /// Whether the attempt was ended to be tried elsewhere.
    bool madeWay = false;
    /// Whether the attempt was ended since the request must not run any more.
    bool isWithdrawn = false;
    /// Events of a stream that the sink took.
    std::uint32_t events = 0;
};

/// Watches over an attempt until the first part of its answer is there.
struct FirstPartWatch
{
    /// When the attempt is given up, if it ever is.
    std::optional<TimePoint> giveUpAt;
    /// Returns whether the attempt should make way for one elsewhere. Asked while it waits.
    std::function<bool()> makesWay;
    /// Returns the error with which the request must not run any more, if it must not. Asked while
    /// it waits; the attempt then ends with it.
    std::function<std::optional<Error>()> withdrawal;
    /// Called at the first part of a stream.
    std::function<void(TimePoint)> arrived;
};

/// Sends the request and hands the answer to the sink, whole events only. \p headers are added to
/// the answer. Nothing of the caller's own headers but content type goes to the upstream. An
/// attempt that is given up ends with DeadlineExceeded, and one that makes way with Timeout; both
/// are cancelled at the upstream, and their outcome is unknown.
AttemptReport runAttempt(const CallerRequest &request, const catalogue::Upstream &upstream,
                         const settings::Bounds &bounds, const runtime::HeaderFields &headers,
                         AnswerSink &sink, const FirstPartWatch &watch = {});

/// Returns whether an upstream has ended: it refuses connections, and was not to leave.
bool hasEnded(const catalogue::Upstream &upstream);

/// Returns the usage that a JSON answer or event states, if it does.
std::optional<TokenUsage> usageOf(const std::string &json);

/// Returns an SSE event that ends a stream with an error.
std::string errorEvent(const Error &error, const std::string &requestId);

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_UPSTREAMATTEMPT_H
