#include "kumquathaven/gateway/gatewayrole.h"

#include "exchange.h"
#include "firstplan.h"
#include "gateway.h"
#include "listener.h"
#include "pacing.h"
#include "peermessages.h"
#include "releasewatch.h"
#include "storewatch.h"
#include "weightslog.h"

#include "kumquathaven/base/walltime.h"
#include "kumquathaven/feed/client.h"
#include "kumquathaven/quarantine/messages.h"
#include "kumquathaven/runtime/httpserver.h"
#include "kumquathaven/runtime/processbudget.h"
#include "kumquathaven/runtime/supervisor.h"
#include "kumquathaven/telemetry/log.h"
#include "kumquathaven/wire/hub.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <future>
#include <thread>
#include <utility>

namespace kumquathaven::gateway {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(30);
constexpr Duration sweepInterval = std::chrono::milliseconds(250);
/// Least time between the end of accepting connections and the end of the process. Requests on the
/// connections that were accepted last arrive in that time.
constexpr Duration lingerTime = std::chrono::milliseconds(300);
constexpr Duration leavingPoll = std::chrono::milliseconds(100);
constexpr Duration operatorWait = std::chrono::seconds(2);
constexpr std::uint32_t probeThreads = 4;
constexpr int exitAfterFailure = 1;

runtime::ServerBounds probeBounds(const Gateway &gateway, std::uint32_t threads)
{
    runtime::ServerBounds bounds;
    bounds.maxThreads = threads;
    bounds.maxConnections = runtime::operatorConnections(gateway.settings);
    bounds.budget = gateway.budget;
    return bounds;
}

wire::HubOptions hubOptions(const settings::Settings &settings, std::uint64_t incarnation)
{
    wire::HubOptions options;
    options.name = settings.instance;
    options.secret = settings.linkSecret;
    options.maxAcceptedBytes = runtime::acceptedLinkBytes(settings);
    options.maxHandshakes = runtime::linkHandshakes(settings);
    options.seed = incarnation;
    return options;
}

std::uint32_t servingInstances(const catalogue::Instances &instances)
{
    const auto n =
        std::count_if(instances.entries.begin(), instances.entries.end(), [](const auto &it) {
            return it.second.state == catalogue::InstanceState::Serving;
        });
    return static_cast<std::uint32_t>(std::max<std::ptrdiff_t>(1, n));
}

} // namespace

struct GatewayRole::Impl
{
    Impl(const settings::Settings &s, const deployment::Dialect &dialect,
         const runtime::StopRequest &stopRequest);
    ~Impl();

    Result<void> start();
    void drainAndStop();
    void runLoop(const runtime::StopSignal &stop);
    void scheduleTick();
    void tick();
    void applyView(TimePoint now);
    void reportRollout(const feed::RolloutReport &report);
    void updateGauges(TimePoint now);
    void announce(catalogue::InstanceState state);
    void answerProbe(runtime::HttpExchange &exchange);
    void answerQuarantine(runtime::HttpExchange &exchange);
    void continueLeaving();
    void endLoop();

    const settings::Settings settings;
    telemetry::Metrics metrics;
    catalogue::View view;
    catalogue::Instance self;
    wire::Hub hub;
    feed::FeedClient feed;
    TokenLimits limits;
    Gateway gateway;
    PeerMessages peers;
    ReleaseWatch releases;
    StoreWatches stores;
    Listener listener;
    runtime::HttpServer probes;
    /// Serves the metrics at a separate address if the settings name one.
    runtime::HttpServer metricsServer;
    boost::asio::steady_timer timer;
    catalogue::Snapshot lastSnapshot;
    FirstPlan firstPlan;
    TimePoint nextSweep{};
    /// When the entry stopped to accept connections and requests.
    TimePoint stoppedAcceptingAt{};
    std::atomic<bool> isReady{false};
    std::atomic<bool> isDraining{false};
    std::atomic<bool> hasEnded{false};
    std::atomic<std::uint32_t> running{0};
    runtime::Supervisor duties;
    runtime::StopSignal stopSignal;
    std::thread thread;
};

