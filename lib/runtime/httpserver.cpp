#include "kumquathaven/runtime/httpserver.h"

#include "kumquathaven/telemetry/log.h"
#include "serverexchange.h"

#include <Poco/Exception.h>
#include <Poco/RunnableAdapter.h>
#include <Poco/ThreadPool.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <iterator>
#include <set>
#include <thread>

namespace kumquathaven::runtime {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr int threadStackBytes = 512 * 1024;
constexpr int threadIdleSeconds = 60;
constexpr int listenBacklog = 256;
constexpr int acceptsPerTurn = 32;
constexpr Duration drainPollInterval = std::chrono::milliseconds(20);
constexpr Duration checkInterval = std::chrono::milliseconds(250);
constexpr std::size_t bodiesOfOwnBudget = 4;
constexpr std::size_t minOwnBudget = std::size_t{4} * 1024 * 1024;

/// Calls the handler. An exception of it becomes an error answer, or cuts the answer that began.
void serve(ServerCore &core, ServerPeer &peer)
{
    ServerExchange exchange(peer, !core.isStopping);
    std::string reason;
    try {
        core.handler(exchange);
        exchange.finish();
        return;
    } catch (const std::exception &e) {
        reason = e.what();
    } catch (...) {
        reason = "exception of an unknown type";
    }
    telemetry::logLine(telemetry::LogLevel::Error, "http", "request handler failed",
                       {{"reason", reason}, {"path", exchange.request().path}});
    if (exchange.hasReplied())
        exchange.abandon();
    else
        exchange.reply(errorReply({ErrorCode::Internal,
                                   "http.handle",
                                   {},
                                   "the request failed inside the instance",
                                   Outcome::Unknown,
                                   {}}));
    exchange.finish();
}

} // namespace

bool RequestGate::enter()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_active += m_isClosed ? 0 : 1;
    return !m_isClosed;
}

void RequestGate::leave()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    --m_active;
}

bool RequestGate::closeIfIdle()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_isClosed = m_isClosed || m_active == 0;
    return m_isClosed;
}

void RequestGate::close()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_isClosed = true;
}

std::uint32_t RequestGate::active() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_active;
}

struct HttpServer::Impl
{
    Impl(ServerBounds bounds, HttpHandler handler);

    void listen(const settings::Address &address, error_code &ec);
    void waitForCaller();
    void acceptAll(int most);
    void scheduleCheck();
    bool dispatch(const std::shared_ptr<ServerPeer> &peer);
    bool withdraw(const std::shared_ptr<ServerPeer> &peer);
    void work();
    void cutAll();

    ServerCore core;
    tcp::acceptor acceptor{core.loop};
    boost::asio::steady_timer timer{core.loop};
    /// Used on the loop's thread only.
    std::set<std::shared_ptr<ServerPeer>> peers;
    std::thread loopThread;
    std::unique_ptr<Poco::ThreadPool> threads;
    Poco::RunnableAdapter<Impl> worker{*this, &Impl::work};
    std::mutex mutex;
    std::condition_variable hasWork;
    std::deque<std::shared_ptr<ServerPeer>> waiting;
    std::uint32_t running = 0;
    std::uint32_t idle = 0;
    bool ends = false;
};

HttpServer::Impl::Impl(ServerBounds bounds, HttpHandler handler)
{
    core.bounds = std::move(bounds);
    core.handler = std::move(handler);
    if (!core.bounds.budget)
        core.bounds.budget = std::make_shared<budget::PeerBudget>(
            std::max(minOwnBudget, bodiesOfOwnBudget * std::size_t{core.bounds.maxBodyBytes}));
    core.dispatch = [this](const std::shared_ptr<ServerPeer> &it) {
        return dispatch(it);
    };
    core.withdraw = [this](const std::shared_ptr<ServerPeer> &it) {
        return withdraw(it);
    };
    core.forget = [this](const std::shared_ptr<ServerPeer> &it) {
        // The set may be the one that is walked through just now.
        boost::asio::post(core.loop, [this, it] {
            peers.erase(it);
        });
    };
}

void HttpServer::Impl::listen(const settings::Address &address, error_code &ec)
{
    const auto host = boost::asio::ip::make_address(address.host, ec);
    const tcp::endpoint endpoint(host, address.port);
    if (!ec)
        acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(endpoint, ec);
    if (!ec)
        acceptor.listen(listenBacklog, ec);
    if (!ec)
        acceptor.non_blocking(true, ec);
}

void HttpServer::Impl::waitForCaller()
{
    acceptor.async_wait(tcp::acceptor::wait_read, [this](const error_code &ec) {
        if (ec)
            return;
        acceptAll(acceptsPerTurn);
        waitForCaller();
    });
}

