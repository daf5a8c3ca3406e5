// An HTTP server with bounded threads, connections, memory and waits. A request takes a thread once
// it was read whole.

#ifndef KUMQUATHAVEN_RUNTIME_HTTPSERVER_H
#define KUMQUATHAVEN_RUNTIME_HTTPSERVER_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/base/time.h"
#include "kumquathaven/budget/peerbudget.h"
#include "kumquathaven/runtime/http.h"
#include "kumquathaven/settings/settings.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace kumquathaven::runtime {

/// One request and the way to answer it. Used by one thread.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    /// The whole request, its body included.
    virtual const HttpRequest &request() const = 0;
    /// Sends a whole answer. Returns false if the caller has gone. If an answer has started
    /// already, cuts that one and returns false.
    virtual bool reply(const HttpReply &reply) = 0;
    /// Begins an answer of unknown length.
    virtual bool startStream(int status, const std::string &contentType,
                             const HeaderFields &headers) = 0;
    /// Sends the next part at once. Returns false if the caller has gone.
    virtual bool write(const std::string &part) = 0;
    /// Returns whether the caller closed its connection.
    virtual bool callerGone() = 0;
    /// Makes the connection close after the answer, which tells the caller that a stream was cut.
    virtual void abandon() = 0;
};

/// Answers one request. An exception it throws is answered as an internal error.
using HttpHandler = std::function<void(HttpExchange &)>;

/// What keeps peers from using up a server.
struct ServerBounds
{
    std::uint32_t maxThreads = 16;
    /// Requests that wait for a thread.
    std::uint32_t maxQueued = 64;
    /// Further connections take the place of those that have waited longest.
    std::uint32_t maxConnections = 256;
    std::uint32_t maxHeaderBytes = 64 * 1024;
    std::uint32_t maxBodyBytes = 8 * 1024 * 1024;
    std::uint32_t maxHeaderFields = 64;
    /// Longest wait for the next byte of a request and between requests of a connection.
    Duration idle = std::chrono::seconds(30);
    /// Longest time from the first byte of a request to its last.
    Duration wholeRequest = std::chrono::seconds(30);
    /// What the process holds for its peers. Empty: this server has a budget of its own, which fits
    /// four whole bodies.
    std::shared_ptr<budget::PeerBudget> budget;
};

/// A listening server. The destructor stops it.
class HttpServer
{
public:
    HttpServer(ServerBounds bounds, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Listens on an address. Fails with Unavailable if the address is taken.
    Result<void> start(const settings::Address &address);

    /// Accepts no more connections, ends the open ones with their next answers, and waits up to \p
    /// drain for the requests that run, then cuts them. Requests that arrive in the second half of
    /// that time, or later, are refused.
    void stop(Duration drain);

    /// Requests that are being answered.
    std::uint32_t activeRequests() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Returns an error in the one JSON shape of all interfaces, with its status and Retry-After.
HttpReply errorReply(const Error &error, const std::string &requestId = {});

} // namespace kumquathaven::runtime

#endif // KUMQUATHAVEN_RUNTIME_HTTPSERVER_H
