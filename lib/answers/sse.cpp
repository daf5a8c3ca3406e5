#include "kumquathaven/answers/sse.h"

namespace kumquathaven::answers {

std::vector<SseEvent> SseParser::feed(std::string_view bytes)
{
    std::vector<SseEvent> events;
    for (const char c : bytes) {
        if (m_tooLarge)
            break;
        const bool endsPair = c == '\n' && m_afterCarriageReturn;
        m_afterCarriageReturn = c == '\r';
        if (endsPair)
            continue;
        if (c == '\r' || c == '\n') {
            endLine(events);
            continue;
        }
        m_line.push_back(c);
        m_tooLarge = m_line.size() + m_event.data.size() + m_event.name.size() > m_maxEventBytes;
    }
    return events;
}

void SseParser::endLine(std::vector<SseEvent> &events)
{
    const std::string line = std::move(m_line);
    m_line.clear();
    if (line.empty()) {
        if (m_hasData)
            events.push_back(std::move(m_event));
        m_event = SseEvent{};
        m_hasData = false;
        return;
    }
    const std::string_view text = line;
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos)
        return field(text, {});
    std::string_view value = text.substr(colon + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    field(text.substr(0, colon), value);
}

void SseParser::field(std::string_view name, std::string_view value)
{
    if (name == "event") {
        m_event.name = value;
        return;
    }
    if (name != "data")
        return;
    if (m_hasData)
        m_event.data.push_back('\n');
    m_event.data += value;
    m_hasData = true;
}

void EventBoundary::feed(std::string_view bytes)
{
    for (const char c : bytes) {
        const bool endsPair = c == '\n' && m_afterCarriageReturn;
        m_afterCarriageReturn = c == '\r';
        if (endsPair)
            continue;
        if (c == '\r' || c == '\n') {
            endLine();
            continue;
        }
        if (m_lineLength == 0)
            m_isComment = c == ':';
        ++m_lineLength;
    }
}

void EventBoundary::endLine()
{
    if (m_lineLength == 0) {
        if (m_hasField)
            ++m_eventCount;
        m_hasField = false;
    } else if (!m_isComment) {
        m_hasField = true;
    }
    m_lineLength = 0;
}

bool isCompleteStream(const EventBoundary &boundary, bool endsWithConnection)
{
    return !boundary.isInsideEvent() && (boundary.eventCount() > 0 || !endsWithConnection);
}

} // namespace kumquathaven::answers
