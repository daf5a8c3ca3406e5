#include "kumquathaven/runtime/httpserver.h"

#include "connectionguard.h"
#include "kumquathaven/telemetry/log.h"
#include "pocoexchange.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <mutex>
#include <thread>

namespace kumquathaven::runtime {

namespace {

namespace net = Poco::Net;

constexpr int threadStackBytes = 512 * 1024;
constexpr int listenBacklog = 256;
constexpr Duration drainPollInterval = std::chrono::milliseconds(20);
constexpr Duration stoppedRetryAfter = std::chrono::seconds(1);

Poco::Timespan timespan(Duration d)
{
    return {static_cast<Poco::Timespan::TimeDiff>(d.count())};
}

// Counts the requests that are being answered. No request passes once it is closed, so that a
// server that found none running can end its connections without cutting an answer.
class RequestGate
{
public:
    // Returns whether the request may be answered. If so, leave() must follow.
    bool enter()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_active += m_isClosed ? 0 : 1;
        return !m_isClosed;
    }

    void leave()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        --m_active;
    }

    // Closes the gate if no request is being answered. Returns whether it is closed.
    bool closeIfIdle()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isClosed = m_isClosed || m_active == 0;
        return m_isClosed;
    }

    void close()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isClosed = true;
    }

    std::uint32_t active() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_active;
    }

private:
    mutable std::mutex m_mutex;
    std::uint32_t m_active = 0;
    bool m_isClosed = false;
};

// Everything that the threads of one server share.
struct Shared
{
    ServerBounds bounds;
    HttpHandler handler;
    ConnectionGuard guard;
    RequestGate gate;
    // Set while the server stops: each connection then ends with its next answer.
    std::atomic<bool> isStopping{false};

    Shared(ServerBounds b, HttpHandler h)
        : bounds(b)
        , handler(std::move(h))
        , guard(bounds.wholeRequest)
    { }
};

class Handler : public net::HTTPRequestHandler
{
public:
    explicit Handler(Shared &shared)
        : m_shared(shared)
    { }

    void handleRequest(net::HTTPServerRequest &request, net::HTTPServerResponse &response) override
    {
        if (m_shared.isStopping)
            response.setKeepAlive(false);
        if (m_shared.gate.enter()) {
            answer(static_cast<net::HTTPServerRequestImpl &>(request), response);
            m_shared.gate.leave();
        } else {
            refuse(static_cast<net::HTTPServerRequestImpl &>(request), response);
        }
        waitForNext(static_cast<net::HTTPServerRequestImpl &>(request), response);
    }

private:
    // A connection that ends after its answer must not be held open by the guard.
    void waitForNext(net::HTTPServerRequestImpl &request, const net::HTTPServerResponse &response)
    {
        if (!response.getKeepAlive() || !request.getKeepAlive())
            return;
        try {
            m_shared.guard.waiting(request.socket());
        } catch (const Poco::Exception &) {
            // The caller has closed the connection: there is nothing to guard.
        }
    }

    // Answers a request that arrives when the server has stopped.
    void refuse(net::HTTPServerRequestImpl &request, net::HTTPServerResponse &response)
    {
        PocoExchange exchange(request, response);
        try {
            if (const auto error = exchange.readBody(m_shared.bounds)) {
                exchange.reply(errorReply(*error));
                return;
            }
            exchange.reply(errorReply({ErrorCode::Unavailable,
                                       "http.accept",
                                       {},
                                       "the instance ends",
                                       Outcome::NotRun,
                                       stoppedRetryAfter}));
        } catch (const Poco::Exception &) {
            // The caller has closed the connection.
        }
    }

