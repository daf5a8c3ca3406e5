// State machine of one keyed request on an entry: which command goes to the ledger next, whether
// the request may run, and what the caller receives, for each answer, lost message and timeout.

#ifndef KUMQUATHAVEN_LEDGER_ATTEMPT_H
#define KUMQUATHAVEN_LEDGER_ATTEMPT_H

#include "kumquathaven/base/error.h"
#include "kumquathaven/ledger/ledger.h"

#include <cstdint>
#include <optional>
#include <set>

namespace kumquathaven::ledger {

/// Timeouts and intervals of an attempt.
struct AttemptTimes
{
    /// A caller's request is refused if the ledger does not answer Begin within this time.
    Duration beginTimeout = std::chrono::seconds(2);
    /// Interval at which a command without an answer is sent again.
    Duration resendInterval = std::chrono::milliseconds(250);
    /// How long Abandon is resent without an answer. After that, the floor in later commands
    /// carries the same information.
    Duration abandonResendTime = std::chrono::seconds(30);
};

/// Assigns numbers to the attempts of one runner and tracks which of them are active.
struct AttemptNumbers
{
    std::uint64_t last = 0;
    std::set<std::uint64_t> active;
};

/// Assigns the next number and marks it as active.
std::uint64_t startNumber(AttemptNumbers &numbers);
/// Marks a number as no longer active: the ledger need not keep any state for its attempt.
void endNumber(AttemptNumbers &numbers, std::uint64_t number);
/// Returns the floor: the number below which no attempt is active any more.
std::uint64_t floorOf(const AttemptNumbers &numbers);

/// Phase of one attempt of a keyed request.
enum class AttemptPhase {
    /// The ledger is recording the intent. The request was not sent to the upstream.
    RecordingIntent,
    /// The request may be sent to the upstream, or was sent.
    Running,
    /// The ledger is recording how the attempt ended.
    RecordingEnd,
    /// The attempt needs no further action.
    Finished,
};

/// One attempt of a keyed request on one entry.
struct Attempt
{
    RequestKey key;
    std::string fingerprint;
    Runner runner;
    std::uint64_t number = 0;
    AttemptPhase phase = AttemptPhase::RecordingIntent;
    /// The command that records the end of the attempt: Complete, Lose or Abandon.
    Command end;
    /// When the current phase of recording the intent or the end started.
    TimePoint startedAt{};
    /// When the latest command was sent to the ledger.
    TimePoint sentAt{};
};

/// The actions to take next. At most one of run, stored and refusal is set, and only one step of an
/// attempt sets any of them.
struct Step
{
    /// The command to send to the ledger.
    std::optional<Command> command;
    /// Whether to send the request to the upstream, once.
    bool run = false;
    /// The answer to return to the caller.
    std::optional<StoredAnswer> stored;
    /// The error to return to the caller.
    std::optional<Error> refusal;
};

/// Starts an attempt by asking the ledger to record its intent.
Step begin(Attempt &attempt, const AttemptNumbers &numbers, TimePoint now);

/// Handles the ledger's answer to a command of this attempt.
Step handleAnswer(Attempt &attempt, const AttemptNumbers &numbers, const Answer &answer,
                  TimePoint now);

/// Resends a command or gives up, as the elapsed time requires. Call it periodically.
Step tick(Attempt &attempt, const AttemptNumbers &numbers, const AttemptTimes &times,
          TimePoint now);

/// Ends a run. With the outcome Ran, \p answer is the upstream's answer. NotRun is allowed only if
/// no byte of the request was sent.
Step finishRun(Attempt &attempt, const AttemptNumbers &numbers, Outcome outcome,
               const StoredAnswer &answer, TimePoint now);

/// Handles the disconnection of the caller. Abandons the attempt if its intent is still being
/// recorded; otherwise does nothing.
Step cancel(Attempt &attempt, const AttemptNumbers &numbers, TimePoint now);

} // namespace kumquathaven::ledger

#endif // KUMQUATHAVEN_LEDGER_ATTEMPT_H
