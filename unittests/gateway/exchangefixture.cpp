#include "exchangefixture.h"

#include <boost/asio/connect.hpp>

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <sstream>
#include <thread>
#include <utility>

namespace gatewaytest {

using boost::asio::ip::tcp;

namespace {

/// Returns a bound socket that does not listen. It keeps its port from other programs, and a
/// connection to it is refused unless another socket listens there.
tcp::socket reservePort(boost::asio::io_context &loop)
{
    tcp::socket it(loop, tcp::v4());
    it.set_option(boost::asio::socket_base::reuse_address(true));
    it.bind({boost::asio::ip::address_v4::loopback(), 0});
    return it;
}

} // namespace

Peer::Peer(tcp::socket socket)
    : m_socket(std::move(socket))
{ }

std::size_t Peer::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size() && m_socket.is_open()) {
        const auto n = ::send(m_socket.native_handle(), bytes.data() + sent, bytes.size() - sent,
                              MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
            hasEnded = true;
        if (n <= 0)
            break;
        sent += static_cast<std::size_t>(n);
    }
    return sent;
}

void Peer::close()
{
    boost::system::error_code ec;
    m_socket.close(ec);
    hasEnded = true;
}

void Peer::reset()
{
    boost::system::error_code ec;
    m_socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
    close();
}

void Peer::readAvailable()
{
    std::array<char, 4096> buf{};
    while (m_socket.is_open() && !hasEnded) {
        const auto n = ::recv(m_socket.native_handle(), buf.data(), buf.size(), MSG_DONTWAIT);
        if (n > 0)
            received.append(buf.data(), static_cast<std::size_t>(n));
        else if (n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK))
            hasEnded = true;
        else
            return;
    }
}

std::string Peer::takeRequest()
{
    const std::size_t headEnd = received.find("\r\n\r\n");
    if (headEnd == std::string::npos)
        return {};
    const std::string head = received.substr(0, headEnd + 2);
    const std::string length = fieldOf(head, "Content-Length");
    const std::size_t end = headEnd + 4 + (length.empty() ? 0 : std::stoul(length));
    if (received.size() < end)
        return {};
    std::string request = received.substr(0, end);
    received.erase(0, end);
    return request;
}

TestServer::TestServer(boost::asio::io_context &loop, std::string name)
    : id(std::move(name))
    , m_loop(loop)
    , m_reserved(reservePort(loop))
    , m_address(m_reserved.local_endpoint())
    , m_acceptor(loop, m_address)
{
    m_acceptor.non_blocking(true);
}

void TestServer::poll()
{
    boost::system::error_code ec;
    while (m_acceptor.is_open() && !ec) {
        tcp::socket socket(m_loop);
        m_acceptor.accept(socket, ec);
        if (!ec)
            connections.push_back(std::make_unique<Peer>(std::move(socket)));
    }
    for (std::size_t n = 0; n < connections.size(); ++n) {
        connections[n]->readAvailable();
        while (!connections[n]->hasEnded) {
            const std::string request = connections[n]->takeRequest();
            if (request.empty())
                break;
            requests.push_back(request);
            answer(*connections[n], request);
        }
    }
}

void TestServer::cut()
{
    isCut = true;
    m_acceptor.close();
    for (const auto &it : connections)
        it->reset();
}

void TestServer::end()
{
    isCut = true;
    m_acceptor.close();
    for (const auto &it : connections)
        it->close();
}

deployment::ListedServer TestServer::listed(const std::string &service, std::uint64_t weights) const
{
    deployment::ListedServer it;
    it.id = id;
    it.service = service;
    it.address = {"127.0.0.1", m_address.port()};
    it.slots = 8;
    if (weights > 0)
        it.weights["m"] = weights;
    return it;
}

settings::Settings platformSettings()
{
    settings::Settings settings;
    settings.platform.emplace();
    return settings;
}

deployment::Dialect testDialect()
{
    deployment::Dialect dialect{};
    dialect.requests.readHead =
        [](const runtime::HeaderFields &fields) -> Result<deployment::CallerHead> {
        deployment::CallerHead head;
        head.requestId = runtime::headerValue(fields, "Id");
        head.model = runtime::headerValue(fields, "Model");
        head.key = runtime::headerValue(fields, "Key");
        const std::string timeout = runtime::headerValue(fields, "Timeout");
        if (!timeout.empty())
            head.timeout = std::chrono::milliseconds(std::stoi(timeout));
        std::istringstream prompt(runtime::headerValue(fields, "Prompt"));
        for (std::string part; std::getline(prompt, part, ',');)
            head.prompt.push_back({part, 100});
        return head;
    };
    dialect.requests.forwardFields = [](const runtime::HeaderFields &fields,
                                        const deployment::ForwardingContext &context) {
        runtime::HeaderFields out{{"Host", "a"},
                                  {"Id", runtime::headerValue(fields, "Id")},
                                  {"Prompt", runtime::headerValue(fields, "Prompt")},
                                  {"Scope", context.cacheScope}};
        if (!context.resumeAfter.empty())
            out.emplace_back("Resume", context.resumeAfter);
        return out;
    };
    dialect.requests.readAnswer = [](int, const runtime::HeaderFields &fields) {
        deployment::AnswerHead head;
        head.requestId = runtime::headerValue(fields, "Id");
        head.isNotRun = !runtime::headerValue(fields, "Not-Run").empty();
        return head;
    };
    dialect.requests.refuse = [](const Error &error) {
        const int status = error.code == ErrorCode::Quarantined ? 400
            : error.outcome == Outcome::NotRun                  ? 503
                                                                : 502;
        return runtime::HttpReply{status, "text/plain", {}, "own answer"};
    };
    return dialect;
}

