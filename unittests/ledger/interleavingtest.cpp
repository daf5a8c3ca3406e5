// Simulates seeded interleavings of callers, entries, an upstream and a ledger. Messages to and
// from the ledger are lost, duplicated and delayed, and entries may crash at any step.

#include "common/foreachseed.h"
#include "kumquathaven/base/random.h"
#include "kumquathaven/ledger/attempt.h"
#include "kumquathaven/ledger/codec.h"
#include "kumquathaven/ledger/machine.h"

#include <doctest/doctest.h>

#include <atomic>
#include <map>
#include <memory>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::ledger;
using kumquathaven::testing::forEachSeed;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t entryCount = 3;
constexpr std::size_t keyCount = 4;
constexpr int stepCount = 1500;

/// The runs of one key that the upstream has seen.
struct Runs
{
    int count = 0;
    std::string body;
};

/// One caller's request on one entry.
struct Call
{
    Attempt attempt;
    std::size_t key = 0;
    /// Whether the entry may have sent the request to the upstream.
    bool sent = false;
    /// When the upstream's answer is due.
    TimePoint answersAt{};
    bool answered = false;
};

struct Entry
{
    Runner runner;
    AttemptNumbers numbers;
    std::vector<Call> calls;
};

struct ToLedger
{
    TimePoint deliverAt{};
    std::size_t entry = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;
    std::string command;
};

struct FromLedger
{
    TimePoint deliverAt{};
    std::size_t entry = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;
    std::string answer;
};

class Simulation
{
public:
    explicit Simulation(std::uint64_t seed)
        : m_random(seed)
        , m_entries(entryCount)
        , m_state(std::make_shared<State>())
        , m_machine(makeStateMachine(m_state))
    {
        for (std::size_t i = 0; i < entryCount; ++i)
            restart(i);
    }

    void run()
    {
        for (int i = 0; i < stepCount; ++i) {
            m_now += Duration(m_random.below(40000));
            randomStep();
        }
        // From here on, no faults are injected, so that all attempts finish.
        m_isSettling = true;
        for (int i = 0; i < 3000; ++i) {
            m_now += milliseconds(20);
            processDue();
        }
    }

    std::vector<Runs> runs{keyCount};
    /// Number of errors that callers received, by outcome.
    int reported[3] = {0, 0, 0};
    int stored = 0;
    /// Number of times a request was reported as not run, or permitted to run, although it had been
    /// sent or had run.
    int falseNotRun = 0;
    int wrongAnswers = 0;
    /// Number of requests that stay in progress after all attempts have finished.
    int stuck = 0;

    /// Repeats the request of each key after all attempts have finished, and checks the answers.
    void repeatEachKey()
    {
        for (std::size_t key = 0; key < keyCount; ++key) {
            const Answer given = ledger::apply(*m_state, beginOf(key));
            if (given.kind == AnswerKind::InProgress)
                ++stuck;
            if (given.kind == AnswerKind::Run && runs[key].count > 0)
                ++falseNotRun;
            if (given.kind == AnswerKind::Stored && given.stored.body != runs[key].body)
                ++wrongAnswers;
        }
    }

private:
    Begin beginOf(std::size_t key) const
    {
        return Begin{{"cyngor", "key" + std::to_string(key)}, "print", {"last", 1}, key + 1, 0};
    }

    void restart(std::size_t entry)
    {
        const Runner before = m_entries[entry].runner;
        m_entries[entry] = Entry{};
        m_entries[entry].runner = {"entry" + std::to_string(entry), m_random.next() >> 1};
        if (before.incarnation != 0)
            m_departures.push_back({m_now + Duration(m_random.below(3000000)), before});
    }

    void randomStep()
    {
        processDue();
        const std::size_t entry = m_random.below(entryCount);
        switch (m_random.below(12)) {
        case 0:
        case 1:
        case 2:
            call(entry, m_random.below(keyCount));
            break;
        case 3:
            if (m_random.below(4) == 0)
                restart(entry);
            break;
        case 4:
            // Control reports the departure of an entry that is still running.
            if (m_random.below(20) == 0)
                m_departures.push_back({m_now, m_entries[entry].runner});
            break;
        case 5:
            if (m_random.below(4) == 0)
                restoreLedger();
            break;
        case 7:
            // The ledger has no quorum for a while.
            if (m_random.below(20) == 0)
                m_ledgerDownUntil = m_now + Duration(m_random.below(6000000));
            break;
        case 6:
            if (!m_entries[entry].calls.empty())
                cancelOne(m_entries[entry], entry);
            break;
        default:
            break;
        }
    }

