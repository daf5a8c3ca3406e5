#include "keyedsink.h"

namespace kumquathaven::entry {

namespace {

// How often a running answer looks at its key.
constexpr Duration checkInterval = std::chrono::milliseconds(200);

bool cutsStreams(const catalogue::Catalogue &catalogue, const std::string &keyName)
{
    const auto found = catalogue.keys.find(keyName);
    return found != catalogue.keys.end() && found->second.withdrawn && found->second.cutsStreams;
}

} // namespace

KeyedSink::KeyedSink(AnswerSink &caller, const catalogue::View &view, const std::string &keyName)
    : m_caller(caller)
    , m_view(view)
    , m_keyName(keyName)
    , m_checkedAt(monotonicNow())
{ }

bool KeyedSink::begin(const std::string &contentType, const runtime::HeaderFields &headers)
{
    return !mustCut() && m_caller.begin(contentType, headers);
}

bool KeyedSink::events(const std::string &bytes)
{
    return !mustCut() && m_caller.events(bytes);
}

bool KeyedSink::whole(const runtime::HttpReply &reply)
{
    return m_caller.whole(reply);
}

bool KeyedSink::gone()
{
    return mustCut() || m_caller.gone();
}

bool KeyedSink::mustCut()
{
    const TimePoint now = monotonicNow();
    if (m_wasCut || m_keyName.empty() || now - m_checkedAt < checkInterval)
        return m_wasCut;
    m_checkedAt = now;
    m_wasCut = cutsStreams(*m_view.current().catalogue, m_keyName);
    return m_wasCut;
}

} // namespace kumquathaven::entry
