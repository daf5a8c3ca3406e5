#include "server.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>
#include <csignal>
#include <iostream>
#include <random>

namespace standins {

namespace {

constexpr int maxThreads = 600;
constexpr int maxQueuedConnections = 1000;
constexpr std::size_t maxBodyBytes = 64UL * 1024 * 1024;
constexpr std::size_t maxSeen = 200;

class CallHandler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit CallHandler(const Handler &handler)
        : m_handler(handler)
    { }

    void handleRequest(Request &request, Response &response) override
    {
        try {
            m_handler(request, response);
        } catch (const Json::exception &e) {
            if (!response.sent())
                sendError(response, 400, e.what());
        } catch (const Poco::Exception &) {
            // The client went away; there is nobody to tell.
            response.setKeepAlive(false);
        }
    }

private:
    const Handler &m_handler;
};

class Factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit Factory(const Handler &handler)
        : m_handler(handler)
    { }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Request &) override
    {
        return new CallHandler(m_handler);
    }

private:
    const Handler &m_handler;
};

Poco::Net::StreamSocket &socketOf(Request &request)
{
    return static_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
}

} // namespace

int serve(const std::string &listen, const Handler &handler)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress(listen),
                                             maxQueuedConnections);
        Poco::ThreadPool threads(2, maxThreads);
        Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
        params->setMaxThreads(maxThreads);
        params->setMaxQueued(maxQueuedConnections);
        params->setKeepAlive(true);
        Poco::Net::HTTPServer server(new Factory(handler), threads, socket, params);
        server.start();
        std::cout << "listening on " << socket.address().toString() << std::endl;
        int received = 0;
        sigwait(&signals, &received);
        // Open streams are cut, as a killed process would cut them.
        std::_Exit(0);
    } catch (const Poco::Exception &e) {
        std::cerr << "cannot listen on " << listen << ": " << e.displayText() << std::endl;
        return 1;
    }
}

std::string readBody(Request &request)
{
    std::string body;
    char buf[16384];
    std::istream &in = request.stream();
    while (in.read(buf, sizeof buf) || in.gcount() > 0) {
        body.append(buf, static_cast<std::size_t>(in.gcount()));
        if (body.size() > maxBodyBytes)
            break;
    }
    return body;
}

std::string queryValue(const Request &request, const std::string &name,
                       const std::string &otherwise)
{
    for (const auto &it : Poco::URI(request.getURI()).getQueryParameters()) {
        if (it.first == name)
            return it.second;
    }
    return otherwise;
}

std::string pathOf(const Request &request)
{
    return Poco::URI(request.getURI()).getPath();
}

void sendText(Response &response, int status, const std::string &body)
{
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
    response.setContentLength64(static_cast<Poco::Int64>(body.size()));
    response.send() << body;
}

void sendJson(Response &response, int status, const Json &body)
{
    response.setContentType("application/json");
    sendText(response, status, body.dump());
}

void sendError(Response &response, int status, const std::string &message)
{
    sendJson(response, status, {{"error", {{"message", message}, {"type", "standin"}}}});
}

bool clientGone(Request &request)
{
    Poco::Net::StreamSocket &socket = socketOf(request);
    if (!socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
        return false;
    char byte = 0;
    try {
        return socket.receiveBytes(&byte, 1, MSG_PEEK) <= 0;
    } catch (const Poco::Exception &) {
        return true;
    }
}

void cutConnection(Request &request)
{
    request.response().setKeepAlive(false);
    try {
        socketOf(request).setLinger(true, 0);
        socketOf(request).shutdown();
    } catch (const Poco::Exception &) {
        // It is gone already.
        return;
    }
}

void writeRaw(Request &request, const std::string &bytes)
{
    socketOf(request).sendBytes(bytes.data(), static_cast<int>(bytes.size()));
}

void Seen::record(const Request &request, const std::string &body)
{
    Json headers = Json::object();
    for (const auto &it : request)
        headers[it.first] = it.second;
    Json fields = Json::array();
    const Json parsed = Json::parse(body, nullptr, false);
    if (parsed.is_object()) {
        for (const auto &it : parsed.items())
            fields.push_back(it.key());
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_last.push_back({{"method", request.getMethod()},
                      {"uri", request.getURI()},
                      {"headers", headers},
                      {"fields", fields}});
    if (m_last.size() > maxSeen)
        m_last.pop_front();
}

Json Seen::toJson() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return Json(m_last);
}

std::uint64_t drawIncarnation()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace standins
