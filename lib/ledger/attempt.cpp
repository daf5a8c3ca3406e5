#include "kumquathaven/ledger/attempt.h"

namespace kumquathaven::ledger {

namespace {

/// Retry delay for a caller whose request another attempt has in progress, or if the ledger does
/// not answer.
constexpr Duration shortRetry = std::chrono::seconds(1);
/// Retry delay for a caller if the ledger is full.
constexpr Duration longRetry = std::chrono::seconds(30);

Error makeRefusal(ErrorCode code, std::string peer, std::string message, Outcome outcome,
                  std::optional<Duration> retryAfter)
{
    return Error{code, "ledger.begin", std::move(peer), std::move(message), outcome, retryAfter};
}

Step send(Attempt &attempt, Command command, TimePoint now)
{
    attempt.sentAt = now;
    Step step;
    step.command = std::move(command);
    return step;
}

Step recordEnd(Attempt &attempt, Command end, TimePoint now)
{
    attempt.phase = AttemptPhase::RecordingEnd;
    attempt.end = std::move(end);
    attempt.startedAt = now;
    return send(attempt, attempt.end, now);
}

Command makeAbandon(const Attempt &attempt, const AttemptNumbers &numbers)
{
    return Abandon{attempt.key, attempt.runner, attempt.number, floorOf(numbers)};
}

Step finishWithRefusal(Attempt &attempt, Error refusal)
{
    attempt.phase = AttemptPhase::Finished;
    Step step;
    step.refusal = std::move(refusal);
    return step;
}

Step handleBeginAnswer(Attempt &attempt, const Answer &answer)
{
    Step step;
    switch (answer.kind) {
    case AnswerKind::Run:
        attempt.phase = AttemptPhase::Running;
        step.run = true;
        return step;
    case AnswerKind::Stored:
        if (answer.stored.bodyDropped)
            return finishWithRefusal(
                attempt,
                makeRefusal(ErrorCode::Conflict, {},
                            "the request ran and its answer was too large to keep", Outcome::Ran,
                            std::nullopt));
        attempt.phase = AttemptPhase::Finished;
        step.stored = answer.stored;
        return step;
    case AnswerKind::Unknown:
        return finishWithRefusal(attempt,
                                 makeRefusal(ErrorCode::Conflict, answer.runner.instance,
                                             "the request may have run and will not be run again",
                                             Outcome::Unknown, std::nullopt));
    case AnswerKind::InProgress:
        return finishWithRefusal(
            attempt,
            makeRefusal(ErrorCode::Conflict, answer.runner.instance,
                        "a request with the same idempotency key is in progress", Outcome::Unknown,
                        shortRetry));
    case AnswerKind::Conflict:
        return finishWithRefusal(attempt,
                                 makeRefusal(ErrorCode::Conflict, {},
                                             "the idempotency key belongs to another request",
                                             Outcome::NotRun, std::nullopt));
    case AnswerKind::Full:
        return finishWithRefusal(attempt,
                                 makeRefusal(ErrorCode::Overloaded, {},
                                             "the ledger has no room for another request",
                                             Outcome::NotRun, longRetry));
    case AnswerKind::Stale:
    case AnswerKind::Done:
        break;
    }
    return finishWithRefusal(attempt,
                             makeRefusal(ErrorCode::Unavailable, {},
                                         "the ledger gave no usable answer", Outcome::Unknown,
                                         shortRetry));
}

} // namespace

std::uint64_t startNumber(AttemptNumbers &numbers)
{
    numbers.active.insert(++numbers.last);
    return numbers.last;
}

void endNumber(AttemptNumbers &numbers, std::uint64_t number)
{
    numbers.active.erase(number);
}

std::uint64_t floorOf(const AttemptNumbers &numbers)
{
    return numbers.active.empty() ? numbers.last + 1 : *numbers.active.begin();
}

Step begin(Attempt &attempt, const AttemptNumbers &numbers, TimePoint now)
{
    attempt.phase = AttemptPhase::RecordingIntent;
    attempt.startedAt = now;
    return send(
        attempt,
        Begin{attempt.key, attempt.fingerprint, attempt.runner, attempt.number, floorOf(numbers)},
        now);
}

Step handleAnswer(Attempt &attempt, const AttemptNumbers &numbers, const Answer &answer,
                  TimePoint now)
{
    switch (attempt.phase) {
    case AttemptPhase::RecordingIntent:
        return handleBeginAnswer(attempt, answer);
    case AttemptPhase::RecordingEnd:
        if (answer.kind == AnswerKind::Done) {
            attempt.phase = AttemptPhase::Finished;
            return {};
        }
        // The permission to run arrived after the attempt was abandoned. Abandon is sent again so
        // that it is applied after Begin.
        if (answer.kind == AnswerKind::Run && std::holds_alternative<Abandon>(attempt.end))
            return send(attempt, makeAbandon(attempt, numbers), now);
        return {};
    case AttemptPhase::Running:
    case AttemptPhase::Finished:
        break;
    }
    return {};
}

Step tick(Attempt &attempt, const AttemptNumbers &numbers, const AttemptTimes &times, TimePoint now)
{
    const bool awaitsLedger = attempt.phase == AttemptPhase::RecordingIntent
        || attempt.phase == AttemptPhase::RecordingEnd;
    if (!awaitsLedger)
        return {};
    if (attempt.phase == AttemptPhase::RecordingIntent
        && now - attempt.startedAt >= times.beginTimeout) {
        Step step = recordEnd(attempt, makeAbandon(attempt, numbers), now);
        // This request was not sent, but an earlier one with the same key may have run elsewhere.
        step.refusal =
            makeRefusal(ErrorCode::Unavailable, {},
                        "the ledger did not answer; this request was not sent, an earlier "
                        "one with the same idempotency key may have run",
                        Outcome::Unknown, shortRetry);
        return step;
    }
    // Only Abandon may stop being resent. The end of a run is sent until it is recorded: without
    // it, the request would count as not sent once the floor rises above this attempt.
    const bool mayGiveUp = std::holds_alternative<Abandon>(attempt.end);
    if (attempt.phase == AttemptPhase::RecordingEnd && mayGiveUp
        && now - attempt.startedAt >= times.abandonResendTime) {
        attempt.phase = AttemptPhase::Finished;
        return {};
    }
    if (now - attempt.sentAt < times.resendInterval)
        return {};
    if (attempt.phase == AttemptPhase::RecordingEnd)
        return send(attempt, attempt.end, now);
    return send(
        attempt,
        Begin{attempt.key, attempt.fingerprint, attempt.runner, attempt.number, floorOf(numbers)},
        now);
}

Step finishRun(Attempt &attempt, const AttemptNumbers &numbers, Outcome outcome,
               const StoredAnswer &answer, TimePoint now)
{
    if (attempt.phase != AttemptPhase::Running)
        return {};
    switch (outcome) {
    case Outcome::NotRun:
        return recordEnd(attempt, makeAbandon(attempt, numbers), now);
    case Outcome::Ran:
        return recordEnd(attempt, Complete{attempt.key, attempt.runner, attempt.number, answer},
                         now);
    case Outcome::Unknown:
        break;
    }
    return recordEnd(attempt, Lose{attempt.key, attempt.runner, attempt.number}, now);
}

Step cancel(Attempt &attempt, const AttemptNumbers &numbers, TimePoint now)
{
    if (attempt.phase != AttemptPhase::RecordingIntent)
        return {};
    return recordEnd(attempt, makeAbandon(attempt, numbers), now);
}

} // namespace kumquathaven::ledger