GatewayRole::Impl::Impl(const settings::Settings &s, const deployment::Dialect &dialect,
                        const runtime::StopRequest &stopRequest)
    : settings(s)
    , self(feed::startingInstance(settings))
    , hub(hubOptions(settings, self.incarnation))
    , feed(settings, hub, view, self)
    , limits(settings.platform->limitSlackTokens)
    , gateway(settings, dialect, metrics, limits)
    , peers(self, gateway, hub)
    , releases(gateway,
               [this](const feed::RolloutReport &it) {
                   reportRollout(it);
               })
    , stores(gateway)
    , listener(gateway)
    , probes(probeBounds(gateway, probeThreads),
             [this](runtime::HttpExchange &it) {
                 answerProbe(it);
             })
    , metricsServer(probeBounds(gateway, 1),
                    [this](runtime::HttpExchange &it) {
                        answerProbe(it);
                    })
    , timer(gateway.loop)
    , duties("gateway", runtime::RestartPolicy{0})
{
    gateway.stopRequest = &stopRequest;
    wire::ChannelHandlers handlers;
    handlers.opened = [this](const wire::Peer &peer) {
        boost::asio::post(gateway.loop, [this, peer] {
            peers.opened(peer);
        });
    };
    handlers.closed = [this](const wire::Peer &peer) {
        boost::asio::post(gateway.loop, [this, peer] {
            peers.closed(peer, monotonicNow());
        });
    };
    handlers.received = [this](const wire::Peer &peer, const wire::Frame &frame) {
        boost::asio::post(gateway.loop, [this, peer, it = frame] {
            peers.received(peer, it, monotonicNow());
        });
    };
    hub.handle(wire::Channel::Slices, std::move(handlers));
    duties.add("loop", [this](const runtime::StopSignal &stop) {
        runLoop(stop);
    });
    duties.add("feed", [this](const runtime::StopSignal &stop) {
        feed.run([&stop] {
            return stop.requested();
        });
    });
}

GatewayRole::Impl::~Impl()
{
    stopSignal.request();
    gateway.loop.stop();
    if (thread.joinable())
        thread.join();
    probes.stop(Duration(0));
    metricsServer.stop(Duration(0));
    hub.stop();
}

Result<void> GatewayRole::Impl::start()
{
    BOOST_LEAF_CHECK(hub.start(settings.link));
    BOOST_LEAF_CHECK(listener.start(settings.callers));
    thread = std::thread([this] {
        try {
            duties.run(stopSignal);
        } catch (const std::exception &e) {
            telemetry::logLine(telemetry::LogLevel::Error, "gateway", "ends after a failure",
                               {{"reason", e.what()}});
            std::_Exit(exitAfterFailure);
        }
    });
    BOOST_LEAF_CHECK(probes.start(settings.operators));
    if (settings.metrics.port != 0)
        BOOST_LEAF_CHECK(metricsServer.start(settings.metrics));
    announce(catalogue::InstanceState::Serving);
    telemetry::logLine(telemetry::LogLevel::Info, "gateway", "serving",
                       {{"callers", settings::toString(settings.callers)},
                        {"incarnation", std::to_string(self.incarnation)}});
    return {};
}

void GatewayRole::Impl::runLoop(const runtime::StopSignal &stop)
{
    if (stop.requested())
        return;
    const auto guard = boost::asio::make_work_guard(gateway.loop);
    scheduleTick();
    gateway.loop.run();
}

void GatewayRole::Impl::scheduleTick()
{
    timer.expires_after(tickInterval);
    timer.async_wait([this](const boost::system::error_code &ec) {
        if (ec)
            return;
        tick();
        scheduleTick();
    });
}

void GatewayRole::Impl::tick()
{
    const TimePoint now = monotonicNow();
    applyView(now);
    endConvicted(gateway, gateway.quarantine.judge(now));
    peers.tick(now);
    releases.tick({peers.isRoot(), peers.connectedInstances()}, now);
    stores.tick(now);
    running = gateway.running;
    isReady = gateway.plan != nullptr && gateway.servers.listReadAt != TimePoint{} && !isDraining;
    if (now < nextSweep)
        return;
    nextSweep = now + sweepInterval;
    listener.checkTimeouts(now);
    gateway.pool.sweep(startsOf(gateway.servers), now);
    updateGauges(now);
}

/// Sends control what all entries counted. While nothing is connected the entries' own brake holds,
/// and the next report tells the same.
void GatewayRole::Impl::reportRollout(const feed::RolloutReport &report)
{
    orElse(
        [&] {
            return feed.report(report);
        },
        [this](const Error &error) {
            metrics
                .counter("kumquathaven_rollout_reports_unsent_total",
                         "reports about rollouts that could not be sent to control",
                         {{"reason", std::string(errorCodeName(error.code))}})
                .add();
        });
}

