// Cuts a stream of events where one ends, so that another server can go on behind the last whole
// one.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_EVENTFRAMER_H
#define KUMQUATHAVEN_LIB_GATEWAY_EVENTFRAMER_H

#include <string>
#include <string_view>

namespace kumquathaven::gateway {

/// Holds back an event until all of it is there.
class EventFramer
{
public:
    /// Takes bytes and returns the whole events that are now there.
    std::string feed(std::string_view bytes);

    /// Returns what is left of an event without an end, and forgets it.
    std::string takePartial();

    /// The id of the last whole event; empty if none had one.
    const std::string &lastId() const { return m_lastId; }

    /// Whether any whole event was there.
    bool hasEvents() const { return m_hasEvents; }

private:
    void readId(std::string_view event);

    std::string m_partial;
    std::string m_lastId;
    bool m_hasEvents = false;
};

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_EVENTFRAMER_H
