// The run-once ledger: which keyed requests may run, run, or have run. A deterministic state
// machine.

#ifndef KUMQUATHAVEN_LEDGER_LEDGER_H
#define KUMQUATHAVEN_LEDGER_LEDGER_H

#include "kumquathaven/base/enumnames.h"
#include "kumquathaven/base/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <variant>

namespace kumquathaven::ledger {

/// What a caller names its request by. Keys of different customers never meet.
struct RequestKey
{
    std::string customer;
    std::string idempotencyKey;

    bool operator<(const RequestKey &other) const
    {
        return std::tie(customer, idempotencyKey) < std::tie(other.customer, other.idempotencyKey);
    }
};

/// One process that runs requests: an entry instance and its incarnation.
struct Runner
{
    std::string instance;
    std::uint64_t incarnation = 0;

    bool operator<(const Runner &other) const
    {
        return std::tie(instance, incarnation) < std::tie(other.instance, other.incarnation);
    }
    bool operator==(const Runner &other) const
    {
        return instance == other.instance && incarnation == other.incarnation;
    }
};

/// An upstream's answer as it is kept.
struct StoredAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
    /// The body was over the bound: the request ran, and its answer is not kept.
    bool bodyDropped = false;
};

/// Where a keyed request stands.
enum class RecordState {
    /// A runner may send it at any time, or has sent it.
    InProgress,
    /// It ran, and its answer is here.
    Stored,
    /// It may or may not have run, and will never be run again.
    Unknown,
};

constexpr std::array<EnumName<RecordState>, 3> recordStateNames{
    {{RecordState::InProgress, "inProgress"},
     {RecordState::Stored, "stored"},
     {RecordState::Unknown, "unknown"}}};

/// One keyed request.
struct Record
{
    /// SHA-256 of method, target and body: the same key with another request is a conflict.
    std::string fingerprint;
    RecordState state = RecordState::InProgress;
    Runner runner;
    /// Numbers the runner's attempts; no two are alike.
    std::uint64_t attempt = 0;
    StoredAnswer answer;
    /// Agreed time at which the record is forgotten. Records in progress are never forgotten.
    Duration expiresAt{};
};

// Commands. Each may be applied more than once and late.

/// A runner wants to run a request. It may send the first byte only after the answer Run.
struct Begin
{
    RequestKey key;
    std::string fingerprint;
    Runner runner;
    std::uint64_t attempt = 0;
    /// The runner has given up or finished all its attempts below this number.
    std::uint64_t floor = 0;
};

/// The request ran and was answered.
struct Complete
{
    RequestKey key;
    Runner runner;
    std::uint64_t attempt = 0;
    StoredAnswer answer;
};

/// The request may have run, and its answer was lost.
struct Lose
{
    RequestKey key;
    Runner runner;
    std::uint64_t attempt = 0;
};

/// No byte of the request was sent, and the runner will not send one.
struct Abandon
{
    RequestKey key;
    Runner runner;
    std::uint64_t attempt = 0;
    std::uint64_t floor = 0;
};

/// Control no longer knows a runner. What it had in progress may have run.
struct Depart
{
    Runner runner;
};

/// Time passes. The member that leads the log sends it with the time it measured since its last
/// one; each number of a source counts once.
struct Advance
{
    std::uint64_t source = 0;
    std::uint64_t number = 0;
    Duration elapsed{};
};

using Command = std::variant<Begin, Complete, Lose, Abandon, Depart, Advance>;

/// The answer to a command.
enum class AnswerKind {
    /// To Begin: the runner holds the request, and only it.
    Run,
    /// To Begin: it ran; the answer comes along.
    Stored,
    /// To Begin: it may have run.
    Unknown,
    /// To Begin: a runner has it; its name comes along.
    InProgress,
    /// To Begin: the key belongs to another request.
    Conflict,
    /// To Begin: no room; the request is not held, and none with its key is known.
    Full,
    /// To Begin: the runner itself has given this attempt up.
    Stale,
    /// To every other command.
    Done,
};

constexpr std::array<EnumName<AnswerKind>, 8> answerKindNames{
    {{AnswerKind::Run, "run"},
     {AnswerKind::Stored, "stored"},
     {AnswerKind::Unknown, "unknown"},
     {AnswerKind::InProgress, "inProgress"},
     {AnswerKind::Conflict, "conflict"},
     {AnswerKind::Full, "full"},
     {AnswerKind::Stale, "stale"},
     {AnswerKind::Done, "done"}}};

/// The answer to a command, with the stored answer or the runner that its kind names.
struct Answer
{
    AnswerKind kind = AnswerKind::Done;
    StoredAnswer stored;
    Runner runner;
};

/// Bounds of the state. They are part of what members agree on: all must have the same.
struct Bounds
{
    std::size_t maxRecords = 200'000;
    std::size_t maxRecordsPerCustomer = 40'000;
    std::size_t maxBodyBytes = 64UL * 1024;
    /// Bytes of bodies over all records.
    std::size_t maxBytes = 256UL * 1024 * 1024;
    /// How long an answer is kept, in agreed time.
    Duration retention = std::chrono::hours(24);
    /// The most that one command moves the agreed time.
    Duration maxAdvance = std::chrono::minutes(1);
};

/// Attempts of one runner that it gave up.
struct RunnerRecord
{
    std::uint64_t floor = 0;
    std::set<std::uint64_t> abandoned;
    /// Requests in progress, by attempt.
    std::map<std::uint64_t, RequestKey> running;
};

/// The whole ledger.
struct State
{
    Bounds bounds;
    /// Agreed time since the ledger began.
    Duration now{};
    std::map<std::uint64_t, std::uint64_t> lastAdvance;
    std::map<RequestKey, Record> records;
    std::map<std::string, std::size_t> recordsPerCustomer;
    std::map<Runner, RunnerRecord> runners;
    /// Finished records by the time they are forgotten.
    std::set<std::pair<Duration, RequestKey>> expiry;
    std::size_t bytes = 0;
};

/// Applies a command. Deterministic: equal states and commands give equal states and answers.
Answer apply(State &state, const Command &command);

/// Returns the runners that have requests in progress.
std::set<Runner> knownRunners(const State &state);

} // namespace kumquathaven::ledger

#endif // KUMQUATHAVEN_LEDGER_LEDGER_H
