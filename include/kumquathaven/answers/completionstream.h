// Checks that the events of a completion stream are whole, in order and of the right request.

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
    /// A chunk's token count does not follow the one before.
    OutOfOrder,
    /// Something came after the end.
    AfterEnd,
    /// The engine sent an error in the stream.
    UpstreamError,
    /// An event was larger than the bound.
    TooLarge,
    /// The connection ended, or was silent too long, before the end of the stream.
    Cut,
    /// A second run gave another text than the first.
    OtherText,
    /// The engine's count of tokens is not what was received.
    WrongLength,
};

/// Returns the name used in logs and errors, for example "otherRequest".
std::string_view streamFaultName(StreamFault fault);

/// One chunk of a completion, as far as the router needs to know it.
struct Chunk
{
    std::string id;
    /// Text of the first choice.
    std::string text;
    bool hasRole = false;
    /// The chunk ends the first choice.
    bool finishes = false;
    /// Tokens of the whole answer up to this chunk, if the engine says so.
    std::optional<std::uint64_t> completionTokens;
    /// The chunk holds something besides the text of one choice, such as a tool call.
    bool hasOtherContent = false;
};

/// What is known of a stream so far.
struct StreamCheck
{
    /// The id that every chunk's id must be or end with. Empty: that of the first chunk.
    std::string expectedId;
    /// Tokens of text so far; a chunk counts as one unless it says more.
    std::uint64_t tokens = 0;
    /// What the engine said the whole answer has.
    std::optional<std::uint64_t> reportedTokens;
    /// A finish reason came.
    bool finished = false;
    /// The end mark came: the stream is complete.
    bool done = false;
};

/// The result of checking one event.
struct CheckedEvent
{
    StreamFault fault = StreamFault::None;
    /// The event is the end mark and has no chunk.
    bool done = false;
    Chunk chunk;
};

/// Checks the next event. After a fault the stream must not be read further.
CheckedEvent check(StreamCheck &stream, const SseEvent &event);

/// Returns what is wrong with a stream whose connection ended now.
StreamFault faultAtEnd(const StreamCheck &stream);

/// Returns the event's data with the id replaced and, if \p text is given, with that text in place
/// of the first choice's. The data must have passed check().
std::string rewriteChunk(const std::string &data, const std::string &id,
                         const std::optional<std::string> &text);

} // namespace kumquathaven::answers

#endif // KUMQUATHAVEN_ANSWERS_COMPLETIONSTREAM_H
