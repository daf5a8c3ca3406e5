#include "router.h"

#include "kumquathaven/base/hash.h"
#include "kumquathaven/routing/baselines.h"
#include "kumquathaven/routing/firsttoken.h"
#include "kumquathaven/telemetry/log.h"
#include "upstreamwatch.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace kumquathaven::entry {

namespace {

/// Threads that read events and load reports; each serves a share of the engines.
constexpr std::size_t watchDuties = 4;

routing::Failure failureOf(const Error &error)
{
    switch (error.code) {
    case ErrorCode::NoUpstream:
        return routing::Failure::Connect;
    case ErrorCode::Overloaded:
        return routing::Failure::Refused;
    case ErrorCode::Timeout:
        return routing::Failure::Timeout;
    default:
        return routing::Failure::Cut;
    }
}

/// Returns whether an attempt failed because this side ended it.
bool wasEndedByUs(const AttemptReport &report)
{
    return report.end == AttemptEnd::CallerGone || report.madeWay || report.isWithdrawn
        || (report.error && report.error->code == ErrorCode::DeadlineExceeded);
}

/// Blocks of a prompt that the baseline of prefix hashing looks at.
constexpr std::size_t hashedBlocks = 2;

std::optional<routing::Choice> chooseBy(settings::RoutingStrategy strategy,
                                        const routing::Fleet &fleet,
                                        const routing::Request &request, Random &random,
                                        TimePoint now)
{
    switch (strategy) {
    case settings::RoutingStrategy::Random:
        return routing::chooseRandom(fleet, request, random);
    case settings::RoutingStrategy::LeastLoaded:
        return routing::chooseLeastLoaded(fleet, request, random);
    case settings::RoutingStrategy::PrefixHash:
        return routing::choosePrefixHash(fleet, request, hashedBlocks);
    case settings::RoutingStrategy::ExpectedFirstToken:
        break;
    }
    return routing::choose(fleet, request, now);
}

void logHealth(const routing::UpstreamView &view)
{
    telemetry::logLine(
        telemetry::LogLevel::Warn, "routing", "upstream changed its state",
        {{"upstream", view.name},
         {"state", std::string(nameOf(routing::healthStateNames, view.health.state))},
         {"reason", std::string(nameOf(routing::ejectionReasonNames, view.health.reason))}});
}

} // namespace

Router::Router(const settings::Settings &settings, const catalogue::View &view,
               UpstreamTable &table, KvTransfer &kv)
    : m_settings(settings)
    , m_view(view)
    , m_table(table)
    , m_kv(kv)
    , m_random(stableHash(settings.instance))
{ }

std::vector<runtime::DutyFunction> Router::watches()
{
    std::vector<runtime::DutyFunction> duties;
    for (std::size_t n = 0; n < watchDuties; ++n) {
        duties.emplace_back([this, n](const runtime::StopSignal &stop) {
            watchUpstreams(*this, m_view, {n, watchDuties}, stop);
        });
    }
    return duties;
}

void Router::follow(const catalogue::Catalogue &catalogue, TimePoint now)
{
    if (catalogue.revision <= m_revision)
        return;
    m_revision = catalogue.revision;
    m_kv.follow(catalogue);
    std::vector<std::string> gone;
    for (const auto &it : m_fleet.slots) {
        if (catalogue.upstreams.count(it.first) == 0)
            gone.push_back(it.first);
    }
    for (const std::string &it : gone)
        removeUpstream(m_fleet, it);
    for (const auto &[name, upstream] : catalogue.upstreams) {
        if (upstream.kind != catalogue::UpstreamKind::Engine)
            continue;
        const routing::Slot slot =
            addUpstream(m_fleet, name, upstream.model, upstream.weightsVersion, now);
        m_fleet.upstreams[slot].leaving = upstream.state != catalogue::UpstreamState::Serving;
    }
}

routing::Request Router::requestFor(const catalogue::Catalogue &catalogue,
                                    const CallerRequest &request,
                                    const std::set<std::string> &tried)
{
    routing::Request out;
    out.repeatable = request.route->repeatable;
    out.priority = static_cast<std::size_t>(request.serviceClass);
    out.deadline = request.deadline;
    out.completeAnswerTokens = request.streams ? 0 : request.maxOutputTokens;
    for (const auto *it : allowedUpstreams(catalogue, request)) {
        const auto slot = m_fleet.slots.find(it->head.name);
        if (slot == m_fleet.slots.end() || tried.count(it->head.name) > 0)
            continue;
        out.candidates.push_back(slot->second);
        const routing::UpstreamView &view = m_fleet.upstreams[slot->second];
        if (chainFor(out, view))
            continue;
        const std::uint32_t tokens =
            view.blockTokens > 0 ? view.blockTokens : m_settings.blockTokens;
        out.chains.emplace_back(routing::PrefixScope{request.customer, request.model,
                                                     request.adapter, view.weightsVersion},
                                request.promptText, tokens);
    }
    return out;
}

