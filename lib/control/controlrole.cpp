#include "kumquathaven/control/controlrole.h"

#include "cataloguemachine.h"
#include "declarations.h"
#include "feedduty.h"
#include "ledgerduty.h"
#include "ledgerrelay.h"
#include "logduty.h"
#include "membermessages.h"
#include "operators.h"
#include "orderduty.h"
#include "platformwatch.h"
#include "rolloutduty.h"
#include "serverlist.h"
#include "weightsduty.h"

#include "kumquathaven/ledger/machine.h"
#include "kumquathaven/runtime/httpserver.h"
#include "kumquathaven/runtime/processbudget.h"
#include "kumquathaven/runtime/supervisor.h"
#include "kumquathaven/telemetry/log.h"
#include "kumquathaven/telemetry/metrics.h"
#include "kumquathaven/wire/hub.h"

#include <cstdlib>
#include <mutex>
#include <random>
#include <thread>

namespace kumquathaven::control {

namespace {

constexpr Duration operatorsDrain = std::chrono::seconds(1);
constexpr std::uint32_t operatorThreads = 16;

/// Heartbeat interval and election timeout on a platform. They are short because the round trip
/// between members is about a millisecond, and because after all members were stopped at once
/// everything waits for the election of a leader.
constexpr Duration platformHeartbeat = std::chrono::milliseconds(150);
constexpr Duration platformElectionTimeout = std::chrono::milliseconds(600);

/// Time for which a member that is told to stop goes on, so that the leader hears of it and removes
/// it: a heartbeat, a step of the leader's duty and a commit, each with room for a slow disk.
constexpr Duration leaveTime = 4 * platformHeartbeat;

constexpr int exitAfterFailure = 1;
constexpr runtime::RestartPolicy endOnFirstFailure{0};

std::uint64_t randomIdentity()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device() | 1U;
}

/// Configures a log group for a platform, on which no settings list the members: the first seed
/// bootstraps the group at the platform's first start, and every instance that asks to join becomes
/// a member.
void setAutomaticMembership(LogDutySettings &log, const settings::Settings &settings)
{
    const settings::Platform &platform = *settings.platform;
    for (const settings::Address &it : platform.seeds)
        log.group.instances.push_back(settings::toString(settings::linkOfSeed(settings, it)));
    log.mayBootstrap = platform.isFirstStart && log.group.instances.front() == settings.instance;
    log.group.replica.hasAutomaticMembership = true;
    log.group.replica.heartbeat = platformHeartbeat;
    log.group.replica.electionTimeout = platformElectionTimeout;
    log.automaticMembership = consensus::automaticMembership(
        platform.lossesTolerated, platform.catchUpTime, log.group.replica);
}

wire::HubOptions hubOptions(const settings::Settings &settings)
{
    wire::HubOptions options;
    options.name = settings.instance;
    options.secret = settings.linkSecret;
    options.maxAcceptedBytes = runtime::acceptedLinkBytes(settings);
    options.maxHandshakes = runtime::linkHandshakes(settings);
    return options;
}

} // namespace

struct ControlRole::Impl
{
    Impl(const settings::Settings &s, const deployment::Dialect *d);

    LogDutySettings logSettings(std::uint32_t group) const;
    LogLinks logLinks(std::uint32_t group);
    wire::LinkId linkTo(const std::string &instance);
    bool isMember(const std::string &instance);
    void sendToMember(const std::string &instance, const MemberMessage &message);
    void receiveFromMember(const wire::Peer &peer, const wire::Frame &frame);
    void dispatch(const std::string &member, const MemberMessage &message);
    void setHandlers();
    void addDuties();
    void addRollouts();
    void supervise();
    Result<void> start();
    Result<void> startPlatformServers(const runtime::ServerBounds &bounds);
    Result<void> startMetricsServer();
    void stop();

