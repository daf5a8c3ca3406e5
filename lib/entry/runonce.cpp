#include "runonce.h"

#include "kumquathaven/ledger/codec.h"

namespace kumquathaven::entry {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(20);
/// How long the end of the process waits until every end of a run is recorded.
constexpr Duration maxEndWait = std::chrono::seconds(3);

} // namespace

RunOnce::RunOnce(ledger::Runner runner, Send send)
    : m_runner(std::move(runner))
    , m_send(std::move(send))
{ }

RunOnce::~RunOnce()
{
    close();
}

void RunOnce::close()
{
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        if (m_ends)
            return;
        m_changed.wait_for(lock, maxEndWait, [this] {
            return m_running.empty();
        });
        m_ends = true;
    }
    m_changed.notify_all();
}

Permission RunOnce::ask(const ledger::RequestKey &key, const std::string &fingerprint)
{
    std::uint64_t number = 0;
    std::optional<Outgoing> outgoing;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        number = ledger::startNumber(m_numbers);
        Running &running = m_running[number];
        running.attempt.key = key;
        running.attempt.fingerprint = fingerprint;
        running.attempt.runner = m_runner;
        running.attempt.number = number;
        outgoing = note(number, running, ledger::begin(running.attempt, m_numbers, monotonicNow()));
    }
    send(outgoing);
    std::unique_lock<std::mutex> lock(m_mutex);
    Running &running = m_running.at(number);
    m_changed.wait(lock, [&] {
        return running.decided.has_value() || m_ends;
    });
    running.awaited = false;
    if (running.decided) {
        Permission permission = *running.decided;
        dropFinished();
        return permission;
    }
    Permission permission;
    permission.refusal = Error{ErrorCode::Unavailable, "ledger.begin",   {},
                               "the instance ends",    Outcome::Unknown, std::chrono::seconds(1)};
    return permission;
}

void RunOnce::finish(std::uint64_t number, Outcome outcome, const ledger::StoredAnswer &answer)
{
    std::optional<Outgoing> outgoing;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto it = m_running.find(number);
        if (it == m_running.end())
            return;
        outgoing =
            note(number, it->second,
                 ledger::finishRun(it->second.attempt, m_numbers, outcome, answer, monotonicNow()));
    }
    send(outgoing);
}

void RunOnce::handleAnswer(std::uint64_t number, const std::string &bytes)
{
    std::optional<Outgoing> outgoing;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto it = m_running.find(number);
        if (it == m_running.end())
            return;
        const std::optional<ledger::Answer> answer = orElse(
            [&]() -> Result<std::optional<ledger::Answer>> {
                BOOST_LEAF_AUTO(decoded, ledger::decodeAnswer(bytes, "ledger"));
                return std::optional<ledger::Answer>(decoded);
            },
            [](const Error &) {
                return std::optional<ledger::Answer>();
            });
        if (!answer)
            return;
        outgoing =
            note(number, it->second,
                 ledger::handleAnswer(it->second.attempt, m_numbers, *answer, monotonicNow()));
        dropFinished();
    }
    m_changed.notify_all();
    send(outgoing);
}

void RunOnce::run(const runtime::StopSignal &stop)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!stop.requested()) {
        std::vector<Outgoing> batch;
        const TimePoint now = monotonicNow();
        for (auto &[number, it] : m_running) {
            const auto outgoing =
                note(number, it, ledger::tick(it.attempt, m_numbers, m_times, now));
            if (outgoing)
                batch.push_back(*outgoing);
        }
        dropFinished();
        lock.unlock();
        m_changed.notify_all();
        for (const Outgoing &it : batch)
            send(it);
        lock.lock();
        m_changed.wait_for(lock, tickInterval);
    }
}

std::optional<RunOnce::Outgoing> RunOnce::note(std::uint64_t number, Running &running,
                                               ledger::Step step)
{
    if (step.run || step.stored || step.refusal) {
        Permission permission;
        permission.number = number;
        permission.run = step.run;
        permission.stored = std::move(step.stored);
        permission.refusal = std::move(step.refusal);
        running.decided = std::move(permission);
    }
    if (!step.command)
        return std::nullopt;
    return Outgoing{number, ledger::encodeCommand(*step.command)};
}

void RunOnce::dropFinished()
{
    for (auto it = m_running.begin(); it != m_running.end();) {
        const bool isOver =
            it->second.attempt.phase == ledger::AttemptPhase::Finished && !it->second.awaited;
        if (isOver)
            ledger::endNumber(m_numbers, it->first);
        it = isOver ? m_running.erase(it) : std::next(it);
    }
}

void RunOnce::send(const std::optional<Outgoing> &outgoing)
{
    if (!outgoing)
        return;
    // The ledger counts a command once however often it comes, so a lost one is just sent again.
    orElse(
        [&] {
            return m_send(outgoing->number, outgoing->command);
        },
        [](const Error &) {});
}

} // namespace kumquathaven::entry