    /// Continues with another member, which restores its state from a snapshot.
    void restoreLedger()
    {
        const auto next = std::make_shared<State>();
        const StateMachine machine = makeStateMachine(next);
        orElse(
            [&] {
                return machine.restore(m_machine.save());
            },
            [](const Error &error) {
                FAIL(describe(error));
            });
        m_state = next;
        m_machine = machine;
    }

    void call(std::size_t entry, std::size_t key)
    {
        Entry &own = m_entries[entry];
        Call started;
        started.key = key;
        started.attempt.key = {"cyngor", "key" + std::to_string(key)};
        started.attempt.fingerprint = "print";
        started.attempt.runner = own.runner;
        started.attempt.number = startNumber(own.numbers);
        own.calls.push_back(started);
        applyStep(entry, own.calls.back(), begin(own.calls.back().attempt, own.numbers, m_now));
    }

    void cancelOne(Entry &own, std::size_t entry)
    {
        Call &chosen = own.calls[m_random.below(own.calls.size())];
        applyStep(entry, chosen, cancel(chosen.attempt, own.numbers, m_now));
    }

    Duration delay()
    {
        if (m_isSettling)
            return milliseconds(1);
        const bool late = m_random.below(10) == 0;
        return Duration(1000 + m_random.below(late ? 4000000 : 30000));
    }

    int copies()
    {
        if (m_isSettling)
            return 1;
        if (m_now < m_ledgerDownUntil)
            return 0;
        const std::uint64_t draw = m_random.below(10);
        return draw == 0 ? 0 : draw == 1 ? 2 : 1;
    }

    void applyStep(std::size_t entry, Call &call, const Step &step)
    {
        const Entry &own = m_entries[entry];
        if (step.command) {
            const std::string bytes = encodeCommand(*step.command);
            for (int i = copies(); i > 0; --i)
                m_toLedger.push_back(
                    {m_now + delay(), entry, own.runner.incarnation, call.attempt.number, bytes});
        }
        if (step.refusal) {
            ++reported[static_cast<int>(step.refusal->outcome)];
            if (step.refusal->outcome == Outcome::NotRun && call.sent)
                ++falseNotRun;
            // NotRun also requires that no other attempt has run the request. The exception, a key
            // that belongs to another request, does not occur here.
            if (step.refusal->outcome == Outcome::NotRun && runs[call.key].count > 0)
                ++falseNotRun;
        }
        if (step.stored) {
            ++stored;
            if (step.stored->body != runs[call.key].body)
                ++wrongAnswers;
        }
        if (step.run)
            startRun(entry, call);
    }

    void startRun(std::size_t entry, Call &call)
    {
        switch (m_random.below(8)) {
        case 0:
        case 2: // The connection was refused, and the outcome NotRun is reported to the caller.
            ++reported[static_cast<int>(Outcome::NotRun)];
            falseNotRun += runs[call.key].count;
            applyStep(
                entry, call,
                finishRun(call.attempt, m_entries[entry].numbers, Outcome::NotRun, {}, m_now));
            return;
        case 1: // The upstream never received the request, but the entry cannot know that.
            call.sent = true;
            call.answersAt = TimePoint::max();
            applyStep(
                entry, call,
                finishRun(call.attempt, m_entries[entry].numbers, Outcome::Unknown, {}, m_now));
            return;
        default:
            break;
        }
        call.sent = true;
        call.answersAt = m_now + Duration(m_random.below(800000));
        Runs &seen = runs[call.key];
        ++seen.count;
        seen.body = "answer " + std::to_string(m_random.next());
        if (m_random.below(6) == 0) {
            // The request ran, but the connection broke before the answer arrived.
            call.answersAt = TimePoint::max();
            applyStep(
                entry, call,
                finishRun(call.attempt, m_entries[entry].numbers, Outcome::Unknown, {}, m_now));
        }
    }

    void processDue()
    {
        deliverMessages();
        tickEntries();
        for (std::size_t i = 0; i < m_departures.size();) {
            if (m_departures[i].first > m_now) {
                ++i;
                continue;
            }
            ledger::apply(*m_state, Depart{m_departures[i].second});
            m_departures.erase(m_departures.begin() + static_cast<std::ptrdiff_t>(i));
        }
        if (m_isSettling) {
            // Control sends Depart for the ledger's runners that it does not know.
            for (const Runner &it : knownRunners(*m_state)) {
                bool known = false;
                for (const Entry &own : m_entries)
                    known = known || own.runner == it;
                if (!known)
                    ledger::apply(*m_state, Depart{it});
            }
        }
    }

