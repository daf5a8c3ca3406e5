// Tests admission control with generated histories of arrivals, ends, cancellations and changes of
// the capacity.

#include "kumquathaven/admission/controller.h"
#include "requests.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::admission;
using catalogue::ServiceClass;

namespace {

/// Runs one history from a seed and checks the invariants of admission control after each step.
class History
{
public:
    explicit History(std::uint64_t seed)
        : m_random(seed)
        , m_state(policyFor(seed))
    { }

    void run(int steps)
    {
        for (int n = 0; n < steps; ++n) {
            step();
            checkState();
        }
    }

private:
    static Policy policyFor(std::uint64_t seed)
    {
        Policy policy;
        policy.maxWaiting = 30;
        policy.maxWaitingTokens = 20'000;
        policy.spread = static_cast<Spread>(seed % 3);
        return policy;
    }

    void step()
    {
        m_now += Duration(m_random.below(400'000));
        const std::uint64_t kind = m_random.below(20);
        if (kind < 11)
            sendRequest();
        else if (kind < 16)
            endRequest(false);
        else if (kind < 18)
            endRequest(true);
        else if (kind < 19)
            checkDecisions(
                resize(m_state, {static_cast<std::uint32_t>(m_random.below(6)), 3'000}, m_now));
        else
            checkDecisions(advance(m_state, m_now));
    }

    void sendRequest()
    {
        const std::string customer(1, static_cast<char>('a' + m_random.below(4)));
        // Customer a floods; the other customers stay below their share of the bounds.
        const std::uint64_t open = m_open[customer].size();
        if (customer != "a" && open >= 7)
            return;
        Request request =
            make(m_next++, customer, 1 + m_random.below(customer == "a" ? 3'000 : 700),
                 static_cast<ServiceClass>(m_random.below(3)),
                 static_cast<AttemptKind>(m_random.below(2)));
        if (m_random.below(2) == 0)
            request.startBy = m_now + Duration(m_random.below(8'000'000));
        m_open[customer].insert(request.id);
        m_customer[request.id] = customer;
        const Decisions decisions = arrive(m_state, request, m_now);
        REQUIRE(decisions.at(0).id == request.id);
        checkDecisions(decisions);
    }

    void endRequest(bool isCancel)
    {
        std::vector<RequestId> candidates;
        for (const auto &it : m_state.running)
            candidates.push_back(it.first);
        if (isCancel) {
            for (const auto &it : m_state.waiting.locations)
                candidates.push_back(it.first);
        }
        if (candidates.empty())
            return;
        std::sort(candidates.begin(), candidates.end());
        const RequestId id = candidates[m_random.below(candidates.size())];
        m_open[m_customer[id]].erase(id);
        const std::uint64_t used = m_random.below(4'000);
        checkDecisions(isCancel ? cancel(m_state, id, used, m_now)
                                : finish(m_state, id, used, m_now));
    }

    void checkDecisions(const Decisions &decisions)
    {
        for (const Decision &it : decisions) {
            CAPTURE(it.id);
            const bool isFinal = it.action != Action::Wait;
            CHECK_MESSAGE(m_final.count(it.id) == 0, "a request gets a single final decision");
            if (isFinal)
                m_final.insert(it.id);
            CHECK((m_state.running.count(it.id) > 0) == (it.action == Action::Admit));
            CHECK((m_state.waiting.locations.count(it.id) > 0) == (it.action == Action::Wait));
            if (it.action != Action::Refuse)
                continue;
            m_open[m_customer[it.id]].erase(it.id);
            CHECK(it.error->outcome == Outcome::NotRun);
            CHECK(it.error->retryAfter >= second);
            const bool isFull = it.error->step == "admission.queue";
            CHECK_MESSAGE((!isFull || m_customer[it.id] == "a"),
                          "only requests of the flooding customer are displaced");
        }
    }

    void checkState() const
    {
        std::size_t waiting = 0;
        std::uint64_t tokens = 0;
        for (const auto &[name, customer] : m_state.waiting.customers) {
            for (const auto &queues : customer.queues) {
                for (const auto &queue : queues) {
                    waiting += queue.size();
                    for (const Request &it : queue)
                        tokens += it.tokens;
                }
            }
        }
        CHECK(waiting == m_state.waiting.total.requests);
        CHECK(tokens == m_state.waiting.total.tokens);
        CHECK(waiting == m_state.waiting.locations.size());
        CHECK(waiting <= m_state.policy.maxWaiting);
        CHECK(tokens <= m_state.policy.maxWaitingTokens);
        // Only the token limit may hold back a quick request while a slot is free, so that at least
        // one other request runs then.
        const auto pick = pickNext(m_state.waiting, m_state.policy, StartableClasses{1, 0});
        const bool hasSlot = m_state.running.size() < m_state.capacity.slots;
        if (pick && hasSlot)
            CHECK_FALSE(m_state.running.empty());
    }

    Random m_random;
    State m_state;
    TimePoint m_now = atSecond(0);
    RequestId m_next = 1;
    std::map<std::string, std::set<RequestId>> m_open;
    std::map<RequestId, std::string> m_customer;
    std::set<RequestId> m_final;
};

} // namespace

TEST_CASE(
    "generated histories: one final decision per request, bounded queues, only the flood displaced")
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        History(seed).run(600);
    }
}