    void answer(net::HTTPServerRequestImpl &request, net::HTTPServerResponse &response)
    {
        PocoExchange exchange(request, response);
        std::string reason = "unknown exception";
        try {
            if (const auto error = exchange.readBody(m_shared.bounds)) {
                exchange.reply(errorReply(*error));
                return;
            }
            m_shared.handler(exchange);
            return;
        } catch (const std::exception &e) {
            reason = e.what();
        } catch (...) {
            reason = "exception of an unknown type";
        }
        telemetry::logLine(telemetry::LogLevel::Error, "http", "request handler failed",
                           {{"reason", reason}, {"path", exchange.request().path}});
        if (!exchange.hasReplied())
            exchange.reply(errorReply({ErrorCode::Internal,
                                       "http.handle",
                                       {},
                                       "the request failed inside the instance",
                                       Outcome::Unknown,
                                       {}}));
        exchange.abandon();
    }

    Shared &m_shared;
};

class Factory : public net::HTTPRequestHandlerFactory
{
public:
    explicit Factory(Shared &shared)
        : m_shared(shared)
    { }

    net::HTTPRequestHandler *createRequestHandler(const net::HTTPServerRequest &request) override
    {
        m_shared.guard.arrived(request.clientAddress().toString());
        return new Handler(m_shared);
    }

private:
    Shared &m_shared;
};

class AcceptHook : public net::TCPServerConnectionFilter
{
public:
    explicit AcceptHook(Shared &shared)
        : m_shared(shared)
    { }

    bool accept(const net::StreamSocket &socket) override
    {
        try {
            net::StreamSocket copy(socket);
            copy.setNoDelay(true);
            m_shared.guard.waiting(copy);
        } catch (const Poco::Exception &) {
            return false;
        }
        return true;
    }

private:
    Shared &m_shared;
};

} // namespace

struct HttpServer::Impl
{
    Shared shared;
    std::unique_ptr<Poco::ThreadPool> threads;
    std::unique_ptr<net::HTTPServer> server;

    Impl(ServerBounds bounds, HttpHandler handler)
        : shared(bounds, std::move(handler))
    { }
};

HttpServer::HttpServer(ServerBounds bounds, HttpHandler handler)
    : m_impl(std::make_unique<Impl>(bounds, std::move(handler)))
{ }

HttpServer::~HttpServer()
{
    stop(Duration(0));
}

Result<void> HttpServer::start(const settings::Address &address)
{
    const ServerBounds &bounds = m_impl->shared.bounds;
    try {
        const net::SocketAddress local(address.host, address.port);
        net::ServerSocket socket;
        socket.bind(local, true);
        socket.listen(listenBacklog);
        auto params = Poco::AutoPtr<net::HTTPServerParams>(new net::HTTPServerParams);
        params->setMaxThreads(static_cast<int>(bounds.maxThreads));
        params->setMaxQueued(static_cast<int>(bounds.maxQueued));
        params->setTimeout(timespan(bounds.idle));
        params->setKeepAlive(true);
        params->setKeepAliveTimeout(timespan(bounds.idle));
        constexpr int threadIdleSeconds = 60;
        m_impl->threads = std::make_unique<Poco::ThreadPool>(
            2, static_cast<int>(bounds.maxThreads) + 2, threadIdleSeconds, threadStackBytes);
        m_impl->server = std::make_unique<net::HTTPServer>(new Factory(m_impl->shared),
                                                           *m_impl->threads, socket, params);
        m_impl->server->setConnectionFilter(new AcceptHook(m_impl->shared));
        m_impl->server->start();
    } catch (const Poco::Exception &e) {
        return fail({ErrorCode::Unavailable,
                     "http.listen",
                     settings::toString(address),
                     e.displayText(),
                     Outcome::NotRun,
                     {}});
    }
    return {};
}

void HttpServer::stop(Duration drain)
{
    if (!m_impl->server)
        return;
    m_impl->shared.isStopping = true;
    m_impl->server->stop();
    const TimePoint deadline = monotonicNow() + drain;
    while (!m_impl->shared.gate.closeIfIdle() && monotonicNow() < deadline)
        std::this_thread::sleep_for(drainPollInterval);
    m_impl->shared.gate.close();
    m_impl->server->stopAll(true);
    m_impl->threads->joinAll();
    m_impl->server.reset();
}

std::uint32_t HttpServer::activeRequests() const
{
    return m_impl->shared.gate.active();
}

} // namespace kumquathaven::runtime
