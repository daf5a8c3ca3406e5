// Answers that run or were kept, so that a retry joins its running work or gets the kept answer.
//
// Memory is bounded: a running answer by its own buffer, the kept ones together, and when those are
// too many the customer that holds the most loses its oldest.

#ifndef KUMQUATHAVEN_ANSWERS_ANSWERSTORE_H
#define KUMQUATHAVEN_ANSWERS_ANSWERSTORE_H

#include "kumquathaven/base/error.h"
#include "kumquathaven/base/time.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace kumquathaven::answers {

/// Names a piece of work. The customer is part of it, so that no customer reaches another's answer.
struct WorkKey
{
    std::string customer;
    /// From workOfKey() or workOfBody().
    std::string work;
};

bool operator<(const WorkKey &a, const WorkKey &b);

/// Returns the name of work that carries an idempotency key.
std::string workOfKey(const std::string &idempotencyKey);

/// Returns the name of work that is known by its body.
std::string workOfBody(const std::string &bodyFingerprint);

using AnswerId = std::uint64_t;
using ReaderId = std::uint64_t;

enum class AnswerState { Running, Complete, Failed };

/// Where a running answer comes from. Only a run of this instance may be read by others, so that no
/// two instances wait for each other's answer.
enum class AnswerSource { Undecided, OwnRun, OtherInstance };

/// Status and headers of an answer.
struct AnswerHead
{
    int status = 0;
    std::string contentType;
    std::vector<std::pair<std::string, std::string>> headers;
};

/// One answer with those who read it.
struct Answer
{
    std::optional<WorkKey> key;
    std::string bodyFingerprint;
    AnswerState state = AnswerState::Running;
    AnswerSource source = AnswerSource::Undecided;
    std::optional<AnswerHead> head;
    std::deque<std::string> chunks;
    /// Number of the first piece that is still held.
    std::size_t firstChunk = 0;
    std::size_t bytes = 0;
    std::map<ReaderId, std::size_t> readers;
    std::optional<Error> error;
    TimePoint expiresAt{};
};

/// Bounds of the store.
struct AnswerLimits
{
    std::size_t maxAnswerBytes = 1024UL * 1024;
    std::size_t maxKeptBytes = 64UL * 1024 * 1024;
    std::size_t maxKept = 10'000;
    Duration retention = std::chrono::minutes(10);
};

/// Kept answers of one customer, the oldest first.
struct CustomerAnswers
{
    std::size_t bytes = 0;
    std::list<AnswerId> order;
};

/// The whole state.
struct AnswerStore
{
    AnswerLimits limits;
    AnswerId nextId = 1;
    ReaderId nextReader = 1;
    std::map<AnswerId, Answer> answers;
    std::map<WorkKey, AnswerId> byKey;
    std::map<std::string, CustomerAnswers> kept;
    std::size_t keptBytes = 0;
    std::size_t keptCount = 0;
};

/// What is known about a piece of work.
enum class LookupStatus {
    Nothing,
    /// It runs and can be joined from its beginning.
    Running,
    /// It runs, but its beginning is no longer held.
    RunningUnjoinable,
    Kept,
    /// The key was used with another body.
    OtherBody,
};

/// What find() found, and the answer if there is one to join or to give.
struct Lookup
{
    LookupStatus status = LookupStatus::Nothing;
    AnswerId id = 0;
};

/// Finds a customer's work.
Lookup find(AnswerStore &store, const WorkKey &key, const std::string &bodyFingerprint,
            TimePoint now);

/// Starts an answer. Without a key it can be neither joined nor kept; with one, no other answer may
/// run under that key.
AnswerId begin(AnswerStore &store, const std::optional<WorkKey> &key,
               const std::string &bodyFingerprint);

/// Adds a reader, who gets the answer from its beginning. The answer must be joinable.
ReaderId attach(AnswerStore &store, AnswerId id);

/// Takes a reader away. Returns how many are left; an answer that runs for no one can be cancelled.
std::size_t detach(AnswerStore &store, AnswerId id, ReaderId reader);

/// Says where a running answer comes from.
void setSource(AnswerStore &store, AnswerId id, AnswerSource source);

/// What another instance may have of an answer.
enum class Offer { Nothing, Undecided, OtherBody, Answer };

/// Returns what another instance may have of a found answer.
Offer offerOf(const AnswerStore &store, const Lookup &lookup);

/// Sets status and headers, once, before the first piece.
void setHead(AnswerStore &store, AnswerId id, AnswerHead head);

/// Adds the next piece. Returns false, and takes nothing, while the buffer is full of pieces that a
/// reader has not read yet: the writer then waits, and drops a reader that takes too long.
bool append(AnswerStore &store, AnswerId id, const std::string &chunk);

/// Ends an answer that is whole, and keeps it if \p keep, its work has a key and its pieces are all
/// held.
void complete(AnswerStore &store, AnswerId id, TimePoint now, bool keep = true);

/// Ends an answer that is not whole. It is not kept.
void failAnswer(AnswerStore &store, AnswerId id, const Error &error);

/// What a reader gets next.
struct ReadResult
{
    std::optional<AnswerHead> head;
    std::vector<std::string> chunks;
    AnswerState state = AnswerState::Running;
    std::optional<Error> error;
};

/// Returns the pieces that a reader has not had, in order, and the state after them.
ReadResult read(AnswerStore &store, AnswerId id, ReaderId reader);

/// Returns whether a reader still reads an answer.
bool isReader(const AnswerStore &store, AnswerId id, ReaderId reader);

/// Returns the reader that is furthest behind, or nothing if no one reads the answer.
std::optional<ReaderId> slowestReader(const AnswerStore &store, AnswerId id);

/// Forgets kept answers whose time has passed.
void expire(AnswerStore &store, TimePoint now);

} // namespace kumquathaven::answers

#endif // KUMQUATHAVEN_ANSWERS_ANSWERSTORE_H
