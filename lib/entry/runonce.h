// The duty that asks the ledger before a keyed request runs, and records how it ended.

#ifndef KUMQUATHAVEN_LIB_ENTRY_RUNONCE_H
#define KUMQUATHAVEN_LIB_ENTRY_RUNONCE_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/ledger/attempt.h"
#include "kumquathaven/runtime/stopsignal.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace kumquathaven::entry {

/// What the ledger allows. One of run, stored and refusal is set.
struct Permission
{
    std::uint64_t number = 0;
    bool run = false;
    std::optional<ledger::StoredAnswer> stored;
    std::optional<Error> refusal;
};

/// Repeats what the ledger has not answered. ask() and finish() are called by the
/// threads of requests.
class RunOnce
{
public:
    /// Sends a command, numbered, to the ledger. It may be lost.
    using Send = std::function<Result<void>(std::uint64_t number, const std::string &command)>;

    RunOnce(ledger::Runner runner, Send send);
    RunOnce(const RunOnce &) = delete;
    RunOnce &operator=(const RunOnce &) = delete;
    ~RunOnce();

    /// The duty. It may start again after a failure: what was sent twice counts once.
    void run(const runtime::StopSignal &stop);

    /// Waits a short while until every end is recorded, and refuses everything from then on. Call
    /// it before the duty is stopped.
    void close();

    /// Records the intent to run a request. Waits for the ledger, but not for long.
    Permission ask(const ledger::RequestKey &key, const std::string &fingerprint);

    /// Records how a request ended that ask() let run.
    void finish(std::uint64_t number, Outcome outcome, const ledger::StoredAnswer &answer);

    /// Takes an answer of the ledger.
    void handleAnswer(std::uint64_t number, const std::string &bytes);

private:
    struct Running
    {
        ledger::Attempt attempt;
        std::optional<Permission> decided;
        /// Whether a request's thread waits for the decision.
        bool awaited = true;
    };
    struct Outgoing
    {
        std::uint64_t number = 0;
        std::string command;
    };

    /// Notes what a step says, and returns the command to send.
    std::optional<Outgoing> note(std::uint64_t number, Running &running, ledger::Step step);
    void dropFinished();
    void send(const std::optional<Outgoing> &outgoing);

    const ledger::Runner m_runner;
    const Send m_send;
    const ledger::AttemptTimes m_times;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_ends = false;
    ledger::AttemptNumbers m_numbers;
    std::map<std::uint64_t, Running> m_running;
};

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_RUNONCE_H