/// Updates the gauges of the known state.
void GatewayRole::Impl::updateGauges(TimePoint now)
{
    StateGauges &gauges = gateway.gauges;
    gauges.configuration.set(gateway.plan ? static_cast<double>(gateway.plan->plan.version) : 0.0);
    gauges.controlAge.set(toSeconds(now - lastSnapshot.provenAt));
    gauges.listAge.set(toSeconds(now - gateway.servers.listReadAt));
    gauges.serversKnown.set(static_cast<double>(gateway.servers.known.size()));
    gauges.serversEjected.set(static_cast<double>(ejectedCount(gateway.servers)));
    gauges.serversPaced.set(static_cast<double>(pacedCount(gateway.servers)));
    gauges.heldBack.set(static_cast<double>(gateway.servers.heldBack));
    gauges.requestsRunning.set(gateway.running);
    for (const FullPace &it : std::exchange(gateway.servers.fullPaces, {}))
        telemetry::logLine(telemetry::LogLevel::Info, "gateway", "server takes its full pace",
                           {{"server", it.start},
                            {"seconds", std::to_string(toSeconds(it.took))},
                            {"doublings", std::to_string(it.doublings)},
                            {"setbacks", std::to_string(it.setbacks)}});
    runtime::reportBudget(*gateway.budget, gateway.metrics);
    gauges.logLinesDropped.set(static_cast<double>(telemetry::droppedLogLines()));
}

/// Applies the changes that control has sent since the last call.
void GatewayRole::Impl::applyView(TimePoint now)
{
    const catalogue::Snapshot snapshot = view.current();
    const bool hasChanged = snapshot.catalogue != lastSnapshot.catalogue
        || snapshot.instances != lastSnapshot.instances
        || snapshot.weightsTimes != lastSnapshot.weightsTimes
        || snapshot.provenAt != lastSnapshot.provenAt;
    const bool waitsForFirst = !gateway.plan && snapshot.catalogue->declaration.text;
    if (!hasChanged && !waitsForFirst)
        return;
    const bool isNewCatalogue = snapshot.catalogue != lastSnapshot.catalogue;
    const std::uint64_t version = snapshot.catalogue->declaration.version;
    const bool isProven = snapshot.provenAt != TimePoint{};
    const bool isNewPlan = waitsForFirst
        ? mayAdoptFirst(firstPlan, version, isProven, settings.platform->inForceTime, now)
        : gateway.plan && gateway.plan->plan.version < version;
    if (snapshot.instances != lastSnapshot.instances) {
        gateway.retryRules.instances = static_cast<std::uint32_t>(
            std::max<std::size_t>(1, snapshot.instances->entries.size()));
        gateway.servers.fleet.entries = gateway.retryRules.instances;
        gateway.servers.releases.instances = servingInstances(*snapshot.instances);
        peers.updateInstances(*snapshot.instances, now);
        std::vector<std::string> names;
        for (const auto &it : snapshot.instances->entries)
            names.push_back(it.first);
        gateway.quarantine.setInstances(settings.instance, std::move(names));
    }
    lastSnapshot = snapshot;
    if (snapshot.weightsTimes != gateway.servers.weightsTimes) {
        logWeights(*gateway.servers.weightsTimes, *snapshot.weightsTimes, now);
        gateway.servers.weightsTimes = snapshot.weightsTimes;
    }
    if (isNewCatalogue) {
        applyCatalogue(gateway.servers, snapshot.catalogue);
        releases.rolloutsChanged(applyReleases(gateway.servers, wallMilliseconds(), now));
    }
    if (isNewPlan) {
        orElse(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(
                    plan, gateway.dialect.control.readPlan(*snapshot.catalogue->declaration.text));
                gateway.plan = std::make_shared<const PlanInForce>(std::move(plan));
                telemetry::logLine(telemetry::LogLevel::Info, "gateway", "declaration in force",
                                   {{"version", std::to_string(version)},
                                    {"confirmed", isProven ? "yes" : "no"},
                                    {"routes", std::to_string(gateway.plan->plan.routes.size())}});
                return {};
            },
            [](const Error &error) {
                // Control has validated the declaration, so that this is a fault of this process.
                telemetry::logLine(telemetry::LogLevel::Error, "gateway",
                                   "cannot parse a declaration that control accepted",
                                   {{"reason", describe(error)}});
            });
    }
}

