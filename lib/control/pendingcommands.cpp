#include "pendingcommands.h"

#include <utility>

namespace kumquathaven::control {

namespace {

CommandResult lost(const std::string &message, Outcome outcome)
{
    return {Error{ErrorCode::Unavailable, "control.log", {}, message, outcome, {}}, {}};
}

} // namespace

void PendingCommands::add(const consensus::EntryId &place, TimePoint now, CommandDone done)
{
    Pending &pending = m_pending[place.index];
    const Pending earlier = std::exchange(pending, {place.term, now, std::move(done)});
    if (earlier.done)
        earlier.done(lost("the leader changed before the command was decided", Outcome::Unknown));
}

void PendingCommands::finish(const consensus::EntryId &place, const std::string &answer)
{
    const auto it = m_pending.find(place.index);
    if (it == m_pending.end())
        return;
    const Pending pending = std::move(it->second);
    m_pending.erase(it);
    if (pending.term == place.term)
        pending.done({std::nullopt, answer});
    else
        pending.done(lost("the leader changed and the command was not accepted", Outcome::NotRun));
}

void PendingCommands::finishOlder(TimePoint time, const CommandResult &result)
{
    for (auto it = m_pending.begin(); it != m_pending.end();) {
        if (it->second.since >= time) {
            ++it;
            continue;
        }
        it->second.done(result);
        it = m_pending.erase(it);
    }
}

void PendingCommands::finishAll(const CommandResult &result)
{
    for (const auto &it : m_pending)
        it.second.done(result);
    m_pending.clear();
}

} // namespace kumquathaven::control
