// Incremental parser for server-sent events.

#ifndef KUMQUATHAVEN_ANSWERS_SSE_H
#define KUMQUATHAVEN_ANSWERS_SSE_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace kumquathaven::answers {

/// One complete event.
struct SseEvent
{
    /// The value of the "event" field; empty if there was none.
    std::string name;
    /// The values of the "data" fields, joined by line feeds.
    std::string data;
};

/// Parses a byte stream, which may be split at any position, into complete events. An event that is
/// not terminated by a blank line is never returned.
class SseParser
{
public:
    explicit SseParser(std::size_t maxEventBytes = 1024UL * 1024)
        : m_maxEventBytes(maxEventBytes)
    { }

    /// Parses the next bytes and returns the events that they complete. After an event has exceeded
    /// the size limit, all further bytes are ignored.
    std::vector<SseEvent> feed(std::string_view bytes);

    /// Returns whether an event exceeded the size limit.
    bool tooLarge() const { return m_tooLarge; }

    /// Returns whether the bytes parsed so far end inside an event.
    bool insideEvent() const { return !m_line.empty() || m_hasData || !m_event.name.empty(); }

private:
    void endLine(std::vector<SseEvent> &events);
    void field(std::string_view name, std::string_view value);

    std::size_t m_maxEventBytes;
    std::string m_line;
    SseEvent m_event;
    bool m_hasData = false;
    bool m_afterCarriageReturn = false;
    bool m_tooLarge = false;
};

/// Finds the ends of events in a byte stream, which may be split at any position, without keeping
/// the events.
class EventBoundary
{
public:
    void feed(std::string_view bytes);

    /// Returns the number of complete events: lines of fields that a blank line ends. Comments are
    /// no events.
    std::size_t eventCount() const { return m_eventCount; }

    /// Returns whether the bytes so far end inside an event.
    bool isInsideEvent() const { return m_hasField || (m_lineLength > 0 && !m_isComment); }

private:
    void endLine();

    std::size_t m_eventCount = 0;
    /// Bytes of the line that is not ended yet.
    std::size_t m_lineLength = 0;
    bool m_isComment = false;
    /// Whether the event has a line that is not a comment.
    bool m_hasField = false;
    bool m_afterCarriageReturn = false;
};

/// Returns whether a stream that has ended in order is complete. It is not if it ends inside an
/// event, or without any event where only the end of the connection ends it.
bool isCompleteStream(const EventBoundary &boundary, bool endsWithConnection);

} // namespace kumquathaven::answers

#endif // KUMQUATHAVEN_ANSWERS_SSE_H
