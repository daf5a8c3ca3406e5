#include "kumquathaven/entry/entryrole.h"

#include "callerserver.h"
#include "dutytree.h"
#include "entrystate.h"
#include "fleetanswers.h"
#include "fleetlimits.h"
#include "fleetquarantine.h"
#include "kumquathaven/base/walltime.h"
#include "kumquathaven/feed/client.h"
#include "kumquathaven/runtime/httpserver.h"
#include "kumquathaven/runtime/processbudget.h"
#include "kumquathaven/telemetry/log.h"
#include "kumquathaven/wire/hub.h"
#include "operatorserver.h"
#include "runonce.h"

#include <cstdlib>
#include <memory>
#include <thread>
#include <utility>

namespace kumquathaven::entry {

namespace {

// Requests past the bound of streams still get their refusal from a thread of their own.
constexpr std::uint32_t spareThreads = 64;
constexpr std::uint32_t operatorThreads = 8;
constexpr int exitAfterFailure = 1;
constexpr Duration drainLimit = std::chrono::minutes(10);
// Callers measure the time an answer may be kept on clocks of their own.
constexpr Duration keptAnswerMargin = std::chrono::milliseconds(500);

runtime::ServerBounds callerBounds(const settings::Settings &settings,
                                   std::shared_ptr<budget::PeerBudget> budget)
{
    const settings::Bounds &bounds = settings.bounds;
    runtime::ServerBounds server;
    server.maxThreads = bounds.maxStreams + spareThreads;
    server.maxQueued = bounds.maxStreams;
    server.maxConnections =
        runtime::connectionsWithin(settings, 2 * bounds.maxStreams + spareThreads);
    server.budget = std::move(budget);
    server.maxBodyBytes = bounds.maxBodyBytes;
    server.maxHeaderFields = bounds.maxHeaderFields;
    server.idle = bounds.callerIdle;
    server.wholeRequest = bounds.callerIdle;
    return server;
}

runtime::ServerBounds operatorBounds(const settings::Settings &settings,
                                     std::shared_ptr<budget::PeerBudget> budget)
{
    runtime::ServerBounds server;
    server.maxConnections = runtime::operatorConnections(settings);
    server.budget = std::move(budget);
    server.maxThreads = operatorThreads;
    return server;
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

/// Requests wait for duties that have ended, so that an orderly end could take without limit.
void endAfterFailure(const std::string &reason)
{
    telemetry::logLine(telemetry::LogLevel::Error, "entry", "ends after a failure",
                       {{"reason", reason}});
    std::_Exit(exitAfterFailure);
}

} // namespace

struct EntryRole::Impl
{
    EntryState state;
    catalogue::Instance self;
    wire::Hub hub;
    feed::FeedClient feed;
    feed::PeerLinks peerLinks;
    FleetLimits limits;
    FleetAnswers answers;
    FleetQuarantine quarantine;
    RunOnce runOnce;
    const std::shared_ptr<budget::PeerBudget> budget;
    runtime::HttpServer callers;
    runtime::HttpServer operators;
    DutyTree duties;

    explicit Impl(const settings::Settings &settings)
        : state(settings)
        , self(feed::startingInstance(settings))
        , hub(hubOptions(settings, self.incarnation))
        , feed(settings, hub, state.view, self)
        , peerLinks(settings.instance, hub)
        , limits(settings, self.incarnation, hub, peerLinks, state.view, state.metrics)
        , answers(settings.instance, self.incarnation, hub, peerLinks, state.view, state.joins,
                  state.metrics)
        , quarantine(settings.instance, hub, peerLinks, state.view, state.metrics)
        , runOnce({settings.instance, self.incarnation},
                  [this](std::uint64_t number, const std::string &command) {
                      return feed.sendToLedger(number, command);
                  })
        , budget(runtime::processBudget(settings))
        , callers(callerBounds(settings, budget),
                  [this](runtime::HttpExchange &it) {
                      handleCaller(state, it);
                  })
        , operators(operatorBounds(settings, budget),
                    [this](runtime::HttpExchange &it) {
                        runtime::reportBudget(*budget, state.metrics);
                        handleOperator(state, it);
                    })
        , duties(dutiesOf(), endAfterFailure)
    {
        state.limits = &limits;
        state.answers = &answers;
        state.quarantine = &quarantine;
        state.runOnce = &runOnce;
        state.hub = &hub;
        state.feed = &feed;
        feed.onLedgerAnswer([this](std::uint64_t number, const std::string &answer) {
            runOnce.handleAnswer(number, answer);
        });
    }

    /// No handler may run while the duties that it calls are destroyed.
    ~Impl()
    {
        duties.stop();
        hub.stop();
    }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    EntryDuties dutiesOf()
    {
        EntryDuties all;
        all.limits = [this](const runtime::StopSignal &stop) {
            limits.run(stop);
        };
        all.feed = [this](const runtime::StopSignal &stop) {
            feed.run([&stop] {
                return stop.requested();
            });
        };
        all.answers = [this](const runtime::StopSignal &stop) {
            answers.run(stop);
        };
        all.runOnce = [this](const runtime::StopSignal &stop) {
            runOnce.run(stop);
        };
        all.watches = state.router.watches();
        all.watches.emplace_back([this](const runtime::StopSignal &stop) {
            state.kv.run(stop);
        });
        return all;
    }

    void announce(catalogue::InstanceState newState)
    {
        self.state = newState;
        self.since = wallMilliseconds();
        feed.announce(self);
    }
};

EntryRole::EntryRole(const settings::Settings &settings)
    : m_impl(std::make_unique<Impl>(settings))
{ }

EntryRole::~EntryRole() = default;

Result<void> EntryRole::start()
{
    const settings::Settings &settings = m_impl->state.settings;
    BOOST_LEAF_CHECK(m_impl->hub.start(settings.link));
    m_impl->duties.start();
    BOOST_LEAF_CHECK(m_impl->operators.start(settings.operators));
    BOOST_LEAF_CHECK(m_impl->callers.start(settings.callers));
    m_impl->announce(catalogue::InstanceState::Serving);
    telemetry::logLine(telemetry::LogLevel::Info, "entry", "serving",
                       {{"callers", settings::toString(settings.callers)}});
    return {};
}

void EntryRole::drainAndStop()
{
    using telemetry::LogLevel;
    m_impl->state.drainRequested = true;
    m_impl->announce(catalogue::InstanceState::Leaving);
    telemetry::logLine(LogLevel::Info, "entry", "leaving; no longer named to callers");
    std::this_thread::sleep_for(m_impl->state.settings.entriesTtl + keptAnswerMargin);
    m_impl->callers.stop(drainLimit);
    telemetry::logLine(LogLevel::Info, "entry", "drained");
    // The ledger is told how the last requests ended before control is told that this process ends.
    m_impl->runOnce.close();
    m_impl->duties.stop();
    m_impl->operators.stop(Duration(0));
    m_impl->hub.stop();
}

bool EntryRole::drainRequested() const
{
    return m_impl->state.drainRequested || m_impl->feed.status().drained;
}

} // namespace kumquathaven::entry
