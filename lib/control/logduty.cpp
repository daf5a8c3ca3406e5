#include "logduty.h"

#include "commanderrors.h"
#include "kumquathaven/telemetry/log.h"

#include <algorithm>

namespace kumquathaven::control {

namespace {

constexpr std::size_t ringCapacity = 4096;
constexpr std::size_t maxRingBytes = std::size_t{8} * 1024 * 1024;
constexpr std::size_t maxEventsPerPass = 256;
constexpr Duration passInterval = std::chrono::milliseconds(20);
/// An older command or query is answered with a timeout error.
constexpr Duration maxWait = std::chrono::seconds(8);

Error logError(ErrorCode code, const std::string &step, const std::string &message, Outcome outcome)
{
    return {code, step, {}, message, outcome, {}};
}

} // namespace

LogDuty::LogDuty(LogDutySettings settings, StateMachine machine, LogLinks links)
    : m_settings(std::move(settings))
    , m_machine(std::move(machine))
    , m_links(std::move(links))
    , m_ring(ringCapacity, maxRingBytes, bytesOf)
{ }

std::size_t LogDuty::bytesOf(const Event &event)
{
    if (const auto *command = std::get_if<Command>(&event))
        return command->data.size();
    if (const auto *query = std::get_if<Query>(&event))
        return query->data.size();
    const auto *message = std::get_if<consensus::Message>(&event);
    return message ? consensus::contentBytes(*message) : 0;
}

Result<void> LogDuty::open(storage::DataFolder &folder)
{
    BOOST_LEAF_AUTO(group, consensus::Group::open(folder, m_settings.group, monotonicNow()));
    m_group.emplace(std::move(group));
    // Other threads may read the configuration from status() before the first pass.
    refreshStatus();
    return {};
}

bool LogDuty::command(std::string data, CommandDone done)
{
    return m_ring.tryPush(Command{std::move(data), std::move(done)});
}

bool LogDuty::query(std::string data, CommandDone done)
{
    return m_ring.tryPush(Query{std::move(data), std::move(done)});
}

bool LogDuty::receive(consensus::Message message)
{
    return m_ring.tryPush(std::move(message));
}

bool LogDuty::receiveMembership(const std::string &instance, bool belongs)
{
    return m_ring.tryPush(MembershipStatus{instance, belongs});
}

bool LogDuty::admit(const std::string &instance, CommandDone done)
{
    return m_ring.tryPush(Admit{instance, std::move(done)});
}

bool LogDuty::remove(const std::string &instance, CommandDone done)
{
    return m_ring.tryPush(Remove{instance, std::move(done)});
}

bool LogDuty::leave()
{
    if (!m_settings.automaticMembership)
        return false;
    const LogStatus now = status();
    return consensus::isRemovedOnLeaving(now.configuration, now.self,
                                         *m_settings.automaticMembership)
        && m_ring.tryPush(Leave{});
}

LogStatus LogDuty::status() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_status;
}

void LogDuty::run(const runtime::StopSignal &stop)
{
    while (!stop.requested()) {
        std::optional<Event> event = m_ring.pop(passInterval);
        const TimePoint now = monotonicNow();
        // Events that are already queued share one write to the disk.
        for (std::size_t n = 0; event && n < maxEventsPerPass; ++n) {
            handleEvent(*event, now);
            event = m_ring.pop(Duration(0));
        }
        if (event)
            handleEvent(*event, now);
        tryBootstrap(now);
        changeMembers(now);
        m_group->tick(now);
        advance(now);
        failExpired(now);
        refreshStatus();
    }
    failPending();
}

void LogDuty::failPending()
{
    m_ring.close();
    const CommandResult stopped{logError(ErrorCode::Unavailable, "control.log",
                                         "this member is stopping", Outcome::Unknown),
                                {}};
    m_pending.finishAll(stopped);
    for (const auto &it : m_queries)
        it.second.done(stopped);
    m_queries.clear();
}

void LogDuty::handleEvent(Event &event, TimePoint now)
{
    std::visit(
        [this, now](auto &it) {
            handle(it, now);
        },
        event);
}

void LogDuty::handle(Command &event, TimePoint now)
{
    attemptOr(event.done, [&]() -> Result<void> {
        BOOST_LEAF_AUTO(entry, m_group->propose(std::move(event.data), now));
        m_pending.add(entry, now, event.done);
        return {};
    });
}

void LogDuty::handle(Query &event, TimePoint)
{
    // The leader lease must be checked at a time after the query arrived: the process may have been
    // suspended between the start of the pass and this event.
    const TimePoint now = monotonicNow();
    attemptOr(event.done, [&]() -> Result<void> {
        BOOST_LEAF_CHECK(m_group->readIndex(m_nextQuery, now));
        m_queries[m_nextQuery++] = {std::move(event.data), now, event.done};
        return {};
    });
}

