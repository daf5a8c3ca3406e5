// Receiving side of an answer that another instance sends in parts.

#ifndef KUMQUATHAVEN_ANSWERS_FETCHEDANSWER_H
#define KUMQUATHAVEN_ANSWERS_FETCHEDANSWER_H

#include "kumquathaven/answers/messages.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kumquathaven::answers {

/// Timing and size limits of a fetch.
struct FetchLimits
{
    /// Longest interval between two parts that a holder sends.
    Duration heartbeatInterval = std::chrono::milliseconds(200);
    /// A fetch fails if no part arrives from the holder for longer than this.
    Duration holderTimeout = std::chrono::seconds(1);
    /// Maximum size in bytes of the chunks that are buffered for the reader.
    std::size_t maxBufferedBytes = 4UL * 1024 * 1024;
};

/// Receiving side of one fetch.
struct FetchedAnswer
{
    std::string holder;
    FetchLimits limits;
    /// The kind of the latest part. Not set before the first part arrives.
    std::optional<PartKind> kind;
    std::uint64_t nextSequence = 0;
    std::optional<AnswerHead> head;
    std::vector<std::string> buffered;
    std::size_t bufferedBytes = 0;
    TimePoint lastReceivedAt{};
};

/// Handles a part that \p peer sent. The answer fails if a part is missing or too many bytes are
/// buffered. A part from any peer but the holder, or after the end of the answer, is ignored.
void handlePart(FetchedAnswer &answer, const std::string &peer, AnswerPart part, TimePoint now);

/// Returns the chunks received since the last call and the state after them. The answer fails if
/// its holder has timed out.
ReadResult readFetched(FetchedAnswer &answer, TimePoint now);

} // namespace kumquathaven::answers

#endif // KUMQUATHAVEN_ANSWERS_FETCHEDANSWER_H
