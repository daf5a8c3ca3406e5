// A KV cache store for tests: blocks by hash within a limit. See tools/emulator/README.md.

#include "../common/options.h"
#include "../common/server.h"

#include <atomic>
#include <chrono>
#include <thread>
#include <unordered_map>

namespace standins {

namespace {

/// Blocks by hash, as many as fit.
class Store
{
public:
    explicit Store(long capacity)
        : m_capacity(static_cast<std::size_t>(capacity))
    { }

    /// Returns whether there was room.
    bool put(const std::string &block, const std::string &bytes)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_blocks.count(block) == 0 && m_blocks.size() >= m_capacity)
            return false;
        m_blocks[block] = bytes;
        return true;
    }

    bool get(const std::string &block, std::string *bytes) const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto it = m_blocks.find(block);
        if (it == m_blocks.end())
            return false;
        *bytes = it->second;
        return true;
    }

    bool remove(const std::string &block)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_blocks.erase(block) > 0;
    }

    std::size_t size() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_blocks.size();
    }

private:
    mutable std::mutex m_mutex;
    std::size_t m_capacity;
    std::unordered_map<std::string, std::string> m_blocks;
};

/// What the store does wrong, set by POST /debug/faults.
struct StoreFaults
{
    std::atomic<long> delayMs{0};
    std::atomic<long> refuseStatus{0};
};

void handleBlock(Store &store, Request &request, Response &response, const std::string &block)
{
    std::string bytes;
    if (request.getMethod() == "PUT") {
        const bool stored = store.put(block, readBody(request));
        return stored ? sendText(response, 204, {}) : sendError(response, 507, "the store is full");
    }
    if (request.getMethod() == "DELETE")
        return sendText(response, store.remove(block) ? 204 : 404, {});
    if (!store.get(block, &bytes))
        return sendError(response, 404, "no such block");
    if (request.getMethod() == "HEAD")
        bytes.clear();
    sendText(response, 200, bytes);
}

void handle(Store &store, StoreFaults &faults, Request &request, Response &response)
{
    const std::string path = pathOf(request);
    if (path == "/debug/faults") {
        const Json changes = Json::parse(readBody(request));
        faults.delayMs = changes.value("delayMs", faults.delayMs.load());
        faults.refuseStatus = changes.value("refuseStatus", faults.refuseStatus.load());
        return sendJson(response, 200, Json::object());
    }
    if (path == "/healthz")
        return sendJson(response, 200, {{"status", "ok"}, {"blocks", store.size()}});
    std::this_thread::sleep_for(std::chrono::milliseconds(faults.delayMs));
    if (faults.refuseStatus != 0)
        return sendError(response, static_cast<int>(faults.refuseStatus), "refused");
    const std::string prefix = "/blocks/";
    if (path.compare(0, prefix.size(), prefix) == 0)
        return handleBlock(store, request, response, path.substr(prefix.size()));
    sendError(response, 404, "no such path");
}

} // namespace

} // namespace standins

int main(int argc, const char **argv)
{
    std::string listen = "127.0.0.1:0";
    long capacity = 100000;
    standins::readOptions(argc, argv,
                          {{"listen", &listen, "host:port; port 0 takes a free one"},
                           {"blocks", &capacity, "blocks that fit"}});
    standins::Store store(capacity);
    standins::StoreFaults faults;
    return standins::serve(listen, [&](standins::Request &request, standins::Response &response) {
        standins::handle(store, faults, request, response);
    });
}
