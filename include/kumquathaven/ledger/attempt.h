// What an entry does with one keyed request at each answer, loss and time-out of the ledger.

#ifndef KUMQUATHAVEN_LEDGER_ATTEMPT_H
#define KUMQUATHAVEN_LEDGER_ATTEMPT_H

#include "kumquathaven/base/error.h"
#include "kumquathaven/ledger/ledger.h"

#include <cstdint>
#include <optional>
#include <set>

namespace kumquathaven::ledger {

/// Times of an attempt.
struct AttemptTimes
{
    /// How long a caller waits for the ledger before its request is refused.
    Duration beginTimeout = std::chrono::seconds(2);
    /// When a command without an answer is sent again.
    Duration resendInterval = std::chrono::milliseconds(250);
    /// How long it is repeated that an attempt was not sent. The floor of later commands says the
    /// same.
    Duration abandonResendTime = std::chrono::seconds(30);
};

/// Numbers the attempts of one runner and knows which of them still matter.
struct AttemptNumbers
{
    std::uint64_t last = 0;
    std::set<std::uint64_t> active;
};

/// Starts a number.
std::uint64_t startNumber(AttemptNumbers &numbers);
/// Ends a number: the ledger need not hold anything for it.
void endNumber(AttemptNumbers &numbers, std::uint64_t number);
/// Returns the number below which no attempt matters any more.
std::uint64_t floorOf(const AttemptNumbers &numbers);

/// How far one attempt of a keyed request is.
enum class AttemptPhase {
    /// The intent is being recorded. Nothing was sent.
    RecordingIntent,
    /// The request may be sent, or was.
    Running,
    /// The end is being recorded.
    RecordingEnd,
    /// Nothing is left to do.
    Finished,
};

/// One keyed request on one entry.
struct Attempt
{
    RequestKey key;
    std::string fingerprint;
    Runner runner;
    std::uint64_t number = 0;
    AttemptPhase phase = AttemptPhase::RecordingIntent;
    /// What is recorded: Complete, Lose or Abandon.
    Command end;
    TimePoint startedAt{};
    TimePoint sentAt{};
};

/// What to do next. At most one of run, stored and refusal is set, and only one step of an attempt
/// sets any of them.
struct Step
{
    /// The command to send to the ledger.
    std::optional<Command> command;
    /// Send the request to the upstream, once.
    bool run = false;
    /// Give the caller this answer.
    std::optional<StoredAnswer> stored;
    /// Give the caller this error.
    std::optional<Error> refusal;
};

/// Starts an attempt.
Step begin(Attempt &attempt, const AttemptNumbers &numbers, TimePoint now);

/// Takes an answer to the newest command.
Step handleAnswer(Attempt &attempt, const AttemptNumbers &numbers, const Answer &answer,
                  TimePoint now);

/// Does what is due: sends again, or gives up.
Step tick(Attempt &attempt, const AttemptNumbers &numbers, const AttemptTimes &times,
          TimePoint now);

/// Ends a run. \p outcome says what is known of it: with Ran there is an answer; NotRun may be
/// given only if no byte of the request was sent.
Step finishRun(Attempt &attempt, const AttemptNumbers &numbers, Outcome outcome,
               const StoredAnswer &answer, TimePoint now);

/// Takes the caller's leaving while the intent is being recorded.
Step cancel(Attempt &attempt, const AttemptNumbers &numbers, TimePoint now);

} // namespace kumquathaven::ledger

#endif // KUMQUATHAVEN_LEDGER_ATTEMPT_H
