// A weight store for tests: loads take longer when more than a few run at the same time. See
// tools/emulator/README.md.

#include "../common/options.h"
#include "../common/server.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <thread>

namespace standins {

namespace {

/// Loads that run now, and the most that ever ran at the same time.
struct Loads
{
    long loadMs = 200;
    long slots = 3;
    std::atomic<long> running{0};
    std::atomic<long> most{0};
    std::atomic<long> done{0};
};

void load(Loads &loads, Response &response)
{
    const long running = ++loads.running;
    long most = loads.most;
    while (running > most && !loads.most.compare_exchange_weak(most, running))
        ;
    const long over = std::max(0L, running - loads.slots);
    std::this_thread::sleep_for(std::chrono::milliseconds(loads.loadMs * (1 + 3 * over)));
    --loads.running;
    ++loads.done;
    sendText(response, 200, "weights");
}

void handle(Loads &loads, Request &request, Response &response)
{
    const std::string path = pathOf(request);
    const std::string prefix = "/weights/";
    if (path.compare(0, prefix.size(), prefix) == 0)
        return load(loads, response);
    if (path == "/healthz")
        return sendJson(response, 200, {{"status", "ok"}});
    if (path == "/debug/seen")
        return sendJson(response, 200,
                        {{"running", loads.running.load()},
                         {"most", loads.most.load()},
                         {"done", loads.done.load()}});
    sendError(response, 404, "no such path");
}

} // namespace

} // namespace standins

int main(int argc, const char **argv)
{
    std::string listen = "127.0.0.1:0";
    standins::Loads loads;
    standins::readOptions(argc, argv,
                          {{"listen", &listen, "host:port; port 0 takes a free one"},
                           {"load-ms", &loads.loadMs, "milliseconds for one load"},
                           {"slots", &loads.slots, "loads at once that slow nobody"}});
    return standins::serve(listen, [&](standins::Request &request, standins::Response &response) {
        standins::handle(loads, request, response);
    });
}
