#include "controlclient.h"

#include "kumquathaven/runtime/httpclient.h"

#include <algorithm>
#include <thread>

namespace kumquathaven::ctl {

namespace {

constexpr std::size_t maxReplyBytes = 64UL * 1024 * 1024;
constexpr Duration connectTimeout = std::chrono::seconds(1);
constexpr Duration retryPause = std::chrono::milliseconds(100);
// A group with a quorum accepts a change many times faster.
constexpr Duration leastAnswerTimeout = std::chrono::seconds(2);

/// What one attempt led to.
struct Attempt
{
    std::optional<ControlReply> reply;
    Error error;
    /// Where the leader is, if the member said so.
    std::optional<settings::Address> leader;
    bool isFinal = false;
};

std::string errorField(const nlohmann::json &body, const std::string &field)
{
    if (!body.is_object() || !body.contains("error") || !body["error"].is_object())
        return {};
    return body["error"].value(field, std::string());
}

/// Returns whether another attempt may end otherwise.
bool isWorthRepeating(const std::string &code)
{
    return code == "notLeader" || code == "unavailable" || code == "timeout" || code == "overloaded"
        || code == "storage";
}

/// Returns how long to wait for one member, so that a frozen one leaves time for the others.
Duration answerTimeoutFor(Duration timeout, std::size_t members)
{
    const Duration share = timeout / static_cast<int>(std::max<std::size_t>(members, 1));
    return std::min(timeout, std::max(share, leastAnswerTimeout));
}

} // namespace

ControlClient::ControlClient(std::vector<settings::Address> members, Duration timeout)
    : m_members(std::move(members))
    , m_timeout(timeout)
    , m_answerTimeout(answerTimeoutFor(timeout, m_members.size()))
{ }

Result<ControlReply> ControlClient::call(const settings::Address &member, const std::string &method,
                                         const std::string &path, const nlohmann::json &body) const
{
    const std::string text = body.is_null() ? std::string() : body.dump();
    const runtime::CallTimeouts timeouts{connectTimeout, m_answerTimeout};
    BOOST_LEAF_AUTO(reply,
                    runtime::fetch(member, method, path, {{"Content-Type", "application/json"}},
                                   text, timeouts, maxReplyBytes));
    ControlReply result;
    result.status = reply.status;
    result.body = nlohmann::json::parse(reply.body, nullptr, false);
    if (result.body.is_discarded())
        result.body = reply.body;
    return result;
}

Result<ControlReply> ControlClient::callLeader(const std::string &method, const std::string &path,
                                               const nlohmann::json &body)
{
    const TimePoint end = monotonicNow() + m_timeout;
    Error last{ErrorCode::Unavailable, "control.call",  {},
               "no member answered",   Outcome::NotRun, {}};
    Outcome outcome = Outcome::NotRun;
    std::size_t next = 0;
    std::optional<settings::Address> leader;
    do {
        const settings::Address member = leader ? *leader : m_members[next++ % m_members.size()];
        leader.reset();
        Attempt attempt = orElse(
            [&]() -> Result<Attempt> {
                Attempt it;
                BOOST_LEAF_ASSIGN(it.reply, call(member, method, path, body));
                return it;
            },
            [](const Error &error) {
                Attempt it;
                it.error = error;
                return it;
            });
        if (attempt.reply) {
            const std::string code = errorField(attempt.reply->body, "code");
            if (!isWorthRepeating(code))
                return *attempt.reply;
            last.message = errorField(attempt.reply->body, "message");
            last.peer = settings::toString(member);
            if (errorField(attempt.reply->body, "outcome") == "unknown")
                outcome = Outcome::Unknown;
            const settings::Address told =
                settings::parseAddress(errorField(attempt.reply->body, "peer"));
            if (code == "notLeader" && told.port != 0)
                leader = told;
        } else {
            last = attempt.error;
            if (last.outcome != Outcome::NotRun)
                outcome = Outcome::Unknown;
        }
        if (!leader || settings::toString(*leader) == settings::toString(member))
            std::this_thread::sleep_for(retryPause);
    } while (monotonicNow() < end);
    last.code = ErrorCode::Unavailable;
    last.outcome = outcome;
    return fail(last);
}

} // namespace kumquathaven::ctl