    const settings::Settings settings;
    /// Null if the process runs on no platform.
    const deployment::Dialect *dialect;
    wire::Hub hub;
    std::mutex linksMutex;
    std::map<std::string, wire::LinkId> links;
    std::optional<storage::DataFolder> folder;
    CatalogueMachine machine;
    std::vector<std::unique_ptr<LogDuty>> logs;
    std::unique_ptr<FeedDuty> feed;
    std::unique_ptr<LedgerRelay> relay;
    std::unique_ptr<LedgerDuty> ledgerDuty;
    std::unique_ptr<OrderDuty> orderDuty;
    telemetry::Metrics metrics;
    std::unique_ptr<OperatorsContext> context;
    std::shared_ptr<budget::PeerBudget> budget;
    std::unique_ptr<runtime::HttpServer> operators;
    std::unique_ptr<runtime::HttpServer> metricsServer;
    std::unique_ptr<DeclarationsContext> platformContext;
    std::unique_ptr<runtime::HttpServer> declarations;
    std::unique_ptr<runtime::HttpServer> directory;
    std::unique_ptr<ServerList> serverList;
    std::unique_ptr<WeightsDuty> weights;
    std::unique_ptr<RolloutDuty> rollouts;
    runtime::Supervisor feeding;
    runtime::Supervisor ordering;
    runtime::Supervisor root;
    runtime::StopSignal stopSignal;
    std::thread thread;
};

ControlRole::Impl::Impl(const settings::Settings &s, const deployment::Dialect *d)
    : settings(s)
    , dialect(d)
    , hub(hubOptions(s))
    , machine(
          [this](const feed::ChangeAt &change, std::size_t bytes) {
              feed->changed(change, bytes);
          },
          [this] {
              feed->restored();
          })
    , feeding("feeding")
    , ordering("ordering")
    , root("control", endOnFirstFailure)
{
    logs.push_back(std::make_unique<LogDuty>(logSettings(catalogueGroup), machine.stateMachine(),
                                             logLinks(catalogueGroup)));
    const auto send = [this](const std::string &instance, const MemberMessage &message) {
        sendToMember(instance, message);
    };
    logs.push_back(std::make_unique<LogDuty>(
        logSettings(ledgerGroup), ledger::makeStateMachine(std::make_shared<ledger::State>()),
        logLinks(ledgerGroup)));
    FeedSettings feedSettings;
    feedSettings.maxListAge = settings.platformList.maxAge;
    feedSettings.publishesMembers = settings.platform.has_value();
    if (settings.platform)
        feedSettings.recentWeights =
            std::max(feedSettings.recentWeights, 2 * settings.platform->weightsTime);
    feed = std::make_unique<FeedDuty>(hub, *logs.front(), machine, send, feedSettings);
    relay = std::make_unique<LedgerRelay>(hub, *logs.back(), send, randomIdentity());
    ledgerDuty = std::make_unique<LedgerDuty>(*logs.back(), machine, *feed, randomIdentity());
    orderDuty =
        std::make_unique<OrderDuty>(*logs.front(), machine, settings.instance, randomIdentity());
    setHandlers();
    addDuties();
}

