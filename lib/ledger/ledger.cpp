#include "kumquathaven/ledger/ledger.h"

#include <algorithm>

namespace kumquathaven::ledger {

namespace {

/// Maximum number of Advance sources whose last number is kept. Leaders change rarely, so few
/// sources are needed.
constexpr std::size_t maxAdvanceSources = 64;

/// Removes a record from the records, the customer's count and the total size.
void removeRecord(State &state, std::map<RequestKey, Record>::iterator it)
{
    state.bytes -= it->second.answer.body.size();
    const auto count = state.recordsPerCustomer.find(it->first.customer);
    if (--count->second == 0)
        state.recordsPerCustomer.erase(count);
    state.records.erase(it);
}

void stopRunning(State &state, const Runner &runner, std::uint64_t attempt)
{
    const auto it = state.runners.find(runner);
    if (it != state.runners.end())
        it->second.running.erase(attempt);
}

/// Moves a record to a final state and schedules its removal.
void finish(State &state, const RequestKey &key, Record &record, RecordState outcome)
{
    if (record.state == RecordState::InProgress)
        stopRunning(state, record.runner, record.attempt);
    else
        state.expiry.erase({record.expiresAt, key});
    record.state = outcome;
    record.expiresAt = state.now + state.bounds.retention;
    state.expiry.insert({record.expiresAt, key});
}

/// Returns the record of a key if it belongs to the given attempt, otherwise nullptr.
Record *findRecord(State &state, const RequestKey &key, const Runner &runner, std::uint64_t attempt)
{
    const auto it = state.records.find(key);
    if (it == state.records.end())
        return nullptr;
    const bool isOwn = it->second.runner == runner && it->second.attempt == attempt;
    return isOwn ? &it->second : nullptr;
}

/// Removes the record of a request that was never sent, as its own runner reported.
void release(State &state, const RequestKey &key, const Runner &runner, std::uint64_t attempt)
{
    stopRunning(state, runner, attempt);
    const Record *record = findRecord(state, key, runner, attempt);
    if (!record)
        return;
    if (record->state != RecordState::InProgress)
        state.expiry.erase({record->expiresAt, key});
    removeRecord(state, state.records.find(key));
}

void raiseFloor(State &state, const Runner &runner, std::uint64_t floor)
{
    RunnerRecord &own = state.runners[runner];
    if (floor <= own.floor)
        return;
    own.floor = floor;
    own.abandoned.erase(own.abandoned.begin(), own.abandoned.lower_bound(floor));
    while (!own.running.empty() && own.running.begin()->first < floor) {
        const auto [attempt, key] = *own.running.begin();
        release(state, key, runner, attempt);
    }
}

bool hasRoom(const State &state, const RequestKey &key)
{
    const auto count = state.recordsPerCustomer.find(key.customer);
    const std::size_t own = count == state.recordsPerCustomer.end() ? 0 : count->second;
    return state.records.size() < state.bounds.maxRecords
        && own < state.bounds.maxRecordsPerCustomer && state.bytes < state.bounds.maxBytes;
}

Answer answerFrom(const Record &record, const Begin &command)
{
    if (record.fingerprint != command.fingerprint)
        return {AnswerKind::Conflict, {}, {}};
    switch (record.state) {
    case RecordState::Stored:
        return {AnswerKind::Stored, record.answer, record.runner};
    case RecordState::Unknown:
        return {AnswerKind::Unknown, {}, record.runner};
    case RecordState::InProgress:
        break;
    }
    // The same attempt repeats Begin because the answer was lost.
    if (record.runner == command.runner && record.attempt == command.attempt)
        return {AnswerKind::Run, {}, record.runner};
    return {AnswerKind::InProgress, {}, record.runner};
}

class Applier
{
public:
    explicit Applier(State &state)
        : m_state(state)
    { }

    Answer operator()(const Begin &command)
    {
        raiseFloor(m_state, command.runner, command.floor);
        RunnerRecord &own = m_state.runners[command.runner];
        if (command.attempt < own.floor || own.abandoned.count(command.attempt) != 0)
            return {AnswerKind::Stale, {}, {}};
        const auto it = m_state.records.find(command.key);
        if (it != m_state.records.end())
            return answerFrom(it->second, command);
        if (!hasRoom(m_state, command.key))
            return {AnswerKind::Full, {}, {}};
        Record record;
        record.fingerprint = command.fingerprint;
        record.runner = command.runner;
        record.attempt = command.attempt;
        m_state.records.emplace(command.key, std::move(record));
        ++m_state.recordsPerCustomer[command.key.customer];
        own.running[command.attempt] = command.key;
        return {AnswerKind::Run, {}, command.runner};
    }

    Answer operator()(const Complete &command)
    {
        Record *record = findRecord(m_state, command.key, command.runner, command.attempt);
        if (!record || record->state == RecordState::Stored)
            return {};
        finish(m_state, command.key, *record, RecordState::Stored);
        record->answer = command.answer;
        if (record->answer.body.size() > m_state.bounds.maxBodyBytes) {
            record->answer.body.clear();
            record->answer.bodyDropped = true;
        }
        m_state.bytes += record->answer.body.size();
        return {};
    }

    Answer operator()(const Lose &command)
    {
        Record *record = findRecord(m_state, command.key, command.runner, command.attempt);
        if (record && record->state == RecordState::InProgress)
            finish(m_state, command.key, *record, RecordState::Unknown);
        return {};
    }

    Answer operator()(const Abandon &command)
    {
        raiseFloor(m_state, command.runner, command.floor);
        RunnerRecord &own = m_state.runners[command.runner];
        if (command.attempt >= own.floor)
            own.abandoned.insert(command.attempt);
        release(m_state, command.key, command.runner, command.attempt);
        return {};
    }

    Answer operator()(const Depart &command)
    {
        const auto it = m_state.runners.find(command.runner);
        if (it == m_state.runners.end())
            return {};
        for (const auto &[attempt, key] : std::map(it->second.running))
            finish(m_state, key, m_state.records.at(key), RecordState::Unknown);
        m_state.runners.erase(it);
        return {};
    }

    Answer operator()(const Advance &command)
    {
        const auto last = m_state.lastAdvance.find(command.source);
        if (last != m_state.lastAdvance.end() && command.number <= last->second)
            return {};
        m_state.lastAdvance[command.source] = command.number;
        if (m_state.lastAdvance.size() > maxAdvanceSources)
            m_state.lastAdvance.erase(m_state.lastAdvance.begin());
        const Duration elapsed = std::max(Duration{}, command.elapsed);
        m_state.now += std::min(elapsed, m_state.bounds.maxAdvance);
        while (!m_state.expiry.empty() && m_state.expiry.begin()->first <= m_state.now) {
            removeRecord(m_state, m_state.records.find(m_state.expiry.begin()->second));
            m_state.expiry.erase(m_state.expiry.begin());
        }
        return {};
    }

private:
    State &m_state;
};

} // namespace

Answer apply(State &state, const Command &command)
{
    return std::visit(Applier(state), command);
}

std::set<Runner> knownRunners(const State &state)
{
    std::set<Runner> runners;
    for (const auto &[runner, it] : state.runners)
        runners.insert(runner);
    return runners;
}

} // namespace kumquathaven::ledger
