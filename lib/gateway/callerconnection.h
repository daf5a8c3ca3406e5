// One connection of a caller: reads requests, one after the other, and writes their answers.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_CALLERCONNECTION_H
#define KUMQUATHAVEN_LIB_GATEWAY_CALLERCONNECTION_H

#include "gateway.h"
#include "kumquathaven/http/connection.h"
#include "kumquathaven/http/message.h"

#include <memory>
#include <string>
#include <string_view>

namespace kumquathaven::gateway {

class Exchange;

/// Used on the loop's thread only.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(Gateway &gateway, std::shared_ptr<http::Connection> connection);
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;
    ~CallerConnection();

    void start(TimePoint now);

    /// Sends a whole answer to the present request.
    void reply(const runtime::HttpReply &reply);

    /// Begins an answer of a server. Its body follows in parts, framed as the head tells.
    void sendHead(const http::Head &head);
    void sendBody(std::string_view bytes);
    /// Ends the answer; the connection goes on to the next request.
    void finish();
    /// Ends an answer that was begun in a way that no caller takes for its end.
    void abort();

    /// Bytes that the caller has not taken yet.
    std::size_t queuedBytes() const { return m_connection->queuedBytes(); }

    /// Closes the connection if it has waited for the caller for too long. Returns whether it is
    /// still open.
    bool checkTimeouts(TimePoint now);

    /// Whether no request is being read or answered.
    bool isIdle() const;
    void close();

private:
    void received(std::string_view bytes);
    void ended();
    void parse();
    void handleRequest();
    void refuseRequest(http::ParseState state);
    void sendContinue();
    runtime::HeaderFields framingFields(std::uint64_t length) const;
    void endAnswer();
    void flush();

    Gateway &m_gateway;
    std::shared_ptr<http::Connection> m_connection;
    std::unique_ptr<http::MessageParser> m_parser;
    std::string m_body;
    /// Bytes that arrived while a request is being answered.
    std::string m_pendingInput;
    /// Parts of an answer that leave together.
    std::string m_pendingOutput;
    std::shared_ptr<Exchange> m_exchange;
    /// Since when the present request is being read, or the connection waits for one.
    TimePoint m_waitingSince{};
    TimePoint m_lastInputAt{};
    bool m_hasSentContinue = false;
    /// About the request that is being answered.
    bool m_keepsAlive = true;
    bool m_isHeadRequest = false;
    bool m_isVersion11 = true;
    bool m_isChunked = false;
    bool m_isClosed = false;
};

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_CALLERCONNECTION_H