/// A log duty that failed may have applied a change partially, so its failure ends the process,
/// which recovers from the disk when it is restarted. The other duties keep no state that must
/// survive and are restarted by their supervisors.
void ControlRole::Impl::addDuties()
{
    for (const auto &it : logs)
        root.add("log", [&log = *it](const runtime::StopSignal &stop) {
            log.run(stop);
        });
    feeding.add("feed", [this](const runtime::StopSignal &stop) {
        feed->run(stop);
    });
    feeding.add("ledger", [this](const runtime::StopSignal &stop) {
        ledgerDuty->run(stop);
    });
    if (!dialect) {
        ordering.add("orders", [this](const runtime::StopSignal &stop) {
            orderDuty->run(stop);
        });
    }
    // On a platform the servers are not in the catalogue; the weights duty sends them orders.
    for (std::size_t share = 0; !dialect && share < observerShares; ++share)
        ordering.add("observer", [this, share](const runtime::StopSignal &stop) {
            orderDuty->observe(share, stop);
        });
    if (dialect) {
        serverList = std::make_unique<ServerList>(settings, *dialect);
        weights =
            std::make_unique<WeightsDuty>(settings, *dialect, *logs.front(), machine, *serverList);
        ordering.add("weights", [this](const runtime::StopSignal &stop) {
            weights->run(stop);
        });
        for (std::size_t n = 0; n < weightsCallers; ++n)
            ordering.add("weightsCalls", [this](const runtime::StopSignal &stop) {
                weights->call(stop);
            });
    }
    addRollouts();
    root.add("ordering", [this](const runtime::StopSignal &stop) {
        ordering.run(stop);
    });
    if (!settings.platformList.file.empty()) {
        feeding.add("platformList", [this](const runtime::StopSignal &stop) {
            watchPlatformList(settings.platformList, stop, metrics, [this](const PlatformList &it) {
                feed->receive(it);
            });
        });
    }
    root.add("feeding", [this](const runtime::StopSignal &stop) {
        feeding.run(stop);
    });
}

void ControlRole::Impl::addRollouts()
{
    release::Policy policy;
    if (settings.platform) {
        policy.exposureShare = settings.platform->exposureShare;
        policy.exposureSlack = settings.platform->exposureSlack;
        policy.rollbackTime = settings.platform->rollbackTime;
    }
    rollouts =
        std::make_unique<RolloutDuty>(policy, *logs.front(), machine, metrics, serverList.get());
    feed->onReport([this](const feed::RolloutReport &report) {
        rollouts->receive(report);
    });
    ordering.add("rollouts", [this](const runtime::StopSignal &stop) {
        rollouts->run(stop);
    });
    if (serverList) {
        ordering.add("rolloutServers", [this](const runtime::StopSignal &stop) {
            rollouts->readList(stop);
        });
    }
}

void ControlRole::Impl::supervise()
{
    try {
        root.run(stopSignal);
    } catch (const std::exception &e) {
        telemetry::logLine(telemetry::LogLevel::Error, "control", "exiting after a failed duty",
                           {{"reason", e.what()}});
        std::_Exit(exitAfterFailure);
    }
}

LogDutySettings ControlRole::Impl::logSettings(std::uint32_t group) const
{
    LogDutySettings log;
    log.group.group = group;
    log.group.instance = settings.instance;
    for (const settings::Member &it : settings.members)
        log.group.instances.push_back(it.name);
    std::random_device device;
    log.group.seed = device();
    log.mayBootstrap =
        !settings.members.empty() && settings.members.front().name == settings.instance;
    if (settings.platform)
        setAutomaticMembership(log, settings);
    return log;
}

/// Returns the link to another member, or 0 if there is none. On a platform, connects to the member
/// if there is no link to it yet.
wire::LinkId ControlRole::Impl::linkTo(const std::string &instance)
{
    const std::lock_guard<std::mutex> lock(linksMutex);
    const auto it = links.find(instance);
    if (it != links.end())
        return it->second;
    // On a platform the name of a member is the address of its link.
    const settings::Address address = settings::parseAddress(instance);
    if (!settings.platform || address.port == 0 || instance == settings.instance)
        return 0;
    return links[instance] = hub.connect(address);
}

/// Returns whether a peer is another control member, as opposed to an entry.
bool ControlRole::Impl::isMember(const std::string &instance)
{
    return linkTo(instance) != 0;
}

LogLinks ControlRole::Impl::logLinks(std::uint32_t group)
{
    LogLinks result;
    result.send = [this](const consensus::Message &message) {
        sendToMember(message.to.instance, LogMessage{consensus::encode(message)});
    };
    result.queryMembership = [this, group](const std::string &instance) {
        sendToMember(instance, MembershipQuery{group});
    };
    return result;
}

void ControlRole::Impl::sendToMember(const std::string &instance, const MemberMessage &message)
{
    const wire::LinkId link = linkTo(instance);
    if (link == 0)
        return;
    // A failed send is ignored: every protocol between members sends lost messages again.
    orElse(
        [&] {
            return hub.send(link, toFrame(message));
        },
        [](const Error &) {});
}

