#include "eventframer.h"

#include <utility>

namespace kumquathaven::gateway {

std::string EventFramer::feed(std::string_view bytes)
{
    m_partial.append(bytes);
    std::size_t completeLength = 0;
    for (std::size_t lineEnd = m_partial.find('\n', m_searched); lineEnd != std::string::npos;
         lineEnd = m_partial.find('\n', m_searched)) {
        const std::string_view line =
            std::string_view(m_partial).substr(m_lineStart, lineEnd - m_lineStart);
        m_lineStart = lineEnd + 1;
        m_searched = m_lineStart;
        // An empty line ends an event.
        if (!line.empty() && line != "\r")
            continue;
        readId(std::string_view(m_partial).substr(completeLength, m_lineStart - completeLength));
        m_hasEvents = true;
        completeLength = m_lineStart;
    }
    std::string events = m_partial.substr(0, completeLength);
    m_partial.erase(0, completeLength);
    m_lineStart -= completeLength;
    m_searched = m_partial.size();
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
    m_lineStart = 0;
    m_searched = 0;
    return std::exchange(m_partial, {});
}

} // namespace kumquathaven::gateway
