// Orders and KV cache transfer of the engine stand-in.

#include "engine.h"

#include "kumquathaven/base/time.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>
#include <algorithm>

namespace standins {

using kumquathaven::monotonicNow;
using kumquathaven::toHex;

namespace {

constexpr int storeTimeoutSeconds = 10;
constexpr std::size_t maxOrdersKept = 1000;

/// Sends one request to a store and returns the status, or 0 if it could not be reached.
int callStore(Poco::Net::HTTPClientSession &session, const std::string &method,
              const std::string &path, const std::string &body)
{
    try {
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        Poco::NullOutputStream null;
        Poco::StreamCopier::copyStream(session.receiveResponse(response), null);
        return response.getStatus();
    } catch (const Poco::Exception &) {
        session.reset();
        return 0;
    }
}

Json toJson(const std::vector<std::uint64_t> &blocks)
{
    Json all = Json::array();
    for (const std::uint64_t it : blocks)
        all.push_back(toHex(it));
    return all;
}

} // namespace

std::pair<int, Json> Engine::applyOrder(const Json &body)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    auto answer = decideOrder(body);
    if (m_received.size() < maxOrdersKept)
        m_received.push_back(
            {{"fence", body.at("fence")}, {"order", body.at("order")}, {"status", answer.first}});
    return answer;
}

std::pair<int, Json> Engine::decideOrder(const Json &body)
{
    const std::uint64_t fence = body.at("fence").get<std::uint64_t>();
    const Json &order = body.at("order");
    const std::string id = order.at("id").get<std::string>();
    const std::string kind = order.at("kind").get<std::string>();
    if (m_options.checksFencing && fence < m_highestFence)
        return {409, {{"state", "refused"}, {"reason", "fence"}, {"highestFence", m_highestFence}}};
    m_highestFence = std::max(m_highestFence, fence);
    const auto known = m_orders.find(id);
    if (known != m_orders.end())
        return known->second;
    if (kind == "role") {
        m_role = order.at("role").get<std::string>();
    } else if (kind == "load") {
        if (m_loading)
            return {409, {{"state", "refused"}, {"reason", "loading"}}};
        const std::string version = order.value("version", m_version);
        const auto adapters = order.value("adapters", m_adapters);
        m_loading = true;
        if (m_loader.joinable())
            m_loader.join();
        m_loader = std::thread([this, version, adapters] {
            finishLoad(version, adapters);
        });
    } else {
        return {400, {{"state", "refused"}, {"reason", "kind"}}};
    }
    if (m_orders.size() >= maxOrdersKept)
        m_orders.erase(m_orders.begin());
    return m_orders[id] = {200, {{"state", "accepted"}, {"id", id}, {"fence", fence}}};
}

void Engine::finishLoad(const std::string &version, const std::vector<std::string> &adapters)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(m_options.loadMs));
    const bool fetched = fetchWeights(m_options.model, version);
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_loading = false;
    if (!fetched)
        return;
    ++m_loads;
    m_adapters = adapters;
    if (version == m_version)
        return;
    m_version = version;
    m_model.clearCache(monotonicNow());
    collectEvents();
}

bool Engine::fetchWeights(const std::string &model, const std::string &version) const
{
    if (m_options.weightStore.empty())
        return true;
    Poco::Net::HTTPClientSession session(Poco::Net::SocketAddress(m_options.weightStore));
    session.setTimeout(Poco::Timespan(storeTimeoutSeconds, 0));
    return callStore(session, "GET", "/weights/" + model + "/" + version, {}) == 200;
}

Json Engine::orderState() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    Json ids = Json::array();
    for (const auto &it : m_orders)
        ids.push_back(it.first);
    return {{"highestFence", m_highestFence},
            {"applied", ids},
            {"loading", m_loading},
            {"received", m_received}};
}

Json Engine::exportBlocks(const std::string &store, const std::vector<std::uint64_t> &blocks)
{
    std::vector<std::uint64_t> held;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const std::uint64_t it : blocks) {
            if (m_model.cache().contains(it))
                held.push_back(it);
        }
    }
    Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(store)};
    session.setTimeout(Poco::Timespan(storeTimeoutSeconds, 0));
    std::vector<std::uint64_t> done;
    for (const std::uint64_t it : held) {
        if (callStore(session, "PUT", "/blocks/" + toHex(it), toHex(it)) == 204)
            done.push_back(it);
    }
    return {{"exported", toJson(done)}};
}

Json Engine::importBlocks(const std::string &store, const std::vector<std::uint64_t> &blocks)
{
    Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(store)};
    session.setTimeout(Poco::Timespan(storeTimeoutSeconds, 0));
    std::vector<std::uint64_t> chain;
    for (const std::uint64_t it : blocks) {
        // A block is of no use without those before it.
        if (callStore(session, "GET", "/blocks/" + toHex(it), {}) != 200)
            break;
        chain.push_back(it);
    }
    const double tokens = static_cast<double>(chain.size()) * m_options.config.blockTokens;
    std::this_thread::sleep_for(
        std::chrono::duration<double>(tokens / m_options.importTokensPerSecond));
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_model.addBlocks(chain, monotonicNow());
    collectEvents();
    return {{"imported", toJson(chain)}};
}

} // namespace standins