void ControlRole::Impl::setHandlers()
{
    wire::ChannelHandlers members;
    members.received = [this](const wire::Peer &peer, const wire::Frame &frame) {
        receiveFromMember(peer, frame);
    };
    hub.handle(wire::Channel::Consensus, std::move(members));
    wire::ChannelHandlers entries;
    entries.closed = [this](const wire::Peer &peer) {
        feed->closed(peer.link);
    };
    entries.received = [this](const wire::Peer &peer, const wire::Frame &frame) {
        feed->receive(peer, frame);
    };
    hub.handle(wire::Channel::Feed, std::move(entries));
    wire::ChannelHandlers commands;
    commands.received = [this](const wire::Peer &peer, const wire::Frame &frame) {
        relay->receive(peer, frame);
    };
    hub.handle(wire::Channel::Ledger, std::move(commands));
}

void ControlRole::Impl::receiveFromMember(const wire::Peer &peer, const wire::Frame &frame)
{
    if (!isMember(peer.name))
        return;
    orElse(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(message, memberMessage(frame, peer.name));
            dispatch(peer.name, message);
            return {};
        },
        [this](const Error &) {
            metrics.counter("kumquathaven_member_frames_malformed", "frames not understood").add();
        });
}

void ControlRole::Impl::dispatch(const std::string &member, const MemberMessage &message)
{
    const auto logOf = [this](std::uint32_t group) -> LogDuty * {
        return group < logs.size() ? logs[group].get() : nullptr;
    };
    if (const auto *bytes = std::get_if<LogMessage>(&message)) {
        orElse(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(decoded, consensus::decodeMessage(bytes->bytes, {}));
                LogDuty *log = logOf(decoded.group);
                // A member sends messages only in its own name, except that on a platform it
                // forwards the join requests of others.
                const bool isPassedOn = settings.platform
                    && std::holds_alternative<consensus::JoinRequest>(decoded.body);
                if (log && (decoded.from.instance == member || isPassedOn))
                    log->receive(std::move(decoded));
                return {};
            },
            [this](const Error &) {
                metrics.counter("kumquathaven_member_frames_malformed", "frames not understood")
                    .add();
            });
    } else if (const auto *query = std::get_if<MembershipQuery>(&message)) {
        if (const LogDuty *log = logOf(query->group))
            sendToMember(member,
                         MembershipReply{query->group, !log->status().configuration.isEmpty()});
    } else if (const auto *reply = std::get_if<MembershipReply>(&message)) {
        if (LogDuty *log = logOf(reply->group))
            log->receiveMembership(member, reply->belongs);
    } else if (const auto *command = std::get_if<RelayedCommand>(&message)) {
        relay->receive(member, *command);
    } else {
        feed->receive(member, message);
    }
}

