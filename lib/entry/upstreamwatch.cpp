#include "upstreamwatch.h"

#include "kumquathaven/base/hex.h"
#include "kumquathaven/runtime/httpclient.h"
#include "router.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>

namespace kumquathaven::entry {

namespace {

using nlohmann::json;

constexpr Duration roundLength = std::chrono::milliseconds(50);
constexpr Duration reportInterval = std::chrono::milliseconds(200);
constexpr Duration retryInterval = std::chrono::milliseconds(500);
constexpr Duration connectTimeout = std::chrono::milliseconds(250);
constexpr Duration silenceTimeout = std::chrono::milliseconds(500);
constexpr Duration readWait = std::chrono::milliseconds(1);
constexpr std::size_t maxReportBytes = std::size_t(64) * 1024;
constexpr std::size_t maxPendingBytes = std::size_t(1024) * 1024;
/// Parts of an event stream that one round reads, so that one engine cannot hold up the others.
constexpr int maxPartsPerRound = 64;
constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view dataField = "data: ";

/// What is open towards one engine.
struct Watch
{
    std::string name;
    settings::Address address;
    std::unique_ptr<runtime::HttpCall> events;
    std::string pending;
    /// The incarnation that the open stream belongs to; zero before its first event.
    std::uint64_t streaming = 0;
    std::uint64_t after = 0;
    TimePoint nextReport{};
    TimePoint nextConnect{};
};

/// Returns a JSON object from an engine, or a null value.
json get(const Watch &watch, const std::string &path)
{
    const runtime::CallTimeouts timeouts{connectTimeout, silenceTimeout};
    return orElse(
        [&]() -> Result<json> {
            BOOST_LEAF_AUTO(
                reply,
                runtime::fetch(watch.address, "GET", path, {}, {}, timeouts, maxReportBytes));
            json value = json::parse(reply.body, nullptr, false);
            return value.is_object() && reply.status == 200 ? value : json();
        },
        [](const Error &) {
            return json();
        });
}

void readReport(Router &router, Watch &watch, TimePoint now)
{
    const json load = get(watch, "/load");
    const json health = load.is_null() ? json() : get(watch, "/healthz");
    const TimePoint receivedAt = monotonicNow();
    watch.nextReport = now + (health.is_null() ? retryInterval : reportInterval);
    if (health.is_null())
        return;
    routing::LoadReport report;
    report.incarnation = fromHex(load.value("incarnation", std::string()));
    report.measuredAt = receivedAt - std::chrono::milliseconds(load.value("ageMs", 0));
    report.running = load.value("running", 0U);
    report.waiting = load.value("waiting", 0U);
    if (load.contains("waitingTokens"))
        report.waitingTokens = load.value("waitingTokens", std::uint64_t(0));
    router.with(watch.name, [&](routing::Fleet &fleet, routing::Slot slot) {
        applyLoad(fleet, slot, report, receivedAt);
        routing::UpstreamView &view = fleet.upstreams[slot];
        view.loading = health.value("status", std::string()) == "loading";
        view.weightsVersion = health.value("version", view.weightsVersion);
        view.blockTokens = health.value("blockTokens", view.blockTokens);
    });
}

void loseStream(Router &router, Watch &watch, TimePoint now)
{
    watch.events.reset();
    watch.pending.clear();
    watch.streaming = 0;
    watch.nextConnect = now + retryInterval;
    router.with(watch.name, [&](routing::Fleet &fleet, routing::Slot slot) {
        recordStreamLost(fleet, slot, now);
    });
}

void openStream(Router &router, Watch &watch, TimePoint now)
{
    watch.after = 0;
    router.with(watch.name, [&](routing::Fleet &fleet, routing::Slot slot) {
        watch.after = fleet.upstreams[slot].nextSequence - 1;
    });
    const runtime::CallTimeouts timeouts{connectTimeout, silenceTimeout};
    watch.events = std::make_unique<runtime::HttpCall>(watch.address, timeouts);
    const bool isOpen = orElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(watch.events->connect());
            const std::string path = "/events?after=" + std::to_string(watch.after);
            BOOST_LEAF_CHECK(watch.events->send("GET", path, {}, {}));
            BOOST_LEAF_AUTO(isReady, watch.events->waitForHead(silenceTimeout));
            if (!isReady)
                return false;
            BOOST_LEAF_CHECK(watch.events->readHead());
            return watch.events->status() == 200;
        },
        [](const Error &) {
            return false;
        });
    if (!isOpen)
        loseStream(router, watch, now);
}

