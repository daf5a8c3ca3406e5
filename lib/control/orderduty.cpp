#include "orderduty.h"

#include "ordercodec.h"
#include "ordersender.h"

#include "kumquathaven/telemetry/log.h"

#include <future>

namespace kumquathaven::control {

namespace {

constexpr Duration passInterval = std::chrono::milliseconds(200);
/// Maximum age of an observation. It is less than the maximum delivery delay of an order minus the
/// wait for the engine's answer, so that an observation used after the delivery delay was requested
/// after the engine received the order.
constexpr Duration maxObservationAge = std::chrono::milliseconds(2500);

routing::OrderPolicy policyFor(const catalogue::Catalogue &catalogue)
{
    routing::OrderPolicy policy;
    policy.loadSlots = loadSlotsOf(catalogue);
    return policy;
}

} // namespace

OrderDuty::OrderDuty(LogDuty &log, const CatalogueMachine &machine, std::string instance,
                     std::uint64_t source)
    : m_log(log)
    , m_machine(machine)
    , m_instance(std::move(instance))
    , m_source(source)
    , m_observer(machine)
{ }

void OrderDuty::run(const runtime::StopSignal &stop)
{
    while (!stop.waitFor(passInterval))
        pass(stop);
}

void OrderDuty::observe(std::size_t share, const runtime::StopSignal &stop)
{
    m_observer.run(share, stop);
}

LocalOrderState OrderDuty::localState() const
{
    const TimePoint now = monotonicNow();
    LocalOrderState result;
    result.observations = m_observer.observations();
    const std::lock_guard<std::mutex> lock(m_mutex);
    result.counts = m_counts;
    result.problems = m_problems;
    result.earlierOrdersExpireIn = std::max(m_earlierOrdersExpireAt - now, Duration(0));
    return result;
}

void OrderDuty::pass(const runtime::StopSignal &stop)
{
    const bool leads = m_log.status().raftState.role == consensus::Role::Leader;
    m_observer.setActive(leads);
    if (!leads) {
        stopIssuing();
        return;
    }
    const PublishedState state = m_machine.published();
    const auto desired = desiredOf(*state.catalogue);
    if (desired.empty() && state.orders->open.empty())
        return;
    if (state.orders->source != m_source) {
        takeOver();
        return;
    }
    if (m_memory.fence != state.orders->fence)
        startIssuing(*state.orders);
    m_policy = policyFor(*state.catalogue);
    const auto commands = routing::planOrders(*state.orders, m_memory, desired, freshObservations(),
                                              m_policy, monotonicNow());
    for (const routing::OrderCommand &it : commands) {
        if (stop.requested() || !perform(it, *state.catalogue))
            return;
    }
}

void OrderDuty::stopIssuing()
{
    m_memory = {};
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_problems.clear();
    m_earlierOrdersExpireAt = {};
}

void OrderDuty::takeOver()
{
    if (!propose(routing::TakeOver{m_instance, m_source}))
        return;
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_counts.takeOvers;
}

void OrderDuty::startIssuing(const routing::OrderState &orders)
{
    m_memory = {};
    m_memory.fence = orders.fence;
    m_memory.takenOverAt = monotonicNow();
    telemetry::logLine(
        telemetry::LogLevel::Info, "orders", "issuing orders from now on",
        {{"fence", std::to_string(orders.fence)}, {"open", std::to_string(orders.open.size())}});
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_earlierOrdersExpireAt = routing::earlierOrdersExpireAt(m_memory, m_policy);
}

std::map<std::string, routing::Observed> OrderDuty::freshObservations() const
{
    const TimePoint now = monotonicNow();
    std::map<std::string, routing::Observed> fresh;
    for (const auto &[name, it] : m_observer.observations()) {
        if (now - it.askedAt <= maxObservationAge)
            fresh[name] = it.observed;
    }
    return fresh;
}

/// Returns the state machine's answer, or nothing if the command failed or was not answered within
/// the lease.
std::optional<routing::OrderRefusal> OrderDuty::propose(const routing::OrderCommand &command)
{
    const auto promise = std::make_shared<std::promise<CommandResult>>();
    std::future<CommandResult> future = promise->get_future();
    const bool isProposed =
        m_log.command(encodeOrderCommand(command), [promise](const CommandResult &result) {
            promise->set_value(result);
        });
    if (!isProposed || future.wait_for(m_policy.lease) != std::future_status::ready)
        return std::nullopt;
    const CommandResult result = future.get();
    if (result.error)
        return std::nullopt;
    return orElse(
        [&]() -> Result<std::optional<routing::OrderRefusal>> {
            BOOST_LEAF_AUTO(refusal, parseOrderAnswer(result.answer));
            return std::make_optional(refusal);
        },
        [](const Error &) {
            return std::optional<routing::OrderRefusal>();
        });
}

/// Proposes a command and carries it out if it is accepted. Returns false if the remaining commands
/// must not be performed, because there was no answer or another holder has taken over.
bool OrderDuty::perform(const routing::OrderCommand &command, const catalogue::Catalogue &catalogue)
{
    const TimePoint askedAt = monotonicNow();
    const auto refusal = propose(command);
    if (!refusal || *refusal == routing::OrderRefusal::Fence)
        return false;
    if (*refusal != routing::OrderRefusal::None)
        return true;
    if (const auto *it = std::get_if<routing::SendOrder>(&command))
        send(it->open.order, catalogue, askedAt);
    else if (const auto *end = std::get_if<routing::CloseOrder>(&command))
        recordEnd(*end);
    return true;
}

void OrderDuty::send(const routing::Order &order, const catalogue::Catalogue &catalogue,
                     TimePoint askedAt)
{
    const auto upstream = catalogue.upstreams.find(order.upstream);
    if (upstream == catalogue.upstreams.end())
        return;
    const SendReport report = sendOrder(upstream->second, order, askedAt + m_policy.lease);
    routing::recordSent(m_memory, order, monotonicNow());
    if (report.result == SendResult::Accepted)
        routing::recordAccepted(m_memory, order);
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_counts.sent += report.result == SendResult::NotSent ? 0 : 1;
    m_counts.accepted += report.result == SendResult::Accepted ? 1 : 0;
    m_counts.refused += report.result == SendResult::Refused ? 1 : 0;
    m_counts.notSent += report.result == SendResult::NotSent ? 1 : 0;
    m_counts.unanswered += report.result == SendResult::Unknown ? 1 : 0;
    if (report.result == SendResult::Accepted)
        m_problems.erase(order.upstream);
    else
        m_problems[order.upstream] = report.reason;
}

void OrderDuty::recordEnd(const routing::CloseOrder &command)
{
    telemetry::logLine(telemetry::LogLevel::Info, "orders", "order ended",
                       {{"upstream", command.upstream},
                        {"id", command.id},
                        {"end", std::string(nameOf(routing::orderEndNames, command.end))}});
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_counts.done += command.end == routing::OrderEnd::Done ? 1 : 0;
    m_counts.failed += command.end == routing::OrderEnd::Failed ? 1 : 0;
    m_counts.obsolete += command.end == routing::OrderEnd::Obsolete ? 1 : 0;
    if (command.end == routing::OrderEnd::Done)
        m_problems.erase(command.upstream);
    else
        m_problems[command.upstream] =
            "the last order ended as " + std::string(nameOf(routing::orderEndNames, command.end));
}

} // namespace kumquathaven::control
