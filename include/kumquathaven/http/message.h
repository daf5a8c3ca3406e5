// HTTP/1.1 messages as they arrive in pieces: strict parsing of requests and answers.

#ifndef KUMQUATHAVEN_HTTP_MESSAGE_H
#define KUMQUATHAVEN_HTTP_MESSAGE_H

#include "kumquathaven/base/enumnames.h"
#include "kumquathaven/http/fields.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace kumquathaven::http {

/// What stands before a message's body.
struct Head
{
    /// Requests.
    std::string method;
    std::string target;
    /// Answers.
    int status = 0;
    std::string reason;
    /// Whether the message has version 1.1 or later.
    bool isVersion11 = true;
    HeaderFields fields;
    /// Whether the connection may carry another message after this one.
    bool keepsAlive = true;
    /// Length of the body, if it was told.
    std::optional<std::uint64_t> contentLength;
    /// Answers: the body ends with the connection.
    bool endsWithConnection = false;
};

/// What marks the end of an answer's body.
enum class BodyFrame { Length, Chunks, Connection };

constexpr std::array<EnumName<BodyFrame>, 3> bodyFrameNames = {{
    {BodyFrame::Length, "length"},
    {BodyFrame::Chunks, "chunks"},
    {BodyFrame::Connection, "connection"},
}};

/// Returns what marks the end of the body of an answer with this head.
BodyFrame bodyFrameOf(const Head &head);

/// Returns the path of a request's target, without what follows a question mark.
std::string pathOf(const Head &head);

/// How far a message was read.
enum class ParseState {
    /// More bytes are needed.
    Open,
    /// The whole message was read.
    Done,
    /// The bytes are no such message.
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
};

/// Bounds of one message.
struct MessageBounds
{
    std::uint32_t maxHeadBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = std::uint64_t{8} * 1024 * 1024;
    /// A head with more fields is too large.
    std::size_t maxFields = 256;
};

enum class MessageSide { Request, Answer };

/// Parses one message. Ambiguous framing is malformed: two lengths that differ, a length beside
/// chunks, chunk sizes that are no numbers, transfer codings other than chunks.
class MessageParser
{
public:
    explicit MessageParser(MessageSide side, MessageBounds bounds = {});
    ~MessageParser();
    MessageParser(MessageParser &&) noexcept;
    MessageParser &operator=(MessageParser &&) noexcept;

    /// Takes bytes. What belongs to the body, without its framing, is appended to \p body. Bytes
    /// after the end of the message stay and are handed out by takeRest().
    ParseState feed(std::string_view bytes, std::string &body);

    /// Takes note that the connection ended in order, which ends an answer without a length.
    ParseState finish();

    /// The answer to a HEAD request has no body, whatever its head says.
    void expectNoBody();

    ParseState state() const;
    /// Whether the head is there.
    bool hasHead() const;
    const Head &head() const;
    /// Whether any byte arrived.
    bool hasBegun() const;
    /// Returns the bytes that are held, besides the body.
    std::size_t heldBytes() const;
    /// Returns the bytes behind the end of the message.
    std::string takeRest();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Returns the head of a request or an answer as bytes. Fields that frame the body are among
/// \p fields.
std::string requestHead(const std::string &method, const std::string &target,
                        const HeaderFields &fields);
std::string answerHead(int status, const std::string &reason, const HeaderFields &fields);

/// Returns whether a number is a status of HTTP: from 100 to 599.
bool isStatus(int number);

/// Returns the usual phrase of a status.
std::string reasonOf(int status);

/// Returns bytes as one chunk.
std::string chunk(std::string_view bytes);

/// The end of a chunked body.
constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace kumquathaven::http

#endif // KUMQUATHAVEN_HTTP_MESSAGE_H