    void deliverMessages()
    {
        std::vector<ToLedger> inFlight;
        inFlight.swap(m_toLedger);
        for (ToLedger &it : inFlight) {
            if (it.deliverAt > m_now) {
                m_toLedger.push_back(it);
                continue;
            }
            const std::string answer = m_machine.apply(0, it.command);
            for (int i = copies(); i > 0; --i)
                m_fromLedger.push_back(
                    {m_now + delay(), it.entry, it.incarnation, it.number, answer});
        }
        std::vector<FromLedger> answers;
        answers.swap(m_fromLedger);
        for (const FromLedger &it : answers) {
            if (it.deliverAt > m_now) {
                m_fromLedger.push_back(it);
                continue;
            }
            deliver(it);
        }
    }

    void deliver(const FromLedger &it)
    {
        Entry &own = m_entries[it.entry];
        if (own.runner.incarnation != it.incarnation)
            return;
        const Answer answer = orElse(
            [&] {
                return decodeAnswer(it.answer, "ledger");
            },
            [](const Error &error) {
                FAIL(describe(error));
                return Answer{};
            });
        for (Call &call : own.calls) {
            if (call.attempt.number == it.number)
                applyStep(it.entry, call, handleAnswer(call.attempt, own.numbers, answer, m_now));
        }
    }

    void tickEntries()
    {
        for (std::size_t entry = 0; entry < entryCount; ++entry) {
            Entry &own = m_entries[entry];
            for (Call &call : own.calls) {
                applyStep(entry, call, tick(call.attempt, own.numbers, AttemptTimes{}, m_now));
                const bool due = call.sent && !call.answered && call.answersAt <= m_now;
                if (!due || call.attempt.phase != AttemptPhase::Running)
                    continue;
                call.answered = true;
                applyStep(entry, call,
                          finishRun(call.attempt, own.numbers, Outcome::Ran,
                                    {200, "text/plain", runs[call.key].body, false}, m_now));
            }
            for (std::size_t i = 0; i < own.calls.size();) {
                if (own.calls[i].attempt.phase != AttemptPhase::Finished) {
                    ++i;
                    continue;
                }
                endNumber(own.numbers, own.calls[i].attempt.number);
                own.calls.erase(own.calls.begin() + static_cast<std::ptrdiff_t>(i));
            }
        }
    }

    Random m_random;
    TimePoint m_now = TimePoint{} + seconds(100);
    TimePoint m_ledgerDownUntil{};
    bool m_isSettling = false;
    std::vector<Entry> m_entries;
    std::shared_ptr<State> m_state;
    StateMachine m_machine;
    std::vector<ToLedger> m_toLedger;
    std::vector<FromLedger> m_fromLedger;
    std::vector<std::pair<TimePoint, Runner>> m_departures;
};

} // namespace

TEST_CASE("A keyed request runs at most once, and the outcomes reported to callers are correct")
{
    std::atomic<int> ran{0};
    std::atomic<int> stored{0};
    std::atomic<int> unknown{0};
    std::atomic<int> notRun{0};
    forEachSeed(200, [&](std::uint64_t seed) {
        CAPTURE(seed);
        Simulation simulation(seed);
        simulation.run();
        simulation.repeatEachKey();
        for (const Runs &it : simulation.runs) {
            CHECK(it.count <= 1);
            ran += it.count;
        }
        CHECK(simulation.falseNotRun == 0);
        CHECK(simulation.wrongAnswers == 0);
        CHECK(simulation.stuck == 0);
        stored += simulation.stored;
        notRun += simulation.reported[static_cast<int>(Outcome::NotRun)];
        unknown += simulation.reported[static_cast<int>(Outcome::Unknown)];
    });
    // Checks that the simulations have covered every outcome.
    CHECK(ran > 300);
    CHECK(stored > 300);
    CHECK(unknown > 300);
    CHECK(notRun > 100);
    MESSAGE(ran << " runs of " << 200 * keyCount << " keys, " << stored
                << " stored answers returned, " << unknown << " unknown outcomes reported, "
                << notRun << " not-run outcomes reported");
}
