#include "ledgerrelay.h"

#include "kumquathaven/feed/commandframe.h"

namespace kumquathaven::control {

LedgerRelay::LedgerRelay(wire::Hub &hub, LogDuty &log, SendToMember send, std::uint64_t origin)
    : m_hub(hub)
    , m_log(log)
    , m_send(std::move(send))
    , m_origin(origin)
{ }

void LedgerRelay::receive(const wire::Peer &peer, const wire::Frame &frame)
{
    orElse(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(command, feed::commandFrame(frame, peer.name));
            const LogStatus status = m_log.status();
            if (status.raftState.role != consensus::Role::Leader) {
                if (status.raftState.leader)
                    m_send(status.raftState.leader->instance,
                           RelayedCommand{false, m_origin, peer.link, command.number,
                                          std::move(command.bytes)});
                return {};
            }
            const wire::LinkId link = peer.link;
            const std::uint64_t number = command.number;
            m_log.command(std::move(command.bytes),
                          [this, link, number](const CommandResult &result) {
                              if (!result.error)
                                  answerEntry(link, number, result.answer);
                          });
            return {};
        },
        [&](const Error &) {
            m_hub.disconnect(peer.link);
        });
}

void LedgerRelay::receive(const std::string &member, const RelayedCommand &command)
{
    if (command.isAnswer) {
        // After a restart of this process the same link number may belong to another entry.
        if (command.origin == m_origin)
            answerEntry(command.link, command.number, command.bytes);
        return;
    }
    RelayedCommand answer = command;
    answer.isAnswer = true;
    m_log.command(command.bytes, [this, member, answer](const CommandResult &result) mutable {
        if (result.error)
            return;
        answer.bytes = result.answer;
        m_send(member, answer);
    });
}

void LedgerRelay::answerEntry(wire::LinkId link, std::uint64_t number, const std::string &bytes)
{
    orElse(
        [&] {
            return m_hub.send(link, feed::toFrame(feed::CommandFrame{number, bytes}));
        },
        [](const Error &) {
            // The entry is disconnected or reads too slowly; it sends the command again.
        });
}

} // namespace kumquathaven::control
