// The answers that run or were kept, shared by all request threads.

#ifndef KUMQUATHAVEN_LIB_ENTRY_JOINTABLE_H
#define KUMQUATHAVEN_LIB_ENTRY_JOINTABLE_H

#include "answersink.h"
#include "kumquathaven/admission/retrymemory.h"
#include "kumquathaven/answers/answerstore.h"
#include "upstreamattempt.h"

#include <array>
#include <condition_variable>
#include <mutex>

namespace kumquathaven::entry {

/// What stands for a request that arrives.
enum class JoinKind { Runs, Joins, OtherBody };

/// The part that a request has in an answer.
struct Part
{
    JoinKind kind = JoinKind::Runs;
    /// Where the answer is held.
    std::size_t shard = 0;
    answers::AnswerId id = 0;
    answers::ReaderId reader = 0;
    /// The part runs under its work's key, so that others find it.
    bool isFound = false;
};

/// What another instance gets of a piece of work, with its part if that is an answer.
struct OfferedPart
{
    answers::Offer offer = answers::Offer::Nothing;
    Part part;
};

/// Guards the stores of answers and the memory of attempts, and wakes readers when an answer grows.
/// Work is spread over shards with a lock each, since every piece of every answer passes here.
class JoinTable
{
public:
    JoinTable();

    /// Returns whether a request is a retry, and remembers it.
    admission::AttemptKind classify(const admission::RetryHints &retryHints);

    void recordFailure(const admission::RetryHints &retryHints);

    /// Joins the work under a key, or starts it. Work that runs but cannot be joined any more, and
    /// a first attempt without an idempotency key, start an answer of their own.
    Part enter(const answers::WorkKey &key, const std::string &fingerprint, bool mayJoin);

    /// Lets another instance join a run of this one, or read a kept answer.
    OfferedPart offer(const answers::WorkKey &key, const std::string &fingerprint);

    /// Writer: says where the answer comes from.
    void setSource(const Part &part, answers::AnswerSource source);
    /// Writer: sets the head, adds a piece. Adding waits for slow readers for a bounded time and
    /// then takes them away.
    void begin(const Part &part, answers::AnswerHead head);
    void append(const Part &part, const std::string &chunk);
    /// Writer: ends the answer. It is kept if \p keep.
    void complete(const Part &part, bool keep);
    void fail(const Part &part, const Error &error);
    bool hasReaders(const Part &part) const;

    /// Reader: waits up to \p timeout for news and returns them. Returns nothing if the reader was
    /// taken away.
    std::optional<answers::ReadResult> read(const Part &part, Duration timeout);
    void detach(const Part &part);

private:
    struct Shard
    {
        mutable std::mutex mutex;
        std::condition_variable grown;
        std::condition_variable read;
        answers::AnswerStore store;
    };
    static constexpr std::size_t shardCount = 16;

    static std::size_t shardOf(const answers::WorkKey &key);

    std::array<Shard, shardCount> m_shards;
    std::mutex m_memoryMutex;
    admission::RetryMemory m_memory;
};

/// Hands an answer to its caller and to the table. The work goes on while anyone reads it.
class SharingSink : public AnswerSink
{
public:
    SharingSink(AnswerSink &caller, JoinTable &table, const Part &part)
        : m_caller(caller)
        , m_table(table)
        , m_part(part)
    { }

    bool begin(const std::string &contentType, const runtime::HeaderFields &headers) override;
    bool events(const std::string &bytes) override;
    bool whole(const runtime::HttpReply &reply) override;
    bool gone() override;
    bool hasBegun() const override { return m_hasBegun; }

    /// Returns whether the answer in the table is complete. An answer that is not streamed is
    /// completed before its caller gets it, so that a retry finds it kept.
    bool isComplete() const { return m_isComplete; }

private:
    bool someoneReads();

    AnswerSink &m_caller;
    JoinTable &m_table;
    Part m_part;
    bool m_callerGone = false;
    bool m_hasBegun = false;
    bool m_isComplete = false;
};

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_JOINTABLE_H
