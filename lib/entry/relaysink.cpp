#include "relaysink.h"

namespace kumquathaven::entry {

RelaySink::RelaySink(AnswerSink &caller, const std::string &requestId, bool isCompletion)
    : m_caller(caller)
    , m_isCompletion(isCompletion)
{
    m_relay.callerId = requestId;
}

bool RelaySink::begin(const std::string &contentType, const runtime::HeaderFields &headers)
{
    m_attemptBegun = true;
    if (m_callerBegun)
        return !m_isClosed;
    m_callerBegun = true;
    m_callerGone = !m_caller.begin(contentType, headers);
    return !m_callerGone;
}

bool RelaySink::events(const std::string &bytes)
{
    if (!m_isCompletion)
        return !m_isClosed && m_caller.events(bytes);
    const answers::RelayOutput output = answers::feed(m_relay, bytes);
    hand(output.events);
    return !m_callerGone && output.fault == answers::StreamFault::None;
}

bool RelaySink::whole(const runtime::HttpReply &reply)
{
    // A whole answer cannot continue a stream: the engine refused to.
    if (m_callerBegun) {
        m_relay.fault = answers::StreamFault::UpstreamError;
        return false;
    }
    m_attemptBegun = true;
    return m_caller.whole(reply);
}

void RelaySink::nextAttempt(const answers::Recovery &recovery, const std::string &attemptId,
                            const std::string &weightsVersion)
{
    m_attemptBegun = false;
    m_isClosed = !canContinue();
    answers::startAttempt(m_relay, recovery, attemptId, weightsVersion);
}

void RelaySink::hand(const std::vector<std::string> &events)
{
    std::string joined;
    for (const std::string &it : events)
        joined += it;
    if (!joined.empty() && !m_callerGone)
        m_callerGone = !m_caller.events(joined);
}

} // namespace kumquathaven::entry
