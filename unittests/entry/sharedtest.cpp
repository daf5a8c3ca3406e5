// The gate and the join table, used by many threads at once.

#include "../../lib/entry/jointable.h"
#include "../../lib/entry/ordergate.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::entry;

TEST_CASE("no more requests run than the gate's capacity, and every thread gets an end")
{
    OrderGate gate;
    gate.resize({3, 0});
    std::atomic<int> running{0};
    std::atomic<int> most{0};
    std::atomic<int> served{0};
    std::atomic<int> gone{0};
    std::vector<std::thread> threads;
    threads.reserve(24);
    for (int n = 0; n < 24; ++n) {
        threads.emplace_back([&, n] {
            admission::Request request;
            request.customer = std::string(1, static_cast<char>('a' + n % 3));
            request.tokens = 10;
            const bool leaves = n % 8 == 7;
            const auto entrance = gate.enter(request, [leaves] {
                return leaves;
            });
            if (entrance.error) {
                CHECK(entrance.error->outcome == Outcome::NotRun);
                ++gone;
                return;
            }
            const int now = ++running;
            int seen = most;
            while (seen < now && !most.compare_exchange_weak(seen, now)) { }
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
            --running;
            ++served;
            gate.leave(entrance.id, 10, true);
        });
    }
    for (std::thread &it : threads)
        it.join();
    CHECK(served + gone == 24);
    CHECK(served >= 21);
    CHECK(most <= 3);
    CHECK(gate.load() == std::make_pair<std::size_t, std::size_t>(0, 0));
}

TEST_CASE("every reader of joined work gets all of it in order, and one that is gone does not harm")
{
    JoinTable table;
    const answers::WorkKey key{"a", answers::workOfKey("k")};
    const Part writer = table.enter(key, "f", true);
    REQUIRE(writer.kind == JoinKind::Runs);
    constexpr int readers = 6;
    std::vector<Part> parts;
    parts.reserve(readers);
    for (int n = 0; n < readers; ++n)
        parts.push_back(table.enter(key, "f", true));
    std::vector<std::string> texts(readers);
    std::vector<std::thread> threads;
    for (std::size_t n = 0; n < readers; ++n) {
        CHECK(parts[n].kind == JoinKind::Joins);
        threads.emplace_back([&, n] {
            while (true) {
                const auto result = table.read(parts[n], std::chrono::milliseconds(50));
                REQUIRE(result);
                for (const std::string &it : result->chunks)
                    texts[n] += it;
                if (result->state != answers::AnswerState::Running || (n == 0 && !texts[n].empty()))
                    break;
            }
            table.detach(parts[n]);
        });
    }
    std::string whole;
    for (int n = 0; n < 2'000; ++n) {
        const std::string chunk = std::to_string(n) + std::string(900, '.');
        table.append(writer, chunk);
        whole += chunk;
    }
    table.complete(writer, true);
    for (std::thread &it : threads)
        it.join();
    CHECK(whole.compare(0, texts[0].size(), texts[0]) == 0);
    for (std::size_t n = 1; n < readers; ++n)
        CHECK(texts[n] == whole);
    CHECK_FALSE(table.hasReaders(writer));
}

namespace {

/// A caller that retries while its answer is being delivered.
class RetryingCaller : public AnswerSink
{
public:
    RetryingCaller(JoinTable &table, answers::WorkKey key)
        : m_table(table)
        , m_key(std::move(key))
    { }

    bool begin(const std::string &, const runtime::HeaderFields &) override { return true; }
    bool events(const std::string &) override { return true; }
    bool whole(const runtime::HttpReply &) override
    {
        const Part retry = m_table.enter(m_key, "f", true);
        kind = retry.kind;
        if (kind != JoinKind::Joins)
            return true;
        const auto result = m_table.read(retry, std::chrono::milliseconds(10));
        if (result)
            state = result->state;
        m_table.detach(retry);
        return true;
    }
    bool gone() override { return false; }
    bool hasBegun() const override { return false; }

    JoinKind kind = JoinKind::Runs;
    answers::AnswerState state = answers::AnswerState::Running;

private:
    JoinTable &m_table;
    answers::WorkKey m_key;
};

} // namespace

TEST_CASE("a retry that arrives while an answer is delivered finds the complete answer")
{
    JoinTable table;
    const answers::WorkKey key{"a", answers::workOfKey("k")};
    const Part writer = table.enter(key, "f", true);
    RetryingCaller caller(table, key);
    SharingSink sink(caller, table, writer);
    CHECK(sink.whole({200, "text/plain", {}, "answer"}));
    CHECK(caller.kind == JoinKind::Joins);
    CHECK(caller.state == answers::AnswerState::Complete);
    CHECK(sink.isComplete());
}

TEST_CASE("an answer that reports an error is not kept")
{
    JoinTable table;
    const answers::WorkKey key{"a", answers::workOfKey("k")};
    const Part writer = table.enter(key, "f", true);
    RetryingCaller caller(table, key);
    SharingSink sink(caller, table, writer);
    CHECK(sink.whole({500, "text/plain", {}, "failure"}));
    CHECK(caller.kind == JoinKind::Runs);
    CHECK_FALSE(sink.gone());
}