Result<void> ControlRole::Impl::start()
{
    BOOST_LEAF_AUTO(
        opened,
        storage::DataFolder::open(storage::systemFiles(), settings.dataFolder, randomIdentity()));
    folder.emplace(std::move(opened));
    for (const auto &it : logs)
        BOOST_LEAF_CHECK(it->open(*folder));
    for (const settings::Member &it : settings.members) {
        if (it.name != settings.instance)
            links[it.name] = hub.connect(it.link);
    }
    if (settings.platform) {
        for (const settings::Address &it : settings.platform->seeds)
            linkTo(settings::toString(settings::linkOfSeed(settings, it)));
    }
    BOOST_LEAF_CHECK(hub.start(settings.link));
    thread = std::thread([this] {
        supervise();
    });
    std::vector<LogDuty *> groups;
    for (const auto &it : logs)
        groups.push_back(it.get());
    context = std::make_unique<OperatorsContext>(
        OperatorsContext{settings, machine, groups, *feed, *orderDuty, hub, metrics});
    budget = runtime::processBudget(settings);
    runtime::ServerBounds bounds;
    bounds.maxThreads = operatorThreads;
    bounds.maxBodyBytes = settings.bounds.maxBodyBytes;
    bounds.maxHeaderFields = settings.bounds.maxHeaderFields;
    bounds.maxConnections = runtime::operatorConnections(settings);
    bounds.budget = budget;
    operators =
        std::make_unique<runtime::HttpServer>(bounds, [this](runtime::HttpExchange &exchange) {
            runtime::reportBudget(*budget, metrics);
            handleOperator(*context, exchange);
        });
    BOOST_LEAF_CHECK(operators->start(settings.operators));
    BOOST_LEAF_CHECK(startMetricsServer());
    if (dialect)
        BOOST_LEAF_CHECK(startPlatformServers(bounds));
    telemetry::logLine(telemetry::LogLevel::Info, "control", "started",
                       {{"operators", settings::toString(settings.operators)},
                        {"link", settings::toString(settings.link)},
                        {"identity", std::to_string(folder->identity())}});
    return {};
}

Result<void> ControlRole::Impl::startPlatformServers(const runtime::ServerBounds &bounds)
{
    platformContext = std::make_unique<DeclarationsContext>(
        DeclarationsContext{settings, *dialect, machine, *logs.front(), *serverList});
    declarations =
        std::make_unique<runtime::HttpServer>(bounds, [this](runtime::HttpExchange &exchange) {
            handleDeclarations(*platformContext, exchange);
        });
    BOOST_LEAF_CHECK(declarations->start(settings.platform->declarations));
    if (settings.platform->directory.port == 0)
        return {};
    directory =
        std::make_unique<runtime::HttpServer>(bounds, [this](runtime::HttpExchange &exchange) {
            handleDirectory(*platformContext, exchange);
        });
    return directory->start(settings.platform->directory);
}

/// Starts the server for metrics collectors, which serves nothing but the metrics.
Result<void> ControlRole::Impl::startMetricsServer()
{
    if (settings.metrics.port == 0)
        return {};
    runtime::ServerBounds bounds;
    bounds.maxThreads = 1;
    bounds.maxConnections = runtime::operatorConnections(settings);
    bounds.budget = budget;
    metricsServer =
        std::make_unique<runtime::HttpServer>(bounds, [this](runtime::HttpExchange &exchange) {
            runtime::reportBudget(*budget, metrics);
            if (exchange.request().path == "/metrics")
                handleOperator(*context, exchange);
            else
                exchange.reply({404, "text/plain", {}, "no such path\n"});
        });
    return metricsServer->start(settings.metrics);
}

void ControlRole::Impl::stop()
{
    // The servers stop one after the other, and half of the grace period is left for the log.
    constexpr int graceShare = 8;
    Duration drain = operatorsDrain;
    Duration leave = leaveTime;
    if (settings.platform) {
        drain = std::min(drain, settings.platform->stopGrace / graceShare);
        leave = std::min(leave, settings.platform->stopGrace / graceShare);
    }
    const TimePoint leavesUntil = monotonicNow() + leave;
    bool isToBeRemoved = false;
    for (const auto &it : logs)
        isToBeRemoved = it->leave() || isToBeRemoved;
    for (const auto *it : {&declarations, &directory, &metricsServer, &operators}) {
        if (*it)
            (*it)->stop(drain);
    }
    if (isToBeRemoved)
        std::this_thread::sleep_until(leavesUntil);
    stopSignal.request();
    if (thread.joinable())
        thread.join();
    hub.stop();
}

ControlRole::ControlRole(const settings::Settings &settings, const deployment::Dialect *dialect)
    : m_impl(std::make_unique<Impl>(settings, dialect))
{ }

ControlRole::~ControlRole()
{
    m_impl->stop();
}

Result<void> ControlRole::start()
{
    return m_impl->start();
}

void ControlRole::stop()
{
    m_impl->stop();
}

} // namespace kumquathaven::control