void LogDuty::handle(consensus::Message &event, TimePoint now)
{
    m_group->receive(event, now);
}

void LogDuty::advance(TimePoint now)
{
    orElse(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(output, m_group->advance(now));
            perform(output);
            return {};
        },
        [](const Error &) {
            // The group continues as a follower; status() reports that the storage is down.
        });
}

void LogDuty::perform(consensus::Output &output)
{
    // Messages are sent first: other members wait for them, and nothing below depends on them.
    for (const consensus::Message &it : output.messages)
        m_links.send(it);
    if (output.restore && output.restore->state) {
        orElse(
            [&]() -> Result<void> {
                BOOST_LEAF_CHECK(m_machine.restore(*output.restore->state));
                m_applied = output.restore->index;
                return {};
            },
            [](const Error &error) {
                throw std::runtime_error("the state machine can not be restored from the snapshot: "
                                         + describe(error));
            });
    }
    for (const consensus::Entry &it : output.committed)
        applyEntry(it);
    for (const consensus::ReadConfirmation &it : output.reads) {
        const auto query = m_queries.find(it.request);
        if (query == m_queries.end())
            continue;
        query->second.done({std::nullopt, m_machine.read(query->second.data)});
        m_queries.erase(query);
    }
    for (const consensus::ReadRefusal &it : output.refusedReads) {
        const auto query = m_queries.find(it.request);
        if (query == m_queries.end())
            continue;
        query->second.done({notLeader("control.read", it.leader), {}});
        m_queries.erase(query);
    }
    for (const consensus::MemberId &it : output.joining)
        m_joining[it.instance] = it;
    if (output.snapshotDue)
        saveSnapshot();
}

void LogDuty::saveSnapshot()
{
    std::string state = m_machine.save();
    telemetry::logLine(telemetry::LogLevel::Info, "log", "snapshot taken",
                       {{"group", std::to_string(m_settings.group.group)},
                        {"index", std::to_string(m_applied)},
                        {"stateBytes", std::to_string(state.size())},
                        {"entryBytes", std::to_string(m_group->replica().entryBytes())},
                        {"logBytes", std::to_string(m_group->logBytes())}});
    m_group->saveSnapshot(m_applied, std::move(state));
}

void LogDuty::applyEntry(const consensus::Entry &entry)
{
    m_applied = entry.index;
    std::string answer;
    if (entry.kind == consensus::EntryKind::Change)
        answer = m_machine.apply(entry.index, entry.data);
    m_pending.finish({entry.index, entry.term}, answer);
}

void LogDuty::failExpired(TimePoint now)
{
    const CommandResult late{logError(ErrorCode::Timeout, "control.log",
                                      "no answer from the log in time", Outcome::Unknown),
                             {}};
    m_pending.finishOlder(now - maxWait, late);
    for (auto it = m_queries.begin(); it != m_queries.end();) {
        if (now - it->second.since > maxWait) {
            it->second.done(late);
            it = m_queries.erase(it);
        } else {
            ++it;
        }
    }
}

void LogDuty::refreshStatus()
{
    const TimePoint now = monotonicNow();
    const consensus::Replica &replica = m_group->replica();
    LogStatus next;
    next.raftState = replica.raftState();
    next.self = replica.self();
    next.configuration = replica.configuration();
    next.progress = replica.progress(now);
    next.commitIndex = replica.commitIndex();
    next.appliedIndex = m_applied;
    next.group = m_settings.group.group;
    next.entryBytes = replica.entryBytes();
    next.diskBytes = m_group->logBytes();
    next.isStorageDown = m_group->isStorageDown();
    next.isRemoved = replica.isRemoved();
    const std::lock_guard<std::mutex> lock(m_mutex);
    next.proof = m_status.proof;
    if (next.isRemoved && !m_status.isRemoved)
        telemetry::logLine(
            telemetry::LogLevel::Warn, "log",
            "this member was removed from the group; it no longer stands for election",
            {{"group", std::to_string(m_settings.group.group)}});
    if (next.raftState.role == consensus::Role::Leader) {
        const bool isSameTerm =
            m_status.leaderSince != TimePoint{} && m_status.raftState.term == next.raftState.term;
        next.leaderSince = isSameTerm ? m_status.leaderSince : now;
        if (m_group->mayRead(now))
            next.proof = {m_applied, now};
    }
    m_status = std::move(next);
}

} // namespace kumquathaven::control
