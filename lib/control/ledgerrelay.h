// Forwards commands of entry instances to the ledger's leader and the answers back to the entries.

#ifndef KUMQUATHAVEN_CONTROL_LEDGERRELAY_H
#define KUMQUATHAVEN_CONTROL_LEDGERRELAY_H

#include "logduty.h"
#include "membermessages.h"

#include "kumquathaven/wire/hub.h"

#include <functional>
#include <string>

namespace kumquathaven::control {

/// Keeps no state: the return path of an answer travels with the command, and an entry sends a lost
/// command again.
class LedgerRelay
{
public:
    using SendToMember = std::function<void(const std::string &, const MemberMessage &)>;

    /// \p origin is a random number drawn at each start of the process.
    LedgerRelay(wire::Hub &hub, LogDuty &log, SendToMember send, std::uint64_t origin);

    /// Handles a command from an entry's link. Called on the hub's thread.
    void receive(const wire::Peer &peer, const wire::Frame &frame);

    /// Handles a command or an answer that another member forwards. Called on the hub's thread.
    void receive(const std::string &member, const RelayedCommand &command);

private:
    void answerEntry(wire::LinkId link, std::uint64_t number, const std::string &bytes);

    wire::Hub &m_hub;
    LogDuty &m_log;
    SendToMember m_send;
    std::uint64_t m_origin;
};

} // namespace kumquathaven::control

#endif // KUMQUATHAVEN_CONTROL_LEDGERRELAY_H