void GatewayRole::Impl::announce(catalogue::InstanceState state)
{
    self.state = state;
    self.since = wallMilliseconds();
    feed.announce(self);
}

void GatewayRole::Impl::answerProbe(runtime::HttpExchange &exchange)
{
    const std::string &path = exchange.request().path;
    if (path == gateway.dialect.requests.readinessPath) {
        exchange.reply(
            {isReady ? 200 : 503, "text/plain", {}, isReady ? "ready\n" : "not ready\n"});
    } else if (path == "/metrics") {
        exchange.reply({200, "text/plain; version=0.0.4", {}, metrics.exposition()});
    } else if (path == "/v1/quarantine") {
        answerQuarantine(exchange);
    } else if (path == "/healthz") {
        exchange.reply({200, "text/plain", {}, "ok\n"});
    } else {
        exchange.reply({404, "text/plain", {}, "no such path\n"});
    }
}

/// Tells an operator which requests and parts of prompts are refused, or lifts a verdict.
void GatewayRole::Impl::answerQuarantine(runtime::HttpExchange &exchange)
{
    const runtime::HttpRequest &request = exchange.request();
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    const std::string part = body.is_object() ? body.value("lift", std::string()) : std::string();
    const bool isLift = request.method == "POST";
    // The table belongs to the loop's thread.
    const auto result = std::make_shared<std::promise<std::string>>();
    boost::asio::post(gateway.loop, [this, result, part, isLift] {
        const TimePoint now = monotonicNow();
        if (isLift)
            result->set_value(gateway.quarantine.lift(part, now) ? "{\"lifted\":true}" : "");
        else
            result->set_value(quarantine::describeEvidence(gateway.quarantine.evidence(), now));
    });
    std::future<std::string> text = result->get_future();
    if (text.wait_for(operatorWait) != std::future_status::ready) {
        exchange.reply({503, "text/plain", {}, "the event loop does not answer\n"});
        return;
    }
    const std::string answer = text.get();
    exchange.reply({answer.empty() ? 404 : 200,
                    "application/json",
                    {},
                    answer.empty() ? "{\"lifted\":false}" : answer});
}

/// Takes the next step of leaving. Called on the loop, since a request may be accepted at any
/// moment before.
void GatewayRole::Impl::continueLeaving()
{
    const TimePoint now = monotonicNow();
    noticeStop(gateway);
    if (now < gateway.leaving->acceptsUntil || hasEnded)
        return;
    // New callers turn to another entry; connected callers are asked to close their connections.
    if (stoppedAcceptingAt == TimePoint{}) {
        listener.stopAccepting();
        stoppedAcceptingAt = now;
    }
    if (now >= gateway.leaving->answersUntil)
        listener.instanceEnds();
    running = gateway.running;
    const bool isDone = now - stoppedAcceptingAt >= lingerTime && gateway.running == 0
        && !listener.hasQueuedOutput();
    if (isDone || now >= gateway.leaving->endsAt)
        endLoop();
}

void GatewayRole::Impl::endLoop()
{
    stopSignal.request();
    listener.stop();
    gateway.loop.stop();
    hasEnded = true;
}

void GatewayRole::Impl::drainAndStop()
{
    isDraining = true;
    isReady = false;
    boost::asio::post(gateway.loop, [this] {
        noticeStop(gateway);
    });
    announce(catalogue::InstanceState::Leaving);
    telemetry::logLine(telemetry::LogLevel::Info, "gateway", "leaving",
                       {{"running", std::to_string(running.load())}});
    while (!hasEnded) {
        std::this_thread::sleep_for(leavingPoll);
        boost::asio::post(gateway.loop, [this] {
            continueLeaving();
        });
    }
    telemetry::logLine(telemetry::LogLevel::Info, "gateway", "stopped",
                       {{"running", std::to_string(running.load())}});
    if (thread.joinable())
        thread.join();
    probes.stop(Duration(0));
    metricsServer.stop(Duration(0));
    hub.stop();
}

GatewayRole::GatewayRole(const settings::Settings &settings, const deployment::Dialect &dialect,
                         const runtime::StopRequest &stopRequest)
    : m_impl(std::make_unique<Impl>(settings, dialect, stopRequest))
{ }

GatewayRole::~GatewayRole() = default;

Result<void> GatewayRole::start()
{
    return m_impl->start();
}

void GatewayRole::drainAndStop()
{
    m_impl->drainAndStop();
}

} // namespace kumquathaven::gateway
