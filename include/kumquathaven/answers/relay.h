// Forwards a completion stream to a caller. After an engine fails, another one continues the stream
// without a gap, a repetition or a mix of two answers.

#ifndef KUMQUATHAVEN_ANSWERS_RELAY_H
#define KUMQUATHAVEN_ANSWERS_RELAY_H

#include "kumquathaven/answers/completionstream.h"
#include "kumquathaven/base/error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kumquathaven::answers {

/// Limits of one relay.
struct RelayLimits
{
    /// Maximum size in bytes of the text that is kept for comparison with a later attempt's text.
    std::size_t maxTextBytes = 4UL * 1024 * 1024;
    /// Maximum number of attempts after the first one.
    std::uint32_t maxRecoveries = 3;
};

/// How the current attempt's text relates to the text that the caller has.
enum class RelayMode {
    /// The attempt continues the caller's text.
    Forward,
    /// The attempt starts from the beginning: text that the caller has is compared and skipped.
    SkipMatching,
};

/// State of one answer that is being forwarded to a caller.
struct Relay
{
    RelayLimits limits;
    /// The id of every chunk that is sent to the caller, whatever the ids of the attempts.
    std::string callerId;
    /// The weights version that produced the caller's text.
    std::string weightsVersion;

    // What the caller has received.
    std::string text;
    /// Whether \c text is complete. If not, a later attempt's text cannot be compared with it.
    bool hasFullText = true;
    std::uint64_t tokens = 0;
    bool anySent = false;
    bool roleSent = false;
    bool finished = false;
    bool complete = false;
    /// Whether content was sent that a token position does not describe, such as a tool call. Such
    /// an answer cannot be continued.
    bool sentOtherContent = false;

    // The current attempt.
    SseParser parser;
    StreamCheck check;
    RelayMode mode = RelayMode::Forward;
    /// Bytes of \c text that the attempt has reproduced so far.
    std::size_t comparedBytes = 0;
    /// Token position at which the attempt resumed; 0 if it started from the beginning.
    std::uint64_t resumedFrom = 0;
    StreamFault fault = StreamFault::None;
    std::uint32_t recoveries = 0;
};

/// Output of feed().
struct RelayOutput
{
    /// Complete events in wire format, to be sent to the caller.
    std::vector<std::string> events;
    /// If not None, the attempt must be ended and its connection closed.
    StreamFault fault = StreamFault::None;
    bool complete = false;
};

/// Handles the next bytes of the current attempt.
RelayOutput feed(Relay &relay, std::string_view bytes);

/// Handles the end of the current attempt's connection. Returns the attempt's fault, which is None
/// if the stream is complete.
StreamFault endAttempt(Relay &relay);

/// An engine that could continue the answer.
struct Candidate
{
    std::string upstream;
    std::string weightsVersion;
    /// Whether the engine can resume an answer at a given token position.
    bool canResume = true;
};

/// How an answer is recovered after a fault.
enum class RecoveryKind {
    /// The caller has the complete text. If the end mark is missing, \c events contains it.
    Complete,
    /// Ask the candidate for the tokens from a position on.
    Resume,
    /// Run the request again from the beginning. Text that equals what the caller already has is
    /// skipped.
    Rerun,
    /// End the caller's stream with an error, which \c events contains.
    End,
};

/// The decision on how to recover from a fault.
struct Recovery
{
    RecoveryKind kind = RecoveryKind::End;
    std::string upstream;
    std::uint64_t resumeFrom = 0;
    std::vector<std::string> events;
    std::optional<Error> error;
};

/// Decides how to recover from the current attempt's fault. The candidates are in order of
/// preference and may include the failed engine. \p repeatable says whether the request may run
/// more than once.
Recovery recover(const Relay &relay, bool repeatable, const std::vector<Candidate> &candidates);

/// Starts the attempt that \p recovery calls for. \p upstreamId is the id that its chunks carry;
/// empty if the engine chooses its own. Each attempt has a different id, so that late events of an
/// earlier attempt are not mistaken for events of this one.
void startAttempt(Relay &relay, const Recovery &recovery, const std::string &upstreamId,
                  const std::string &weightsVersion);

/// Returns the event that ends a stream with an error.
std::string errorEvent(const Error &error, const std::string &requestId);

} // namespace kumquathaven::answers

#endif // KUMQUATHAVEN_ANSWERS_RELAY_H
