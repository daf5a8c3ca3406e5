// One connection of a caller. Reads its requests one after the other and writes the answers.

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

    /// Sends a complete answer to the current request. If an answer has started already, ends that
    /// one by abort() instead.
    void reply(const runtime::HttpReply &reply);

    /// Starts to send an answer that comes from a server. The body follows through sendBody(), with
    /// the length or the chunked encoding that the head announces.
    void sendHead(const http::Head &head);
    void sendBody(std::string_view bytes);
    /// Ends the answer. The connection then handles the next request.
    void finish();
    /// Ends a started answer by resetting the connection, so that no caller mistakes the incomplete
    /// answer for a complete one.
    void abort();

    /// Takes note of the bytes of an answer that are kept until it is complete.
    void holdsForAnswer(std::size_t bytes);
    /// Returns the number of bytes that are queued because the caller has not received them yet.
    std::size_t queuedBytes() const { return m_connection->queuedBytes(); }

    /// Closes the connection if it has been idle for too long, and answers a request that did not
    /// arrive in time with an error. Returns whether the connection is still open.
    bool checkTimeouts(TimePoint now);

    /// Ends the connection because the process needs what it holds: refuses a request that has not
    /// arrived whole, and cuts an answer that its caller does not read.
    void endForRoom();

    bool isOpen() const { return m_connection->isOpen(); }

    /// Called shortly before this instance ends. Answers the current request with an error if its
    /// answer is not complete.
    void instanceEnds();

    void close();

private:
    void received(std::string_view bytes);
    void drained();
    void ended();
    void parse();
    void handleRequest();
    void refuseRequest(http::ParseState state);
    void sendContinue();
    runtime::HeaderFields framingFields(std::uint64_t length) const;
    void endAnswer();
    void flush();
    void count();
    void setStage(budget::PeerStage stage);
    void release();

    Gateway &m_gateway;
    std::shared_ptr<http::Connection> m_connection;
    std::unique_ptr<http::MessageParser> m_parser;
    std::string m_body;
    /// Input that was not parsed yet, such as bytes that arrived while a request is being answered.
    std::string m_pendingInput;
    /// Output that is written together with the next part of the answer.
    std::string m_pendingOutput;
    std::shared_ptr<Exchange> m_exchange;
    budget::Account m_account;
    budget::PeerStage m_stage = budget::PeerStage::Waiting;
    /// Bytes that the request that is being answered holds elsewhere.
    std::size_t m_requestBytes = 0;
    std::size_t m_answerBytes = 0;
    /// When reading of the current request started, or when the connection became idle.
    TimePoint m_waitingSince{};
    /// When input of the current request last arrived.
    TimePoint m_lastInputAt{};
    bool m_hasSentContinue = false;
    /// Properties of the request that is being answered.
    bool m_keepsAlive = true;
    bool m_isHeadRequest = false;
    bool m_isVersion11 = true;
    bool m_isChunked = false;
    /// Whether sendHead() was called for the request that is being answered.
    bool m_hasAnswerStarted = false;
    bool m_isClosed = false;
};

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_CALLERCONNECTION_H
