#include "serverexchange.h"

#include <utility>

namespace kumquathaven::runtime {

ServerExchange::ServerExchange(ServerPeer &peer, bool mayKeepAlive)
    : m_peer(peer)
{
    const http::Head &head = peer.head();
    const std::size_t mark = head.target.find('?');
    m_request.method = head.method;
    m_request.path = head.target.substr(0, mark);
    m_request.query = mark == std::string::npos ? "" : head.target.substr(mark + 1);
    m_request.headers = head.fields;
    m_request.body = peer.takeBody();
    m_request.peer = peer.address();
    m_isHeadRequest = head.method == "HEAD";
    m_isVersion11 = head.isVersion11;
    m_keepsAlive = mayKeepAlive && head.keepsAlive;
}

std::string ServerExchange::head(const std::string &contentType, int status,
                                 const HeaderFields &headers, const HeaderFields &framing) const
{
    HeaderFields fields = headers;
    fields.emplace_back("Content-Type", contentType);
    fields.insert(fields.end(), framing.begin(), framing.end());
    fields.emplace_back("Connection", m_keepsAlive ? "Keep-Alive" : "Close");
    return http::answerHead(status, {}, fields);
}

bool ServerExchange::reply(const HttpReply &reply)
{
    // The caller would take a second head for a part of the answer that has started.
    if (m_hasReplied) {
        abandon();
        return false;
    }
    m_hasReplied = true;
    m_unsent = head(reply.contentType, reply.status, reply.headers,
                    {{"Content-Length", std::to_string(reply.body.size())}});
    if (!m_isHeadRequest)
        m_unsent += reply.body;
    m_isGone = !m_peer.sendSome(m_unsent);
    return !m_isGone;
}

bool ServerExchange::startStream(int status, const std::string &contentType,
                                 const HeaderFields &headers)
{
    m_hasReplied = true;
    m_isStream = true;
    HeaderFields framing;
    if (m_isVersion11)
        framing.emplace_back("Transfer-Encoding", "chunked");
    else
        m_keepsAlive = false;
    m_isGone = !m_peer.sendAll(head(contentType, status, headers, framing));
    return !m_isGone;
}

bool ServerExchange::write(const std::string &part)
{
    if (m_isGone || m_isAbandoned)
        return false;
    if (part.empty() || m_isHeadRequest)
        return true;
    m_isGone = !m_peer.sendAll(m_isVersion11 ? http::chunk(part) : part);
    return !m_isGone;
}

bool ServerExchange::callerGone()
{
    return m_isGone || m_peer.isGone();
}

void ServerExchange::abandon()
{
    m_isAbandoned = true;
    m_keepsAlive = false;
    m_unsent.clear();
    m_peer.shutDown();
}

void ServerExchange::finish()
{
    if (m_isGone || m_isAbandoned || !m_hasReplied) {
        m_peer.shutDown();
        m_keepsAlive = false;
        m_unsent.clear();
    } else if (m_isStream && m_isVersion11 && !m_isHeadRequest) {
        m_unsent = http::lastChunk;
        if (!m_peer.sendSome(m_unsent))
            m_keepsAlive = false;
    }
    m_peer.finishAnswer(std::move(m_unsent), m_keepsAlive);
}

} // namespace kumquathaven::runtime
