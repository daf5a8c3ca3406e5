// Follows the control state as many entry instances would, and prints what each of them holds.
//
// One JSON line for each new revision, epoch or proof of a subscriber. Times are seconds of the
// monotonic clock, which all processes of a machine share. With keys, every subscriber also asks
// the ledger for each of them in turn, and prints the answer.

#include "kumquathaven/feed/client.h"
#include "kumquathaven/ledger/codec.h"

#include <popt.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace kumquathaven;

namespace {

constexpr Duration pollInterval = std::chrono::milliseconds(2);
constexpr Duration resendInterval = std::chrono::milliseconds(250);

std::atomic<bool> endRequested{false};

void requestEnd(int)
{
    endRequested = true;
}

/// One subscriber with its own links, as an entry instance has.
struct Subscriber
{
    explicit Subscriber(const settings::Settings &settings)
        : hub(hubOptions(settings))
        , client(settings, hub, view, selfOf(settings))
    {
        runner = {settings.instance, 1};
        client.onLedgerAnswer([this](std::uint64_t number, const std::string &answer) {
            const std::lock_guard<std::mutex> lock(mutex);
            if (number == asked)
                answered = answer;
        });
        orElse(
            [&]() -> Result<void> {
                const bool isRelay = settings.feedRelays.children > 0;
                BOOST_LEAF_CHECK(hub.start(isRelay ? std::optional(settings.link) : std::nullopt));
                thread = std::thread([this] {
                    client.run([this] {
                        return ends.load();
                    });
                });
                return {};
            },
            [](const Error &error) {
                std::fprintf(stderr, "%s\n", describe(error).c_str());
                std::exit(1);
            });
    }
    ~Subscriber()
    {
        ends = true;
        thread.join();
        hub.stop();
    }

    static wire::HubOptions hubOptions(const settings::Settings &settings)
    {
        wire::HubOptions options;
        options.name = settings.instance;
        options.secret = settings.linkSecret;
        return options;
    }

    /// Only serving instances relay. They are reached where their callers would be.
    static catalogue::Instance selfOf(const settings::Settings &settings)
    {
        catalogue::Instance self = feed::startingInstance(settings);
        if (settings.feedRelays.children > 0) {
            self.state = catalogue::InstanceState::Serving;
            self.link = self.callers;
        }
        return self;
    }

    void print(int number)
    {
        const catalogue::Snapshot now = view.current();
        const bool isNew = now.catalogue->revision != shown.catalogue->revision
            || now.instances->epoch != shown.instances->epoch || now.provenAt != shown.provenAt;
        if (!isNew)
            return;
        shown = now;
        std::printf("{\"t\":%.6f,\"subscriber\":%d,\"revision\":%llu,\"epoch\":%llu,"
                    "\"provenAt\":%.6f,\"epochSince\":%.6f,\"entries\":%zu}\n",
                    toSeconds(monotonicNow().time_since_epoch()), number,
                    static_cast<unsigned long long>(now.catalogue->revision),
                    static_cast<unsigned long long>(now.instances->epoch),
                    toSeconds(now.provenAt.time_since_epoch()),
                    toSeconds(now.epochSince.time_since_epoch()), now.instances->entries.size());
    }

    /// Asks for the present key until there is an answer, prints it, and goes on to the next. Each
    /// subscriber begins with another key.
    void ask(int number, int keys)
    {
        constexpr int firstKeyStep = 37;
        const std::lock_guard<std::mutex> lock(mutex);
        if (answered) {
            const std::string kind = orElse(
                [&]() -> Result<std::string> {
                    BOOST_LEAF_AUTO(answer, ledger::decodeAnswer(*answered, "ledger"));
                    return std::string(nameOf(ledger::answerKindNames, answer.kind));
                },
                [](const Error &error) {
                    return describe(error);
                });
            std::printf("{\"subscriber\":%d,\"key\":%d,\"answer\":\"%s\"}\n", number,
                        (key + firstKeyStep * number) % keys, kind.c_str());
            answered.reset();
            asked = 0;
            ++key;
        }
        const TimePoint now = monotonicNow();
        if (key >= keys || (asked != 0 && now - sentAt < resendInterval))
            return;
        asked = static_cast<std::uint64_t>(key) + 1;
        sentAt = now;
        const std::string name = "key-" + std::to_string((key + firstKeyStep * number) % keys);
        const ledger::Begin begin{{"customer", name}, "same", runner, asked, 0};
        orElse(
            [&] {
                return client.sendToLedger(asked, ledger::encodeCommand(begin));
            },
            [](const Error &) {
                // Sent again after the interval.
            });
    }