std::optional<Choice> Router::choose(const catalogue::Catalogue &catalogue,
                                     const CallerRequest &request,
                                     const std::set<std::string> &tried, bool isPaid)
{
    if (request.route->model.empty())
        return m_table.choose(catalogue, request, tried);
    const TimePoint now = monotonicNow();
    const std::lock_guard<std::mutex> lock(m_mutex);
    follow(catalogue, now);
    if (tried.empty())
        earnRetry(m_fleet);
    routing::Request routed = requestFor(catalogue, request, tried);
    routed.store = m_kv.view(routed.chains, now);
    const auto chosen = chooseBy(m_settings.routingStrategy, m_fleet, routed, m_random, now);
    if (!chosen || (!tried.empty() && !isPaid && !spendRetry(m_fleet)))
        return std::nullopt;
    const std::uint64_t ticket = commit(m_fleet, routed, *chosen, now);
    m_table.began(chosen->upstream);
    Choice choice{catalogue.upstreams.at(chosen->upstream), describe(*chosen), ticket};
    choice.upstream.weightsVersion = chosen->weightsVersion;
    const routing::PrefixChain &chain = routed.chains[chosen->chain];
    choice.import = m_kv.plan(m_fleet, chain, *chosen, request.deadline, now);
    if (!choice.import && chosen->importTokens > 0)
        adjustAfterImport(m_fleet, chosen->slot, ticket, chosen->importTokens, now);
    m_kv.offer(m_fleet, chain, *chosen, choice.upstream, now);
    // What may not be repeated is never given up: it may run, and its answer is the only one.
    if (request.route->repeatable)
        choice.giveUpAt = giveUpAt(m_fleet, chosen->slot, ticket, request.deadline);
    return choice;
}

void Router::sendsNow(const Choice &choice, double missing)
{
    with(choice.upstream.head.name, [&](routing::Fleet &fleet, routing::Slot slot) {
        adjustAfterImport(fleet, slot, choice.ticket, missing, monotonicNow());
    });
}

Duration Router::observedWait(const catalogue::Catalogue &catalogue, const CallerRequest &request)
{
    const TimePoint now = monotonicNow();
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<routing::Slot> slots;
    for (const auto *it : allowedUpstreams(catalogue, request)) {
        const auto slot = m_fleet.slots.find(it->head.name);
        if (slot != m_fleet.slots.end())
            slots.push_back(slot->second);
    }
    const auto priority = static_cast<std::size_t>(request.serviceClass);
    return minObservedWait(m_fleet, slots, priority, request.route->repeatable, now);
}

void Router::firstToken(const Choice &choice, const CallerRequest &request, TimePoint at)
{
    if (choice.ticket == 0 || !request.streams)
        return;
    with(choice.upstream.head.name, [&](routing::Fleet &fleet, routing::Slot slot) {
        recordFirstToken(fleet, slot, choice.ticket, at);
    });
}

bool Router::makesWay(const Choice &choice, const catalogue::Catalogue &catalogue,
                      const CallerRequest &request, const std::set<std::string> &tried)
{
    const TimePoint now = monotonicNow();
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto slot = m_fleet.slots.find(choice.upstream.head.name);
    if (slot == m_fleet.slots.end()
        || !isOverdue(m_fleet, slot->second, choice.ticket, request.deadline, now))
        return false;
    const routing::Request routed = requestFor(catalogue, request, tried);
    return canMeetDeadlineElsewhere(m_fleet, routed, now) && spendRetry(m_fleet);
}

void Router::finished(const Choice &choice, const AttemptReport &report)
{
    const std::string &name = choice.upstream.head.name;
    m_table.finished(name);
    if (choice.ticket == 0)
        return;
    with(name, [&](routing::Fleet &fleet, routing::Slot slot) {
        const TimePoint now = monotonicNow();
        if (report.end == AttemptEnd::Complete)
            recordCompleteAnswer(fleet, slot, choice.ticket, now);
        if (wasEndedByUs(report))
            recordGivenUp(fleet, slot, choice.ticket, now);
        else if (report.error)
            recordFailed(fleet, slot, choice.ticket, failureOf(*report.error), now);
        const std::int64_t cached = report.usage ? report.usage->cached : -1;
        recordFinished(fleet, slot, choice.ticket, cached, now);
    });
}

void Router::with(const std::string &upstream,
                  const std::function<void(routing::Fleet &, routing::Slot)> &use)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto slot = m_fleet.slots.find(upstream);
    if (slot != m_fleet.slots.end())
        use(m_fleet, slot->second);
}

void Router::review()
{
    const catalogue::Snapshot snapshot = m_view.current();
    const TimePoint now = monotonicNow();
    const std::lock_guard<std::mutex> lock(m_mutex);
    follow(*snapshot.catalogue, now);
    m_fleet.entries =
        std::max<std::uint32_t>(1, static_cast<std::uint32_t>(snapshot.instances->entries.size()));
    std::vector<routing::HealthState> before;
    for (const auto &it : m_fleet.upstreams)
        before.push_back(it.health.state);
    reviewHealth(m_fleet, now);
    for (std::size_t n = 0; n < before.size(); ++n) {
        if (before[n] != m_fleet.upstreams[n].health.state)
            logHealth(m_fleet.upstreams[n]);
    }
}

std::string engineBody(const CallerRequest &request)
{
    if (request.route->model.empty())
        return request.body;
    const nlohmann::json salt = routing::cacheSalt(request.customer);
    const auto priority = static_cast<int>(request.serviceClass);
    const std::size_t open = request.body.find('{');
    if (open == std::string::npos)
        return request.body;
    // The body was written by this instance and has neither field.
    return "{\"cache_salt\":" + salt.dump() + ",\"priority\":" + std::to_string(priority) + ","
        + request.body.substr(open + 1);
}

} // namespace kumquathaven::entry
