// Checks that a completion stream is complete and in order and belongs to the expected request.

#ifndef KUMQUATHAVEN_ANSWERS_COMPLETIONSTREAM_H
#define KUMQUATHAVEN_ANSWERS_COMPLETIONSTREAM_H

#include "kumquathaven/answers/sse.h"

#include <cstdint>
#include <optional>
#include <string>

namespace kumquathaven::answers {

/// What is wrong with a stream.
enum class StreamFault {
    None,
    /// An event is not a completion chunk.
    Malformed,
    /// A chunk carries the id of another request.
    OtherRequest,
    /// A chunk with text does not increase the token count.
    OutOfOrder,
    /// An event followed the end mark, or text or a finish reason followed the finish reason.
    AfterEnd,
    /// The engine sent an error in the stream.
    UpstreamError,
    /// An event exceeded the size limit.
    TooLarge,
    /// The connection ended or timed out before the end of the stream, or the end mark came without
    /// a finish reason.
    Cut,
    /// A later attempt produced other content than the caller already has.
    OtherText,
    /// The token count that the engine reported differs from the count received.
    WrongLength,
};

/// Returns the name of a fault for logs and errors, for example "otherRequest".
std::string_view streamFaultName(StreamFault fault);

/// The fields of a completion chunk that the router uses.
struct Chunk
{
    std::string id;
    /// The text of the first choice.
    std::string text;
    bool hasRole = false;
    /// Whether the chunk has the finish reason of the first choice.
    bool finishes = false;
    /// Number of completion tokens up to and including this chunk, if the engine reports it.
    std::optional<std::uint64_t> completionTokens;
    /// Whether the chunk has content other than the text of the first choice, such as a tool call.
    bool hasOtherContent = false;
};

/// State of the check of one stream.
struct StreamCheck
{
    /// The id that the id of every chunk must end with. If empty, the first chunk's id is used.
    std::string expectedId;
    /// Number of text tokens so far. A chunk with text counts as one token unless the engine
    /// reports a count.
    std::uint64_t tokens = 0;
    /// The latest token count that the engine reported.
    std::optional<std::uint64_t> reportedTokens;
    /// Whether a finish reason was received.
    bool finished = false;
    /// Whether the end mark was received, which makes the stream complete.
    bool done = false;
};

/// The result of checking one event.
struct CheckedEvent
{
    StreamFault fault = StreamFault::None;
    /// Whether the event is the end mark, which has no chunk.
    bool done = false;
    Chunk chunk;
};

/// Checks the next event. After a fault, no further events may be checked.
CheckedEvent check(StreamCheck &stream, const SseEvent &event);

/// Returns the fault of a stream whose connection has ended: None if the stream is complete,
/// otherwise Cut.
StreamFault faultAtEnd(const StreamCheck &stream);

/// Returns the event's data with the id replaced by \p id unless that is empty. If \p text is
/// given, it replaces the text of the first choice. The data must have passed check().
std::string rewriteChunk(const std::string &data, const std::string &id,
                         const std::optional<std::string> &text);

} // namespace kumquathaven::answers

#endif // KUMQUATHAVEN_ANSWERS_COMPLETIONSTREAM_H