/// Accepts the connections that wait, at most \p most.
void HttpServer::Impl::acceptAll(int most)
{
    for (int n = 0; n < most; ++n) {
        error_code ec;
        tcp::socket socket = acceptor.accept(ec);
        if (ec)
            return;
        if (peers.size() >= core.bounds.maxConnections && !core.bounds.budget->replaceOne(&core))
            continue;
        const auto peer = std::make_shared<ServerPeer>(core, std::move(socket));
        peers.insert(peer);
        peer->start(monotonicNow());
    }
}

void HttpServer::Impl::scheduleCheck()
{
    timer.expires_after(checkInterval);
    timer.async_wait([this](const error_code &ec) {
        if (ec)
            return;
        const TimePoint now = monotonicNow();
        for (const auto &it : peers)
            it->checkTimeouts(now);
        scheduleCheck();
    });
}

bool HttpServer::Impl::dispatch(const std::shared_ptr<ServerPeer> &peer)
{
    const std::lock_guard<std::mutex> lock(mutex);
    if (ends || waiting.size() >= core.bounds.maxQueued)
        return false;
    waiting.push_back(peer);
    if (waiting.size() > idle && running < core.bounds.maxThreads) {
        try {
            threads->start(worker);
            ++running;
        } catch (const Poco::Exception &) {
            // The threads that run take the request in their turn.
            if (running == 0) {
                waiting.pop_back();
                return false;
            }
        }
    }
    hasWork.notify_one();
    return true;
}

bool HttpServer::Impl::withdraw(const std::shared_ptr<ServerPeer> &peer)
{
    const std::lock_guard<std::mutex> lock(mutex);
    const auto found = std::find(waiting.begin(), waiting.end(), peer);
    if (found == waiting.end())
        return false;
    waiting.erase(found);
    return true;
}

void HttpServer::Impl::work()
{
    std::unique_lock<std::mutex> lock(mutex);
    while (true) {
        ++idle;
        hasWork.wait_for(lock, std::chrono::seconds(threadIdleSeconds), [this] {
            return ends || !waiting.empty();
        });
        --idle;
        if (waiting.empty()) {
            --running;
            return;
        }
        const std::shared_ptr<ServerPeer> peer = waiting.front();
        waiting.pop_front();
        lock.unlock();
        peer->begin(monotonicNow());
        serve(core, *peer);
        lock.lock();
    }
}

void HttpServer::Impl::cutAll()
{
    for (const auto &it : peers)
        it->cut();
}

HttpServer::HttpServer(ServerBounds bounds, HttpHandler handler)
    : m_impl(std::make_unique<Impl>(std::move(bounds), std::move(handler)))
{ }

HttpServer::~HttpServer()
{
    stop(Duration(0));
}

Result<void> HttpServer::start(const settings::Address &address)
{
    error_code ec;
    m_impl->listen(address, ec);
    if (ec)
        return fail({ErrorCode::Unavailable,
                     "http.listen",
                     settings::toString(address),
                     ec.message(),
                     Outcome::NotRun,
                     {}});
    m_impl->threads =
        std::make_unique<Poco::ThreadPool>(2, static_cast<int>(m_impl->core.bounds.maxThreads) + 2,
                                           threadIdleSeconds, threadStackBytes);
    m_impl->waitForCaller();
    m_impl->scheduleCheck();
    m_impl->loopThread = std::thread([impl = m_impl.get()] {
        const auto guard = boost::asio::make_work_guard(impl->core.loop);
        impl->core.loop.run();
    });
    return {};
}

void HttpServer::stop(Duration drain)
{
    Impl &impl = *m_impl;
    if (!impl.loopThread.joinable())
        return;
    impl.core.isStopping = true;
    boost::asio::post(impl.core.loop, [&impl] {
        // Connections that wait may have sent a request already.
        impl.acceptAll(listenBacklog);
        error_code ec;
        impl.acceptor.close(ec);
    });
    const TimePoint startedAt = monotonicNow();
    while (!impl.core.gate.closeIfIdle() && monotonicNow() - startedAt < drain / 2)
        std::this_thread::sleep_for(drainPollInterval);
    // The requests accepted last have the second half of the time for their answers.
    impl.core.gate.close();
    while (impl.core.gate.active() > 0 && monotonicNow() - startedAt < drain)
        std::this_thread::sleep_for(drainPollInterval);
    boost::asio::post(impl.core.loop, [&impl] {
        impl.cutAll();
    });
    {
        const std::lock_guard<std::mutex> lock(impl.mutex);
        impl.ends = true;
    }
    impl.hasWork.notify_all();
    impl.threads->joinAll();
    impl.core.loop.stop();
    impl.loopThread.join();
    impl.peers.clear();
    impl.threads.reset();
}

std::uint32_t HttpServer::activeRequests() const
{
    return m_impl->core.gate.active();
}

} // namespace kumquathaven::runtime
