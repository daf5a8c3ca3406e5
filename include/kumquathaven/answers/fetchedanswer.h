// An answer that another instance sends part by part.

#ifndef KUMQUATHAVEN_ANSWERS_FETCHEDANSWER_H
#define KUMQUATHAVEN_ANSWERS_FETCHEDANSWER_H

#include "kumquathaven/answers/messages.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kumquathaven::answers {

/// Times and sizes of a fetch.
struct FetchLimits
{
    /// A holder sends a part at least this often.
    Duration heartbeatInterval = std::chrono::milliseconds(200);
    /// A holder that was not heard for this long is taken for lost.
    Duration holderTimeout = std::chrono::seconds(1);
    /// What may wait for the reader, in bytes.
    std::size_t maxBufferedBytes = 4UL * 1024 * 1024;
};

/// The reading side of one fetch.
struct FetchedAnswer
{
    std::string holder;
    FetchLimits limits;
    /// The kind of the newest part; nothing before the first.
    std::optional<PartKind> kind;
    std::uint64_t nextSequence = 0;
    std::optional<AnswerHead> head;
    std::vector<std::string> buffered;
    std::size_t bufferedBytes = 0;
    TimePoint lastReceivedAt{};
};

/// Takes a part that \p peer sent. After a gap, or with too much waiting, the answer has failed; a
/// part of anyone but the holder, or after the end, changes nothing.
void handlePart(FetchedAnswer &answer, const std::string &peer, AnswerPart part, TimePoint now);

/// Returns what came since the last call, and the state after it. The answer has failed when its
/// holder was silent for too long.
ReadResult readFetched(FetchedAnswer &answer, TimePoint now);

} // namespace kumquathaven::answers

#endif // KUMQUATHAVEN_ANSWERS_FETCHEDANSWER_H
