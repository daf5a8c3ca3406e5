// One connection of an HTTP server.

#ifndef KUMQUATHAVEN_LIB_RUNTIME_SERVERPEER_H
#define KUMQUATHAVEN_LIB_RUNTIME_SERVERPEER_H

#include "kumquathaven/http/message.h"
#include "servercore.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace kumquathaven::runtime {

/// Reads requests on the loop's thread. While a request is being served, the connection belongs to
/// the thread that serves it, and the loop only shuts it down.
class ServerPeer : public std::enable_shared_from_this<ServerPeer>
{
public:
    ServerPeer(ServerCore &core, boost::asio::ip::tcp::socket socket);
    ServerPeer(const ServerPeer &) = delete;
    ServerPeer &operator=(const ServerPeer &) = delete;
    ~ServerPeer();

    void start(TimePoint now);
    void checkTimeouts(TimePoint now);
    /// Ends the connection because the process needs what it holds.
    void endForRoom();
    /// Closes the connection, or cuts the answer that is being sent.
    void cut();

    /// A thread begins to serve the request.
    void begin(TimePoint now) { m_account.setStage(budget::PeerStage::Served, now); }
    /// The request that is being served.
    const http::Head &head() const { return m_head; }
    std::string takeBody() { return std::move(m_body); }
    std::string address() const;

    /// Sends what the caller takes without a wait; removes it from \p bytes. Returns false if the
    /// caller has gone.
    bool sendSome(std::string &bytes);
    /// Sends everything. Returns false if the caller has gone or takes nothing for too long.
    bool sendAll(std::string bytes);
    bool isGone();
    void shutDown();

    /// Gives the connection back to the loop with the rest of the answer.
    void finishAnswer(std::string rest, bool keepsAlive);

private:
    enum class State { Reading, Served, Writing, Lingering, Closed };

    void waitReadable();
    void waitWritable();
    void readAvailable();
    void parse(std::string_view bytes);
    void handleRequest();
    void refuse(const Error &error, int status = 0);
    Error noRoom() const;
    void refuseState(http::ParseState state);
    void sendContinue();
    void resumeReading(TimePoint now);
    void answerEnded();
    void writeRest();
    void setState(State state);
    void count(TimePoint now);
    void close();

    ServerCore &m_core;
    boost::asio::ip::tcp::socket m_socket;
    std::unique_ptr<http::MessageParser> m_parser;
    http::Head m_head;
    std::string m_body;
    /// Input behind the request that is being served.
    std::string m_rest;
    std::string m_output;
    State m_state = State::Reading;
    bool m_isWaitingToRead = false;
    bool m_hasSentContinue = false;
    bool m_keepsAlive = true;
    /// When the present state began, and when bytes last passed.
    TimePoint m_since{};
    TimePoint m_progressAt{};
    std::string m_address;
    budget::Account m_account;
};

} // namespace kumquathaven::runtime

#endif // KUMQUATHAVEN_LIB_RUNTIME_SERVERPEER_H
