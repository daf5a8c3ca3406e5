// Passes a completion stream on to a caller, across the failure of engines, without a gap, a repeat
// or a splice of two answers.

#ifndef KUMQUATHAVEN_ANSWERS_RELAY_H
#define KUMQUATHAVEN_ANSWERS_RELAY_H

#include "kumquathaven/answers/completionstream.h"
#include "kumquathaven/base/error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kumquathaven::answers {

/// Bounds of one relay.
struct RelayLimits
{
    /// Text that is kept to compare a second run with.
    std::size_t maxTextBytes = 4UL * 1024 * 1024;
    /// Attempts after the first one.
    std::uint32_t maxRecoveries = 3;
};

/// How the present attempt's text meets what the caller has.
enum class RelayMode {
    /// It continues what the caller has.
    Forward,
    /// It starts anew: what the caller has is compared and skipped.
    SkipMatching,
};

/// The state of one answer on its way to the caller.
struct Relay
{
    RelayLimits limits;
    /// The id of every chunk that the caller sees, whatever the attempts are called.
    std::string callerId;
    /// The weights version that the caller's text comes from.
    std::string weightsVersion;

    // What the caller has.
    std::string text;
    /// The text is held whole; otherwise a second run cannot be compared with it.
    bool hasFullText = true;
    std::uint64_t tokens = 0;
    bool anySent = false;
    bool roleSent = false;
    bool finished = false;
    bool complete = false;
    /// Something was sent that a position in tokens does not describe.
    bool sentOtherContent = false;

    // The present attempt.
    SseParser parser;
    StreamCheck check;
    RelayMode mode = RelayMode::Forward;
    std::size_t comparedBytes = 0;
    std::uint64_t resumedFrom = 0;
    StreamFault fault = StreamFault::None;
    std::uint32_t recoveries = 0;
};

/// What the caller gets next.
struct RelayOutput
{
    /// Whole events in their wire form.
    std::vector<std::string> events;
    /// The attempt must be ended and its connection closed.
    StreamFault fault = StreamFault::None;
    bool complete = false;
};

/// Takes the next bytes of the present attempt.
RelayOutput feed(Relay &relay, std::string_view bytes);

/// Takes the end of the present attempt's connection. The fault is None if the stream is complete.
StreamFault endAttempt(Relay &relay);

/// An engine that could go on with the answer.
struct Candidate
{
    std::string upstream;
    std::string weightsVersion;
    /// It takes a position in tokens to go on from.
    bool canResume = true;
};

/// How an answer goes on after a fault.
enum class RecoveryKind {
    /// The caller has the whole text; only the end mark is missing, which is in the pieces.
    Complete,
    /// Ask the candidate for the tokens from a position on.
    Resume,
    /// Run the request again from the beginning; what the caller has is skipped if it is the same.
    Rerun,
    /// Tell the caller that the answer is not whole; the error event is in the pieces.
    End,
};

/// A decision after a fault.
struct Recovery
{
    RecoveryKind kind = RecoveryKind::End;
    std::string upstream;
    std::uint64_t resumeFrom = 0;
    std::vector<std::string> events;
    std::optional<Error> error;
};

/// Decides how to go on after the present attempt's fault. The candidates come in the order of
/// preference; the failed engine may be among them. \p repeatable is whether the request may run
/// more than once.
Recovery recover(const Relay &relay, bool repeatable, const std::vector<Candidate> &candidates);

/// Starts the attempt that a recovery decided on. \p upstreamId is the id that its chunks carry;
/// empty if the engine draws its own. Each attempt has another id, so that late events of an
/// earlier one cannot be taken for this one's.
void startAttempt(Relay &relay, const Recovery &recovery, const std::string &upstreamId,
                  const std::string &weightsVersion);

/// Returns the event that ends a stream with an error.
std::string errorEvent(const Error &error, const std::string &requestId);

} // namespace kumquathaven::answers

#endif // KUMQUATHAVEN_ANSWERS_RELAY_H
