// A request of a server's connection, and the way to answer it.

#ifndef KUMQUATHAVEN_LIB_RUNTIME_SERVEREXCHANGE_H
#define KUMQUATHAVEN_LIB_RUNTIME_SERVEREXCHANGE_H

#include "serverpeer.h"

#include <string>

namespace kumquathaven::runtime {

/// Used by the thread that serves the request.
class ServerExchange : public HttpExchange
{
public:
    ServerExchange(ServerPeer &peer, bool mayKeepAlive);

    const HttpRequest &request() const override { return m_request; }
    bool reply(const HttpReply &reply) override;
    bool startStream(int status, const std::string &contentType,
                     const HeaderFields &headers) override;
    bool write(const std::string &part) override;
    bool callerGone() override;
    void abandon() override;

    /// Whether any byte of an answer was sent.
    bool hasReplied() const { return m_hasReplied; }
    /// Ends the answer and gives the connection back.
    void finish();

private:
    std::string head(const std::string &contentType, int status, const HeaderFields &headers,
                     const HeaderFields &framing) const;

    ServerPeer &m_peer;
    HttpRequest m_request;
    bool m_isHeadRequest = false;
    bool m_isVersion11 = true;
    bool m_keepsAlive = true;
    bool m_hasReplied = false;
    bool m_isStream = false;
    bool m_isAbandoned = false;
    bool m_isGone = false;
    /// The part of the answer that the caller has not taken yet.
    std::string m_unsent;
};

} // namespace kumquathaven::runtime

#endif // KUMQUATHAVEN_LIB_RUNTIME_SERVEREXCHANGE_H
