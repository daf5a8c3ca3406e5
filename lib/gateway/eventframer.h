// Splits a stream of server-sent events at event boundaries, so that another server can resume the
// stream after the last complete event.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_EVENTFRAMER_H
#define KUMQUATHAVEN_LIB_GATEWAY_EVENTFRAMER_H

#include <cstddef>
#include <string>
#include <string_view>

namespace kumquathaven::gateway {

/// Maximum size of an event that is buffered until it is complete.
constexpr std::size_t maxEventBytes = std::size_t{256} * 1024;

/// Buffers a stream and returns only complete events.
class EventFramer
{
public:
    /// Appends bytes and returns the events that are complete now.
    std::string feed(std::string_view bytes);

    /// Returns whether the incomplete event is longer than maxEventBytes. Its stream must be ended,
    /// since the buffer would grow for as long as the server sends.
    bool isTooLong() const { return m_partial.size() > maxEventBytes; }

    /// Returns the buffered bytes of an incomplete event and clears the buffer.
    std::string takePartial();

    /// Returns the id of the last complete event that had one; empty if none had one.
    const std::string &lastId() const { return m_lastId; }

    /// Returns whether the stream contained any complete event.
    bool hasEvents() const { return m_hasEvents; }

private:
    void readId(std::string_view event);

    std::string m_partial;
    /// Start of the last line of m_partial, and the end of the bytes that were searched for its
    /// end.
    std::size_t m_lineStart = 0;
    std::size_t m_searched = 0;
    std::string m_lastId;
    bool m_hasEvents = false;
};

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_EVENTFRAMER_H
