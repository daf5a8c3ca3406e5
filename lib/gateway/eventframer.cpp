#include "eventframer.h"

#include <utility>

namespace kumquathaven::gateway {

namespace {

/// Returns the length of the first event including the blank line that ends it, or zero if the
/// event is incomplete.
std::size_t firstEventLength(std::string_view bytes)
{
    std::size_t lineStart = 0;
    while (lineStart < bytes.size()) {
        const std::size_t lineEnd = bytes.find('\n', lineStart);
        if (lineEnd == std::string_view::npos)
            return 0;
        const std::string_view line = bytes.substr(lineStart, lineEnd - lineStart);
        if (line.empty() || line == "\r")
            return lineEnd + 1;
        lineStart = lineEnd + 1;
    }
    return 0;
}

} // namespace

std::string EventFramer::feed(std::string_view bytes)
{
    m_partial.append(bytes);
    std::size_t completeLength = 0;
    while (const std::size_t n =
               firstEventLength(std::string_view(m_partial).substr(completeLength))) {
        readId(std::string_view(m_partial).substr(completeLength, n));
        m_hasEvents = true;
        completeLength += n;
    }
    std::string events = m_partial.substr(0, completeLength);
    m_partial.erase(0, completeLength);
    return events;
}

void EventFramer::readId(std::string_view event)
{
    constexpr std::string_view field = "id:";
    for (std::size_t start = 0; start < event.size();) {
        const std::size_t end = std::min(event.find('\n', start), event.size());
        std::string_view line = event.substr(start, end - start);
        start = end + 1;
        if (line.substr(0, field.size()) != field)
            continue;
        line.remove_prefix(field.size());
        if (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        m_lastId = std::string(line);
    }
}

std::string EventFramer::takePartial()
{
    return std::exchange(m_partial, {});
}

} // namespace kumquathaven::gateway
