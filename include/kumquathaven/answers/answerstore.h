// Store of running and kept answers: a retry joins the running answer or gets the kept one.
//
// Memory is bounded: each running answer has a bounded buffer, and all kept answers share a limit.
// Above that limit, the customer with the most kept answers loses its oldest one.

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

/// Identifies the work that an answer belongs to. The key includes the customer, so that no
/// customer can read another customer's answer.
struct WorkKey
{
    std::string customer;
    /// The result of workOfKey() or workOfBody().
    std::string work;
};

bool operator<(const WorkKey &a, const WorkKey &b);

/// Returns the identifier of work that has an idempotency key.
std::string workOfKey(const std::string &idempotencyKey);

/// Returns the identifier of work without an idempotency key, which its body identifies.
std::string workOfBody(const std::string &bodyFingerprint);

using AnswerId = std::uint64_t;
using ReaderId = std::uint64_t;

enum class AnswerState { Running, Complete, Failed };

/// Origin of a running answer. Other instances may read only answers that this instance runs
/// itself; otherwise two instances could wait for each other's answer.
enum class AnswerSource { Undecided, OwnRun, OtherInstance };

/// Status and headers of an answer.
struct AnswerHead
{
    int status = 0;
    std::string contentType;
    std::vector<std::pair<std::string, std::string>> headers;
};

/// One answer, its buffered chunks and its readers.
struct Answer
{
    std::optional<WorkKey> key;
    std::string bodyFingerprint;
    AnswerState state = AnswerState::Running;
    AnswerSource source = AnswerSource::Undecided;
    std::optional<AnswerHead> head;
    std::deque<std::string> chunks;
    /// Number of the first chunk that is still in the buffer.
    std::size_t firstChunk = 0;
    /// Size of the buffered chunks in bytes, including a fixed overhead for each chunk.
    std::size_t bytes = 0;
    /// For each reader, the number of the next chunk it will read.
    std::map<ReaderId, std::size_t> readers;
    std::optional<Error> error;
    TimePoint expiresAt{};
};

/// Limits of the store.
struct AnswerLimits
{
    std::size_t maxAnswerBytes = 1024UL * 1024;
    std::size_t maxKeptBytes = 64UL * 1024 * 1024;
    std::size_t maxKept = 10'000;
    Duration retention = std::chrono::minutes(10);
};

/// Kept answers of one customer, ordered from oldest to newest.
struct CustomerAnswers
{
    std::size_t bytes = 0;
    std::list<AnswerId> order;
};

/// Running and kept answers of one store, with the indices to find them.
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

/// Status of work that find() looked up.
enum class LookupStatus {
    Nothing,
    /// The answer is running and can be read from its beginning.
    Running,
    /// The answer is running, but its first chunks have been dropped from the buffer.
    RunningUnjoinable,
    Kept,
    /// The key was used with another body.
    OtherBody,
};

/// Result of find(): the status and, unless it is Nothing, the id of the answer.
struct Lookup
{
    LookupStatus status = LookupStatus::Nothing;
    AnswerId id = 0;
};

/// Looks up the answer to a customer's work. Drops a kept answer that has expired.
Lookup find(AnswerStore &store, const WorkKey &key, const std::string &bodyFingerprint,
            TimePoint now);

/// Adds a running answer. An answer without a key can be neither joined nor kept. The store must
/// not hold another running or kept answer with the same key.
AnswerId begin(AnswerStore &store, const std::optional<WorkKey> &key,
               const std::string &bodyFingerprint);

/// Adds a reader that reads the answer from its beginning. The first chunk must still be in the
/// buffer.
ReaderId attach(AnswerStore &store, AnswerId id);

/// Removes a reader. Returns the number of remaining readers; a running answer without readers can
/// be cancelled.
std::size_t detach(AnswerStore &store, AnswerId id, ReaderId reader);

/// Sets the origin of a running answer.
void setSource(AnswerStore &store, AnswerId id, AnswerSource source);

/// What another instance may read of an answer.
enum class Offer { Nothing, Undecided, OtherBody, Answer };

/// Returns what another instance may read of the answer that \p lookup refers to.
Offer offerOf(const AnswerStore &store, const Lookup &lookup);

/// Sets status and headers. Must be called at most once, before the first chunk is appended.
void setHead(AnswerStore &store, AnswerId id, AnswerHead head);

/// Appends the next chunk. Returns false and appends nothing while the buffer is full of chunks
/// that some reader has not read yet. The writer then has to wait, and to detach a reader that is
/// too slow.
bool append(AnswerStore &store, AnswerId id, const std::string &chunk);

/// Marks an answer as complete. Keeps it if \p keep is set, it has a key, and all its chunks are
/// still in the buffer.
void complete(AnswerStore &store, AnswerId id, TimePoint now, bool keep = true);

/// Marks an answer as failed. Failed answers are not kept.
void failAnswer(AnswerStore &store, AnswerId id, const Error &error);

/// Result of one read.
struct ReadResult
{
    std::optional<AnswerHead> head;
    std::vector<std::string> chunks;
    AnswerState state = AnswerState::Running;
    std::optional<Error> error;
};

/// Returns, in order, the chunks that a reader has not read yet, and the state after them.
ReadResult read(AnswerStore &store, AnswerId id, ReaderId reader);

/// Returns whether a reader is still attached to an answer.
bool isReader(const AnswerStore &store, AnswerId id, ReaderId reader);

/// Returns the reader that has read the fewest chunks, or nothing if the answer has no readers.
std::optional<ReaderId> slowestReader(const AnswerStore &store, AnswerId id);

/// Removes the kept answers that have expired.
void expire(AnswerStore &store, TimePoint now);

} // namespace kumquathaven::answers

#endif // KUMQUATHAVEN_ANSWERS_ANSWERSTORE_H