    std::mutex mutex;
    ledger::Runner runner;
    int key = 0;
    std::uint64_t asked = 0;
    std::optional<std::string> answered;
    TimePoint sentAt;
    catalogue::View view;
    catalogue::Snapshot shown;
    wire::Hub hub;
    feed::FeedClient client;
    std::atomic<bool> ends{false};
    std::thread thread;
};

settings::Settings probeSettings(int number, const char *secret, const std::string &links)
{
    settings::Settings settings;
    settings.instance = "probe-" + std::to_string(number);
    settings.failureDomain = "test";
    settings.callers = {"127.0.0.1", static_cast<std::uint16_t>(10000 + number)};
    settings.link = settings.callers;
    settings.linkSecret = secret;
    settings.feedRelays.children = 0;
    settings.members.resize(static_cast<std::size_t>(std::count(links.begin(), links.end(), ','))
                            + 1);
    std::size_t begin = 0;
    for (settings::Member &it : settings.members) {
        const std::size_t end = std::min(links.find(',', begin), links.size());
        it.link = settings::parseAddress(links.substr(begin, end - begin));
        begin = end + 1;
    }
    return settings;
}

/// Returns one port of a comma-separated list; the last one if the list is too short.
std::uint16_t portAt(const std::string &ports, int n)
{
    std::size_t begin = 0;
    for (; n > 0 && ports.find(',', begin) != std::string::npos; --n)
        begin = ports.find(',', begin) + 1;
    return static_cast<std::uint16_t>(std::strtoul(ports.c_str() + begin, nullptr, 10));
}

} // namespace

int main(int argc, const char **argv)
{
    int count = 1;
    int first = 0;
    int keys = 0;
    int direct = 0;
    int children = 0;
    char *ports = nullptr;
    char *announced = nullptr;
    char *links = nullptr;
    char *secret = nullptr;
    const poptOption options[] = {
        {"count", 'n', POPT_ARG_INT, &count, 0, "number of subscribers", "N"},
        {"first", 'f', POPT_ARG_INT, &first, 0, "number of the first subscriber", "N"},
        {"keys", 'k', POPT_ARG_INT, &keys, 0, "number of keys to ask the ledger for", "N"},
        {"direct", 0, POPT_ARG_INT, &direct, 0, "subscribers that control feeds itself", "N"},
        {"children", 0, POPT_ARG_INT, &children, 0, "subscribers that each other one feeds", "N"},
        {"ports", 0, POPT_ARG_STRING, &ports, 0, "ports to relay on, one for each", "LIST"},
        {"announced", 0, POPT_ARG_STRING, &announced, 0,
         "ports where the relays are reached, if others", "LIST"},
        {"control", 'c', POPT_ARG_STRING, &links, 0, "link addresses of the members", "LIST"},
        {"secret", 's', POPT_ARG_STRING, &secret, 0, "the link secret", "TEXT"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("feedprobe", argc, argv, options, 0);
    const int rc = poptGetNextOpt(context);
    poptFreeContext(context);
    if (rc < -1 || !links || !secret) {
        std::fprintf(stderr,
                     "usage: feedprobe --control HOST:PORT,... --secret TEXT [--count N]\n");
        return 2;
    }
    std::signal(SIGTERM, requestEnd);
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    std::vector<std::unique_ptr<Subscriber>> subscribers;
    subscribers.reserve(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n) {
        settings::Settings settings = probeSettings(first + n, secret, links);
        if (ports) {
            settings.feedRelays = {static_cast<std::uint32_t>(direct),
                                   static_cast<std::uint32_t>(children)};
            settings.link.port = portAt(ports, n);
        }
        settings.callers.port = announced ? portAt(announced, n) : settings.link.port;
        subscribers.push_back(std::make_unique<Subscriber>(settings));
    }
    while (!endRequested) {
        for (int n = 0; n < count; ++n) {
            Subscriber &it = *subscribers[static_cast<std::size_t>(n)];
            it.print(n);
            it.ask(n, keys);
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return 0;
}
