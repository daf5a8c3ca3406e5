// Calls the operators' interface of the control members and finds the leader among them.

#ifndef KUMQUATHAVEN_TOOLS_KUMQUATCTL_CONTROLCLIENT_H
#define KUMQUATHAVEN_TOOLS_KUMQUATCTL_CONTROLCLIENT_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/base/time.h"
#include "kumquathaven/settings/settings.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace kumquathaven::ctl {

/// An answer of a member.
struct ControlReply
{
    int status = 0;
    nlohmann::json body;
};

/// Knows the control members by their operators' addresses.
class ControlClient
{
public:
    ControlClient(std::vector<settings::Address> members, Duration timeout);

    /// Calls the leader, trying the members in turn and again until the timeout. A request with a
    /// change id is safe to send again, so it is also repeated after a lost answer. Fails with
    /// Unavailable, and outcome Unknown if the request may have had an effect.
    Result<ControlReply> callLeader(const std::string &method, const std::string &path,
                                    const nlohmann::json &body = nullptr);

    /// Calls one member once.
    Result<ControlReply> call(const settings::Address &member, const std::string &method,
                              const std::string &path, const nlohmann::json &body = nullptr) const;

    const std::vector<settings::Address> &members() const { return m_members; }

private:
    std::vector<settings::Address> m_members;
    Duration m_timeout;
    /// How long one member may take to answer.
    Duration m_answerTimeout;
};

} // namespace kumquathaven::ctl

#endif // KUMQUATHAVEN_TOOLS_KUMQUATCTL_CONTROLCLIENT_H
