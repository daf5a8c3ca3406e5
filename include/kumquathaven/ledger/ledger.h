// The run-once ledger: a deterministic state machine that records which keyed requests are in
// progress, have run or may have run, so that none is run twice.

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

/// Identifies a caller's request. The same idempotency key of two customers denotes two requests.
struct RequestKey
{
    std::string customer;
    std::string idempotencyKey;

    bool operator<(const RequestKey &other) const
    {
        return std::tie(customer, idempotencyKey) < std::tie(other.customer, other.idempotencyKey);
    }
};

/// A process that runs requests: an entry instance and its incarnation.
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

/// An upstream's answer as the ledger stores it.
struct StoredAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
    /// Whether the body exceeded the limit. If so, the request ran, but the body is not stored.
    bool bodyDropped = false;
};

/// State of a keyed request.
enum class RecordState {
    /// A runner has sent the request or may send it at any time.
    InProgress,
    /// The request ran, and its answer is stored.
    Stored,
    /// The request may have run. It must not be run again.
    Unknown,
};

constexpr std::array<EnumName<RecordState>, 3> recordStateNames{
    {{RecordState::InProgress, "inProgress"},
     {RecordState::Stored, "stored"},
     {RecordState::Unknown, "unknown"}}};

/// Record of one keyed request.
struct Record
{
    /// SHA-256 of method, target and body. Using the key with another fingerprint is a conflict.
    std::string fingerprint;
    RecordState state = RecordState::InProgress;
    Runner runner;
    /// Number of the attempt, unique among the runner's attempts.
    std::uint64_t attempt = 0;
    StoredAnswer answer;
    /// Ledger time at which the record is removed. Records in progress are never removed.
    Duration expiresAt{};
};

// Commands. Each may be applied more than once and may arrive late.

/// A runner requests permission to run a request. It may send the first byte only after the answer
/// Run.
struct Begin
{
    RequestKey key;
    std::string fingerprint;
    Runner runner;
    std::uint64_t attempt = 0;
    /// The runner has finished or abandoned all its attempts below this number.
    std::uint64_t floor = 0;
};

/// The request ran, and the upstream answered.
struct Complete
{
    RequestKey key;
    Runner runner;
    std::uint64_t attempt = 0;
    StoredAnswer answer;
};

/// The request may have run, but its answer was lost.
struct Lose
{
    RequestKey key;
    Runner runner;
    std::uint64_t attempt = 0;
};

/// The runner has sent no byte of the request and will not send any.
struct Abandon
{
    RequestKey key;
    Runner runner;
    std::uint64_t attempt = 0;
    std::uint64_t floor = 0;
};

/// Control no longer lists a runner, which therefore counts as departed. Its requests in progress
/// may have run.
struct Depart
{
    Runner runner;
};

/// Advances the ledger time. The control member that leads the log sends this command with the time
/// it measured since its previous one. Each number of a source is applied only once.
struct Advance
{
    std::uint64_t source = 0;
    std::uint64_t number = 0;
    Duration elapsed{};
};

using Command = std::variant<Begin, Complete, Lose, Abandon, Depart, Advance>;

/// The kind of an answer. All kinds but Done answer Begin.
enum class AnswerKind {
    /// The runner, and no other, may run the request.
    Run,
    /// The request ran; the stored answer is included.
    Stored,
    /// The request may have run.
    Unknown,
    /// A runner, which the answer names, has the request in progress.
    InProgress,
    /// The key was used for another request.
    Conflict,
    /// The ledger is full. It has no record for the key, and the request was not recorded.
    Full,
    /// The runner has already abandoned this attempt.
    Stale,
    /// The answer to every other command.
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

/// The answer to a command, with the stored answer or the runner if its kind includes one.
struct Answer
{
    AnswerKind kind = AnswerKind::Done;
    StoredAnswer stored;
    Runner runner;
};

/// Limits of the state. They affect how commands are applied, so they must be the same on all
/// members.
struct Bounds
{
    std::size_t maxRecords = 200'000;
    std::size_t maxRecordsPerCustomer = 40'000;
    std::size_t maxBodyBytes = 64UL * 1024;
    /// Total size in bytes of all stored bodies at which new requests are refused.
    std::size_t maxBytes = 256UL * 1024 * 1024;
    /// How long a finished record is kept, in ledger time.
    Duration retention = std::chrono::hours(24);
    /// Maximum by which one command advances the ledger time.
    Duration maxAdvance = std::chrono::minutes(1);
};

/// Attempts of one runner.
struct RunnerRecord
{
    /// The runner has finished or abandoned all its attempts below this number.
    std::uint64_t floor = 0;
    /// Abandoned attempts that are not below the floor.
    std::set<std::uint64_t> abandoned;
    /// Requests in progress, by attempt.
    std::map<std::uint64_t, RequestKey> running;
};

/// State of the ledger.
struct State
{
    Bounds bounds;
    /// Ledger time: the time that the members have agreed on, counted from the start of the ledger.
    Duration now{};
    /// The last applied number of each source of Advance.
    std::map<std::uint64_t, std::uint64_t> lastAdvance;
    std::map<RequestKey, Record> records;
    std::map<std::string, std::size_t> recordsPerCustomer;
    std::map<Runner, RunnerRecord> runners;
    /// Finished records, ordered by the time at which they are removed.
    std::set<std::pair<Duration, RequestKey>> expiry;
    /// Total size of all stored bodies in bytes.
    std::size_t bytes = 0;
};

/// Applies a command. The result is deterministic: equal states and commands give equal states and
/// answers.
Answer apply(State &state, const Command &command);

/// Returns the runners for which the ledger has a RunnerRecord: every runner that has sent Begin or
/// Abandon since its last Depart. This includes every runner with requests in progress.
std::set<Runner> knownRunners(const State &state);

} // namespace kumquathaven::ledger

#endif // KUMQUATHAVEN_LEDGER_LEDGER_H