ExchangeFixture::ExchangeFixture(std::size_t servers)
{
    deployment::Plan plan;
    plan.version = 1;
    const auto addRoute = [&plan](const std::string &name, deployment::RequestKind kind,
                                  const std::string &service) {
        deployment::Route route;
        route.name = name;
        route.host = "a";
        route.pathPrefix = "/" + name + "/";
        route.kind = kind;
        route.services = {{service, 1}};
        route.timeout = std::chrono::seconds(4);
        route.objective = std::chrono::milliseconds(500);
        route.attempts = 2;
        route.resumable = kind == deployment::RequestKind::Streaming;
        plan.routes.push_back(route);
    };
    addRoute("read", deployment::RequestKind::Idempotent, "app");
    addRoute("write", deployment::RequestKind::NonIdempotent, "app");
    addRoute("ask", deployment::RequestKind::Streaming, "lm");
    addRoute("review", deployment::RequestKind::Streaming, "lm");
    plan.routes.back().resumable = false;
    plan.services["app"].name = "app";
    plan.services["lm"].name = "lm";
    plan.services["lm"].engine.emplace();
    gateway.plan = std::make_shared<const PlanInForce>(std::move(plan));
    std::vector<deployment::ListedServer> list;
    for (std::size_t n = 0; n < servers; ++n) {
        const std::string number = std::to_string(n);
        apps.push_back(std::make_unique<TestServer>(gateway.loop, "app" + number));
        engines.push_back(std::make_unique<TestServer>(gateway.loop, "lm" + number));
        list.push_back(apps.back()->listed("app", 0));
        list.push_back(engines.back()->listed("lm", 1));
    }
    applyList(gateway.servers, list, monotonicNow());
}

Peer &ExchangeFixture::connect()
{
    tcp::socket caller(gateway.loop);
    caller.connect(m_listener.local_endpoint());
    connections.push_back(std::make_shared<CallerConnection>(
        gateway, std::make_shared<http::Connection>(m_listener.accept())));
    connections.back()->start(monotonicNow());
    m_callers.push_back(std::make_unique<Peer>(std::move(caller)));
    return *m_callers.back();
}

std::string ExchangeFixture::request(const std::string &route, const std::string &id,
                                     const std::string &fields)
{
    const std::string method = route == "read" ? "GET" : "POST";
    return method + " /" + route + "/x HTTP/1.1\r\nHost: a\r\n"
        + (id.empty() ? "" : "Id: " + id + "\r\n") + (route == "ask" ? "Model: m\r\n" : "") + fields
        + (method == "POST" ? "Content-Length: 0\r\n" : "") + "\r\n";
}

bool ExchangeFixture::runUntil(const std::function<bool()> &condition, Duration maxTime)
{
    const TimePoint end = monotonicNow() + maxTime;
    while (!condition()) {
        if (monotonicNow() > end)
            return false;
        runOnce();
        std::this_thread::sleep_for(std::chrono::microseconds(200));
    }
    return true;
}

void ExchangeFixture::runOnce()
{
    gateway.loop.restart();
    gateway.loop.poll();
    for (const auto &it : apps)
        it->poll();
    for (const auto &it : engines)
        it->poll();
    for (const auto &it : m_callers)
        it->readAvailable();
}

void ExchangeFixture::runFor(Duration time)
{
    runUntil(
        [] {
            return false;
        },
        time);
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t n = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++n;
    return n;
}

std::string wholeAnswer(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string streamHead(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string streamEvent(int n)
{
    return http::chunk("id: " + std::to_string(n) + "\ndata: piece " + std::to_string(n) + "\n\n");
}

std::string fieldOf(const std::string &request, const std::string &name)
{
    const std::size_t found = request.find("\r\n" + name + ": ");
    if (found == std::string::npos)
        return {};
    const std::size_t begin = found + name.size() + 4;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

} // namespace gatewaytest