/// Takes one event. Returns false if the stream must be opened again.
bool takeEvent(Router &router, Watch &watch, const json &event, TimePoint now)
{
    const std::string incarnation = event.value("incarnation", std::string());
    if (!incarnation.empty()) {
        watch.streaming = fromHex(incarnation);
        router.with(watch.name, [&](routing::Fleet &fleet, routing::Slot slot) {
            recordStreamOpened(fleet, slot, watch.streaming, now);
        });
        // An engine that the router does not know yet is heard once it does: a stream that is open
        // without its knowledge would count as lost for good.
        bool startsAtOurPlace = false;
        router.with(watch.name, [&](routing::Fleet &fleet, routing::Slot slot) {
            startsAtOurPlace = fleet.upstreams[slot].nextSequence == watch.after + 1;
        });
        // The sequence numbers that were asked for belong to an earlier incarnation.
        return startsAtOurPlace;
    }
    if (watch.streaming == 0 || !event.contains("sequence") || !event.contains("blocks"))
        return false;
    routing::CacheEvent change;
    change.incarnation = watch.streaming;
    change.sequence = event.value("sequence", std::uint64_t(0));
    change.stored = event.value("type", std::string()) == "stored";
    for (const json &it : event["blocks"])
        change.blocks.push_back(routing::BlockHash(fromHex(it.get<std::string>())));
    router.with(watch.name, [&](routing::Fleet &fleet, routing::Slot slot) {
        applyEvent(fleet, slot, change, now);
    });
    return true;
}

/// Takes every whole event that has arrived. Returns false if the stream must be opened again.
bool takePending(Router &router, Watch &watch, TimePoint now)
{
    std::size_t end = 0;
    while ((end = watch.pending.find(eventEnd)) != std::string::npos) {
        const std::string event = watch.pending.substr(0, end);
        watch.pending.erase(0, end + eventEnd.size());
        const std::size_t data = event.rfind(dataField);
        if (data == std::string::npos)
            continue;
        const json value = json::parse(event.substr(data + dataField.size()), nullptr, false);
        if (!value.is_object() || !takeEvent(router, watch, value, now))
            return false;
    }
    return watch.pending.size() <= maxPendingBytes;
}

void readEvents(Router &router, Watch &watch, TimePoint now)
{
    for (int n = 0; n < maxPartsPerRound; ++n) {
        const runtime::ReadPart part = orElse(
            [&] {
                return watch.events->read(readWait);
            },
            [](const Error &) {
                return runtime::ReadPart{runtime::ReadState::End, {}};
            });
        if (part.state == runtime::ReadState::Timeout)
            return;
        watch.pending += part.data;
        bool isGood = part.state == runtime::ReadState::Data;
        try {
            isGood = isGood && takePending(router, watch, now);
        } catch (const json::exception &) {
            isGood = false;
        }
        if (isGood)
            continue;
        loseStream(router, watch, now);
        return;
    }
}

/// Brings the watches in line with the engines of the catalogue.
void follow(std::map<std::string, Watch> &watches, const catalogue::Catalogue &catalogue,
            WatchShare share)
{
    std::map<std::string, Watch> kept;
    std::size_t n = 0;
    for (const auto &[name, upstream] : catalogue.upstreams) {
        if (upstream.kind != catalogue::UpstreamKind::Engine || n++ % share.of != share.rest)
            continue;
        const auto known = watches.find(name);
        const bool same =
            known != watches.end() && settings::toString(known->second.address) == upstream.address;
        Watch watch;
        if (same)
            watch = std::move(known->second);
        watch.name = name;
        watch.address = settings::parseAddress(upstream.address);
        kept.emplace(name, std::move(watch));
    }
    watches = std::move(kept);
}

void serve(Router &router, Watch &watch)
{
    const TimePoint now = monotonicNow();
    try {
        if (now >= watch.nextReport)
            readReport(router, watch, now);
    } catch (const json::exception &) {
        // A report of another shape says nothing; the next one may.
        watch.nextReport = now + retryInterval;
    }
    if (!watch.events && now >= watch.nextConnect)
        openStream(router, watch, now);
    if (watch.events)
        readEvents(router, watch, now);
}

} // namespace

void watchUpstreams(Router &router, const catalogue::View &view, WatchShare share,
                    const runtime::StopSignal &stop)
{
    std::map<std::string, Watch> watches;
    while (!stop.waitFor(roundLength)) {
        follow(watches, *view.current().catalogue, share);
        if (share.rest == 0)
            router.review();
        for (auto &it : watches) {
            if (stop.requested())
                return;
            serve(router, it.second);
        }
    }
}

} // namespace kumquathaven::entry
