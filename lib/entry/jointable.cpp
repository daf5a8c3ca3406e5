#include "jointable.h"

#include "kumquathaven/base/hash.h"

namespace kumquathaven::entry {

namespace {

using answers::LookupStatus;

// How long a writer waits for a reader that is behind by a whole buffer.
constexpr Duration slowReaderLimit = std::chrono::seconds(5);
constexpr int firstErrorStatus = 300;

} // namespace

std::size_t JoinTable::shardOf(const answers::WorkKey &key)
{
    return combineHash(stableHash(key.customer), stableHash(key.work)) % shardCount;
}

JoinTable::JoinTable()
{
    for (Shard &it : m_shards) {
        it.store.limits.maxKeptBytes /= shardCount;
        it.store.limits.maxKept /= shardCount;
    }
}

admission::AttemptKind JoinTable::classify(const admission::RetryHints &retryHints)
{
    const std::lock_guard<std::mutex> lock(m_memoryMutex);
    return admission::classify(m_memory, retryHints, monotonicNow());
}

void JoinTable::recordFailure(const admission::RetryHints &retryHints)
{
    const std::lock_guard<std::mutex> lock(m_memoryMutex);
    admission::recordFailure(m_memory, retryHints, monotonicNow());
}

Part JoinTable::enter(const answers::WorkKey &key, const std::string &fingerprint, bool mayJoin)
{
    const std::size_t number = shardOf(key);
    Shard &shard = m_shards[number];
    const std::lock_guard<std::mutex> lock(shard.mutex);
    const TimePoint now = monotonicNow();
    answers::expire(shard.store, now);
    const answers::Lookup lookup = answers::find(shard.store, key, fingerprint, now);
    if (lookup.status == LookupStatus::OtherBody)
        return {JoinKind::OtherBody, number, 0, 0};
    const bool joinable =
        lookup.status == LookupStatus::Running || lookup.status == LookupStatus::Kept;
    if (joinable && mayJoin)
        return {JoinKind::Joins, number, lookup.id, answers::attach(shard.store, lookup.id)};
    const bool isFree = lookup.status == LookupStatus::Nothing;
    const auto ownKey = isFree ? std::make_optional(key) : std::nullopt;
    return {JoinKind::Runs, number, answers::begin(shard.store, ownKey, fingerprint), 0, isFree};
}

OfferedPart JoinTable::offer(const answers::WorkKey &key, const std::string &fingerprint)
{
    const std::size_t number = shardOf(key);
    Shard &shard = m_shards[number];
    const std::lock_guard<std::mutex> lock(shard.mutex);
    const answers::Lookup lookup = answers::find(shard.store, key, fingerprint, monotonicNow());
    OfferedPart offered;
    offered.offer = answers::offerOf(shard.store, lookup);
    if (offered.offer == answers::Offer::Answer)
        offered.part = {JoinKind::Joins, number, lookup.id,
                        answers::attach(shard.store, lookup.id)};
    return offered;
}

void JoinTable::setSource(const Part &part, answers::AnswerSource source)
{
    Shard &shard = m_shards[part.shard];
    const std::lock_guard<std::mutex> lock(shard.mutex);
    answers::setSource(shard.store, part.id, source);
}

void JoinTable::begin(const Part &part, answers::AnswerHead head)
{
    Shard &shard = m_shards[part.shard];
    const std::lock_guard<std::mutex> lock(shard.mutex);
    answers::setHead(shard.store, part.id, std::move(head));
}

void JoinTable::append(const Part &part, const std::string &chunk)
{
    Shard &shard = m_shards[part.shard];
    std::unique_lock<std::mutex> lock(shard.mutex);
    while (!answers::append(shard.store, part.id, chunk)) {
        shard.grown.notify_all();
        const bool wasRead =
            shard.read.wait_for(lock, slowReaderLimit) == std::cv_status::no_timeout;
        const auto slowest = answers::slowestReader(shard.store, part.id);
        if (!wasRead && slowest)
            answers::detach(shard.store, part.id, *slowest);
    }
    shard.grown.notify_all();
}

void JoinTable::complete(const Part &part, bool keep)
{
    Shard &shard = m_shards[part.shard];
    const std::lock_guard<std::mutex> lock(shard.mutex);
    answers::complete(shard.store, part.id, monotonicNow(), keep);
    shard.grown.notify_all();
}

void JoinTable::fail(const Part &part, const Error &error)
{
    Shard &shard = m_shards[part.shard];
    const std::lock_guard<std::mutex> lock(shard.mutex);
    answers::failAnswer(shard.store, part.id, error);
    shard.grown.notify_all();
}

bool JoinTable::hasReaders(const Part &part) const
{
    const Shard &shard = m_shards[part.shard];
    const std::lock_guard<std::mutex> lock(shard.mutex);
    return answers::slowestReader(shard.store, part.id).has_value();
}

std::optional<answers::ReadResult> JoinTable::read(const Part &part, Duration timeout)
{
    Shard &shard = m_shards[part.shard];
    std::unique_lock<std::mutex> lock(shard.mutex);
    if (!answers::isReader(shard.store, part.id, part.reader))
        return std::nullopt;
    answers::ReadResult result = answers::read(shard.store, part.id, part.reader);
    if (result.chunks.empty() && result.state == answers::AnswerState::Running) {
        shard.grown.wait_for(lock, timeout);
        if (!answers::isReader(shard.store, part.id, part.reader))
            return std::nullopt;
        result = answers::read(shard.store, part.id, part.reader);
    }
    shard.read.notify_all();
    return result;
}

void JoinTable::detach(const Part &part)
{
    Shard &shard = m_shards[part.shard];
    const std::lock_guard<std::mutex> lock(shard.mutex);
    answers::detach(shard.store, part.id, part.reader);
    shard.read.notify_all();
}

bool SharingSink::someoneReads()
{
    return !m_callerGone || m_table.hasReaders(m_part);
}

bool SharingSink::begin(const std::string &contentType, const runtime::HeaderFields &headers)
{
    m_hasBegun = true;
    m_table.begin(m_part, {200, contentType, headers});
    m_callerGone = m_callerGone || !m_caller.begin(contentType, headers);
    return someoneReads();
}

bool SharingSink::events(const std::string &bytes)
{
    m_table.append(m_part, bytes);
    m_callerGone = m_callerGone || !m_caller.events(bytes);
    return someoneReads();
}

bool SharingSink::whole(const runtime::HttpReply &reply)
{
    m_hasBegun = true;
    m_table.begin(m_part, {reply.status, reply.contentType, reply.headers});
    m_table.append(m_part, reply.body);
    m_isComplete = true;
    m_table.complete(m_part, reply.status < firstErrorStatus);
    m_callerGone = m_callerGone || !m_caller.whole(reply);
    return true;
}

bool SharingSink::gone()
{
    m_callerGone = m_callerGone || m_caller.gone();
    return !someoneReads();
}

} // namespace kumquathaven::entry
