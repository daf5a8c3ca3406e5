#include "ledgerduty.h"

#include "kumquathaven/ledger/codec.h"
#include "kumquathaven/ledger/machine.h"

#include <future>

namespace kumquathaven::control {

namespace {

constexpr Duration passInterval = std::chrono::seconds(2);
/// A runner that is missing from the instance list for this long is reported to the ledger as
/// departed.
constexpr Duration runnerLease = std::chrono::seconds(8);
/// The instance list is used only while this member's freshness proof is no older than this.
constexpr Duration maxProofAge = std::chrono::seconds(2);
constexpr Duration queryWait = std::chrono::seconds(1);

} // namespace

LedgerDuty::LedgerDuty(LogDuty &log, const CatalogueMachine &machine, const FeedDuty &feed,
                       std::uint64_t source)
    : m_log(log)
    , m_machine(machine)
    , m_feed(feed)
    , m_source(source)
{ }

void LedgerDuty::run(const runtime::StopSignal &stop)
{
    while (!stop.waitFor(passInterval))
        pass(monotonicNow());
}

void LedgerDuty::pass(TimePoint now)
{
    if (m_log.status().raftState.role != consensus::Role::Leader) {
        // The new leader advances the ledger's clock.
        m_advancedAt = TimePoint{};
        m_watch.clear();
        return;
    }
    advanceTime(now);
    reportDeparted(now);
}

void LedgerDuty::advanceTime(TimePoint now)
{
    if (m_advancedAt != TimePoint{}) {
        const ledger::Advance advance{m_source, ++m_number, now - m_advancedAt};
        m_log.command(ledger::encodeCommand(advance), [](const CommandResult &) {});
    }
    m_advancedAt = now;
}

void LedgerDuty::reportDeparted(TimePoint now)
{
    const auto age = m_feed.counts().proofAge;
    if (!age || *age > maxProofAge)
        return;
    const auto promise = std::make_shared<std::promise<CommandResult>>();
    std::future<CommandResult> future = promise->get_future();
    const bool isAsked = m_log.query({}, [promise](const CommandResult &result) {
        promise->set_value(result);
    });
    if (!isAsked || future.wait_for(queryWait) != std::future_status::ready)
        return;
    const CommandResult result = future.get();
    if (result.error)
        return;
    const std::set<ledger::Runner> busy = orElse(
        [&] {
            return ledger::decodeRunners(result.answer, "ledger");
        },
        [](const Error &) {
            return std::set<ledger::Runner>();
        });
    const PublishedState state = m_machine.published();
    for (const ledger::Runner &it : m_watch.departed(busy, *state.instances, runnerLease, now))
        m_log.command(ledger::encodeCommand(ledger::Depart{it}), [](const CommandResult &) {});
}

} // namespace kumquathaven::control
