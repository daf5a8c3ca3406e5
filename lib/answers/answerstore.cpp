#include "kumquathaven/answers/answerstore.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <tuple>

namespace kumquathaven::answers {

namespace {

// Memory that a chunk takes in addition to its text, in bytes.
constexpr std::size_t chunkOverheadBytes = 64;

std::size_t sizeOf(const std::string &chunk)
{
    return chunk.size() + chunkOverheadBytes;
}

std::size_t endOfChunks(const Answer &answer)
{
    return answer.firstChunk + answer.chunks.size();
}

/// Returns the number of the first chunk that some reader has not read yet.
std::size_t firstUnread(const Answer &answer)
{
    std::size_t first = endOfChunks(answer);
    for (const auto &it : answer.readers)
        first = std::min(first, it.second);
    return first;
}

/// Drops chunks that every reader has read until \p addedBytes fit or no such chunk is left.
void dropReadChunks(Answer &answer, std::size_t maxBytes, std::size_t addedBytes)
{
    const std::size_t unread = firstUnread(answer);
    while (answer.firstChunk < unread && answer.bytes + addedBytes > maxBytes) {
        answer.bytes -= sizeOf(answer.chunks.front());
        answer.chunks.pop_front();
        ++answer.firstChunk;
    }
}

/// Removes an answer from the index, so that no new reader can find it.
void removeFromIndex(AnswerStore &store, AnswerId id, Answer &answer)
{
    if (!answer.key)
        return;
    const auto it = store.byKey.find(*answer.key);
    if (it != store.byKey.end() && it->second == id)
        store.byKey.erase(it);
    answer.key.reset();
}

/// Removes an answer that is not running, has no readers and is not in the index.
void removeIfUnused(AnswerStore &store, AnswerId id)
{
    const auto it = store.answers.find(id);
    if (it == store.answers.end())
        return;
    const Answer &answer = it->second;
    if (answer.state != AnswerState::Running && answer.readers.empty() && !answer.key)
        store.answers.erase(it);
}

/// Removes an answer from the kept ones. Its current readers can still read all of it.
void removeKept(AnswerStore &store, AnswerId id)
{
    Answer &answer = store.answers.at(id);
    const auto kept = store.kept.find(answer.key->customer);
    kept->second.bytes -= answer.bytes;
    kept->second.order.remove(id);
    if (kept->second.order.empty())
        store.kept.erase(kept);
    store.keptBytes -= answer.bytes;
    --store.keptCount;
    removeFromIndex(store, id, answer);
    removeIfUnused(store, id);
}

/// Removes the oldest answer of the customer with the most kept bytes or answers, whichever limit
/// is exceeded, until both limits hold.
void evict(AnswerStore &store)
{
    while (store.keptBytes > store.limits.maxKeptBytes || store.keptCount > store.limits.maxKept) {
        const bool byBytes = store.keptBytes > store.limits.maxKeptBytes;
        const auto largest = std::max_element(
            store.kept.begin(), store.kept.end(), [byBytes](const auto &a, const auto &b) {
                return byBytes ? a.second.bytes < b.second.bytes
                               : a.second.order.size() < b.second.order.size();
            });
        removeKept(store, largest->second.order.front());
    }
}

bool isKept(const Answer &answer)
{
    return answer.state == AnswerState::Complete && answer.key;
}

} // namespace

bool operator<(const WorkKey &a, const WorkKey &b)
{
    return std::tie(a.customer, a.work) < std::tie(b.customer, b.work);
}

std::string workOfKey(const std::string &idempotencyKey)
{
    return "key:" + idempotencyKey;
}

std::string workOfBody(const std::string &bodyFingerprint)
{
    return "body:" + bodyFingerprint;
}

Lookup find(AnswerStore &store, const WorkKey &key, const std::string &bodyFingerprint,
            TimePoint now)
{
    const auto it = store.byKey.find(key);
    if (it == store.byKey.end())
        return {};
    const AnswerId id = it->second;
    const Answer &answer = store.answers.at(id);
    if (isKept(answer) && answer.expiresAt <= now) {
        removeKept(store, id);
        return {};
    }
    if (answer.bodyFingerprint != bodyFingerprint)
        return {LookupStatus::OtherBody, id};
    if (answer.state == AnswerState::Complete)
        return {LookupStatus::Kept, id};
    return {answer.firstChunk == 0 ? LookupStatus::Running : LookupStatus::RunningUnjoinable, id};
}

AnswerId begin(AnswerStore &store, const std::optional<WorkKey> &key,
               const std::string &bodyFingerprint)
{
    const AnswerId id = store.nextId++;
    Answer &answer = store.answers[id];
    answer.key = key;
    answer.bodyFingerprint = bodyFingerprint;
    if (key) {
        assert(store.byKey.count(*key) == 0
               && "an answer with this key is already running or kept");
        store.byKey[*key] = id;
    }
    return id;
}

ReaderId attach(AnswerStore &store, AnswerId id)
{
    Answer &answer = store.answers.at(id);
    assert(answer.firstChunk == 0 && "the first chunk is no longer in the buffer");
    const ReaderId reader = store.nextReader++;
    answer.readers[reader] = 0;
    return reader;
}

std::size_t detach(AnswerStore &store, AnswerId id, ReaderId reader)
{
    const auto it = store.answers.find(id);
    if (it == store.answers.end())
        return 0;
    it->second.readers.erase(reader);
    const std::size_t remaining = it->second.readers.size();
    removeIfUnused(store, id);
    return remaining;
}

void setSource(AnswerStore &store, AnswerId id, AnswerSource source)
{
    store.answers.at(id).source = source;
}

Offer offerOf(const AnswerStore &store, const Lookup &lookup)
{
    if (lookup.status == LookupStatus::OtherBody)
        return Offer::OtherBody;
    if (lookup.status == LookupStatus::Kept)
        return Offer::Answer;
    if (lookup.status != LookupStatus::Running)
        return Offer::Nothing;
    const AnswerSource source = store.answers.at(lookup.id).source;
    if (source == AnswerSource::Undecided)
        return Offer::Undecided;
    return source == AnswerSource::OwnRun ? Offer::Answer : Offer::Nothing;
}

void setHead(AnswerStore &store, AnswerId id, AnswerHead head)
{
    store.answers.at(id).head = std::move(head);
}

bool append(AnswerStore &store, AnswerId id, const std::string &chunk)
{
    Answer &answer = store.answers.at(id);
    const std::size_t addedBytes = sizeOf(chunk);
    const std::size_t maxBytes = store.limits.maxAnswerBytes;
    if (answer.bytes + addedBytes > maxBytes)
        dropReadChunks(answer, maxBytes, addedBytes);
    if (answer.bytes + addedBytes > maxBytes && !answer.chunks.empty())
        return false;
    answer.chunks.push_back(chunk);
    answer.bytes += addedBytes;
    return true;
}

void complete(AnswerStore &store, AnswerId id, TimePoint now, bool keep)
{
    Answer &answer = store.answers.at(id);
    answer.state = AnswerState::Complete;
    if (!answer.key)
        return removeIfUnused(store, id);
    if (!keep || answer.firstChunk > 0 || answer.bytes > store.limits.maxAnswerBytes) {
        removeFromIndex(store, id, answer);
        return removeIfUnused(store, id);
    }
    answer.expiresAt = now + store.limits.retention;
    CustomerAnswers &kept = store.kept[answer.key->customer];
    kept.order.push_back(id);
    kept.bytes += answer.bytes;
    store.keptBytes += answer.bytes;
    ++store.keptCount;
    evict(store);
}

void failAnswer(AnswerStore &store, AnswerId id, const Error &error)
{
    Answer &answer = store.answers.at(id);
    answer.state = AnswerState::Failed;
    answer.error = error;
    removeFromIndex(store, id, answer);
    removeIfUnused(store, id);
}

ReadResult read(AnswerStore &store, AnswerId id, ReaderId reader)
{
    Answer &answer = store.answers.at(id);
    std::size_t &cursor = answer.readers.at(reader);
    const auto from = static_cast<std::ptrdiff_t>(cursor - answer.firstChunk);
    ReadResult result;
    result.head = answer.head;
    result.chunks.assign(answer.chunks.begin() + from, answer.chunks.end());
    result.state = answer.state;
    result.error = answer.error;
    cursor = endOfChunks(answer);
    return result;
}

bool isReader(const AnswerStore &store, AnswerId id, ReaderId reader)
{
    const auto it = store.answers.find(id);
    return it != store.answers.end() && it->second.readers.count(reader) > 0;
}

std::optional<ReaderId> slowestReader(const AnswerStore &store, AnswerId id)
{
    const auto answer = store.answers.find(id);
    if (answer == store.answers.end())
        return std::nullopt;
    const auto &readers = answer->second.readers;
    const auto it =
        std::min_element(readers.begin(), readers.end(), [](const auto &a, const auto &b) {
            return a.second < b.second;
        });
    return it == readers.end() ? std::nullopt : std::make_optional(it->first);
}

void expire(AnswerStore &store, TimePoint now)
{
    std::vector<AnswerId> expired;
    for (const auto &[customer, kept] : store.kept) {
        for (const AnswerId id : kept.order) {
            if (store.answers.at(id).expiresAt > now)
                break;
            expired.push_back(id);
        }
    }
    for (const AnswerId id : expired)
        removeKept(store, id);
}

} // namespace kumquathaven::answers
