#include "kumquathaven/answers/fetchedanswer.h"

#include <utility>

namespace kumquathaven::answers {

namespace {

Error fetchError(const FetchedAnswer &answer)
{
    return {ErrorCode::Unavailable, "answers.fetch",
            answer.holder,          "the instance that holds the answer did not send all of it",
            Outcome::Unknown,       {}};
}

bool hasEnded(const FetchedAnswer &answer)
{
    return answer.kind && *answer.kind != PartKind::Running;
}

AnswerState stateOf(const FetchedAnswer &answer)
{
    if (!answer.kind || answer.kind == PartKind::Running)
        return AnswerState::Running;
    return answer.kind == PartKind::Complete ? AnswerState::Complete : AnswerState::Failed;
}

} // namespace

void handlePart(FetchedAnswer &answer, const std::string &peer, AnswerPart part, TimePoint now)
{
    if (peer != answer.holder || hasEnded(answer))
        return;
    answer.lastReceivedAt = now;
    std::size_t bytes = 0;
    for (const std::string &it : part.chunks)
        bytes += it.size();
    const bool isNext = part.sequence == answer.nextSequence;
    if (!isNext || answer.bufferedBytes + bytes > answer.limits.maxBufferedBytes) {
        answer.kind = PartKind::Failed;
        return;
    }
    ++answer.nextSequence;
    answer.kind = part.kind;
    if (part.head)
        answer.head = std::move(part.head);
    answer.bufferedBytes += bytes;
    for (std::string &it : part.chunks)
        answer.buffered.push_back(std::move(it));
}

ReadResult readFetched(FetchedAnswer &answer, TimePoint now)
{
    if (!hasEnded(answer) && now - answer.lastReceivedAt > answer.limits.holderTimeout)
        answer.kind = PartKind::Failed;
    ReadResult result;
    result.head = answer.head;
    result.chunks = std::exchange(answer.buffered, {});
    answer.bufferedBytes = 0;
    result.state = stateOf(answer);
    if (result.state == AnswerState::Failed)
        result.error = fetchError(answer);
    return result;
}

} // namespace kumquathaven::answers
